/** Names of the headers that forwarding uses. The platform's adapter provides the names. */

/** Header names between callers, gateway and upstreams, in lower case. */
export interface HeaderNames {
  /** Id of the request, also on its answer. */
  readonly request: string
  /** Time that the caller will wait or, on a request to an upstream, the time left; in ms. */
  readonly deadline: string
  /** The caller's API key. It is never forwarded. */
  readonly key: string
  /** The team that holds the key. Only the gateway sets it. */
  readonly team: string
  /** The upstream that the request is meant for. Any other upstream refuses it. */
  readonly upstream: string
  /** The requested model. */
  readonly model: string
  /** Urgency for upstreams, 0 (most urgent) to 9. */
  readonly urgency: string
  /** Present on an answer if the request did not run. */
  readonly notRun: string
  /**
   * Tokens of the prompt and the maximum tokens of the answer, from the caller, as `1460,80`. Absent if callers do not
   * send them.
   */
  readonly tokens?: string
  /** Tokens that the caller expects in the answer. Absent if callers do not send them. */
  readonly length?: string
  /** The parts of the prompt in order, as `ID:TOKENS` separated by commas. Absent if callers do not send them. */
  readonly parts?: string
}

/** Id of the last event that the reader of a stream received (HTML, server-sent events). */
export const lastEventName = 'last-event-id'
