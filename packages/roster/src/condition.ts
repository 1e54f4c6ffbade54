/** What an upstream says of itself in an answer, beside the answer. The platform's adapter reads it from the headers of every answer. */

/** The condition of an upstream by its own word. */
export interface Condition {
  /** Whether it is about to stop: it should get no new request. */
  readonly leaving: boolean
  /** For how long it wants nothing from this gateway, in ms from the answer; 0 where it did not ask for that. */
  readonly rest: number
  /**
   * Requests a second that it takes from all gateways together, for as long as it says so; Infinity where it says that it takes any number. Absent where the
   * answer does not tell.
   */
  readonly limit?: number
  /** For how much longer it is cold, in ms from the answer. Absent where the answer does not say that it is. */
  readonly cold?: number
}
