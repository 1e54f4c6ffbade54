/** Names of the headers in which callers, entry and upstreams tell what this package works with; in lower case. */
export interface HeaderNames {
  /** Id of the request, the same on its answer. */
  readonly request: string
  /** Milliseconds that the caller will wait. */
  readonly deadline: string
  /** The caller's API key. It never goes on. */
  readonly key: string
  /** The team that holds the key, told to upstreams. */
  readonly team: string
  /** The upstream that a request is meant for; any other one refuses it. */
  readonly upstream: string
  /** The model that is asked for. */
  readonly model: string
  /** 0 to 9, the most urgent first. */
  readonly urgency: string
  /** Stands on an answer that says that the request was not run. */
  readonly notRun: string
}

/** The last event that the reader of a stream has (HTML, server-sent events). */
export const lastEventName = 'last-event-id'
