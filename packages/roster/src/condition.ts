/**
 * The condition that an upstream reports about itself in an answer, apart from the answer's content. The platform's
 * adapter reads it from the headers of every answer.
 */

/** The condition of an upstream, as reported by the upstream itself. */
export interface Condition {
  /** Whether it is about to stop. If so, it should receive no new requests. */
  readonly leaving: boolean
  /** How long this gateway should send it no requests, in ms from the answer; 0 if it asks for no rest. */
  readonly rest: number
  /**
   * Requests per second that it accepts from all gateways together. The limit holds as long as the upstream reports it.
   * Infinity if it reports that it accepts any number. Absent if the answer does not contain a limit.
   */
  readonly limit?: number
  /** How much longer it is cold, in ms from the answer. Absent if the answer does not report that it is cold. */
  readonly cold?: number
}
