/** Names of the headers that carry what forwarding needs. The platform's own names are filled in by its adapter. */

/** Header names between callers, gateway and upstreams, in lower case. */
export interface HeaderNames {
  /** Id of the request, repeated on its answer. */
  readonly request: string
  /** Milliseconds that the caller will wait, or that are left when the request goes to an upstream. */
  readonly deadline: string
  /** The caller's API key. It is never passed on. */
  readonly key: string
  /** The team that holds the key. Only the gateway sets it. */
  readonly team: string
  /** The upstream that a request is meant for; any other one refuses it. */
  readonly upstream: string
  /** The model that is asked for. */
  readonly model: string
  /** Urgency for upstreams, 0 (most urgent) to 9. */
  readonly urgency: string
  /** Present on an answer if the request was not run. */
  readonly notRun: string
  /** Tokens of the prompt and the most of the answer, by the caller, as `1460,80`. Absent where callers do not say. */
  readonly tokens?: string
  /** Tokens of the answer that the caller expects. Absent where callers do not say. */
  readonly length?: string
}

/** Id of the last event that the reader of a stream has (HTML, server-sent events). */
export const lastEventName = 'last-event-id'
