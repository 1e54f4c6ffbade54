/**
 * The list of all error codes of the system, with the status, outcome, remedy and `Retry-After` of each. A program that
 * needs other values for a code passes them to `Fault`. The values of the gateway are in `refusals` of
 * `@eiderwind/dispatch`.
 */

/** Whether the refused request has run: it has certainly run, has certainly not run, or this is unknown. */
export type Outcome = 'ran' | 'not-run' | 'unknown'

/** Default values of the faults with one code. */
export interface Kind {
  /** HTTP status (RFC 9110). */
  readonly status: number
  readonly outcome: Outcome
  /** What the caller can do, in one sentence. */
  readonly remedy: string
  /** `Retry-After` in seconds, if a retry can succeed. */
  readonly retryAfter?: number
}

/** All kinds of faults, by their code on the wire. */
export const kinds = {
  'bad-key': { status: 401, outcome: 'not-run', remedy: 'Send "Authorization: Bearer <key>" with a key of a team in the configuration.' },
  'bad-operator': { status: 401, outcome: 'not-run', remedy: 'Give the token of an operator in the configuration or in the entry\'s settings.' },
  'bad-request': { status: 400, outcome: 'not-run', remedy: 'Correct the request as the message says and send it again.' },
  'unknown-path': { status: 404, outcome: 'not-run', remedy: 'Use /v1/chat/completions, /v1/models or /services/<name>/...' },
  'unknown-service': { status: 404, outcome: 'not-run', remedy: 'Ask GET /v1/models for the names that are served.' },
  'header-too-large': { status: 431, outcome: 'not-run', remedy: 'Send fewer or shorter headers.' },
  'too-large': { status: 413, outcome: 'not-run', remedy: 'Send a smaller body.' },
  'no-replica': { status: 503, outcome: 'not-run', remedy: 'Come back after the time given; no replica is serving now.', retryAfter: 2 },
  busy: { status: 429, outcome: 'not-run', remedy: 'Come back after the time given; the queue for your team is full.', retryAfter: 1 },
  deadline: { status: 504, outcome: 'not-run', remedy: 'Give a later deadline or come back when there is less load.', retryAfter: 1 },
  'deadline-running': { status: 504, outcome: 'unknown', remedy: 'Send the request again with the same Idempotency-Key to get its answer.', retryAfter: 1 },
  leaving: { status: 503, outcome: 'not-run', remedy: 'Send the request again; another process will take it.', retryAfter: 1 },
  behind: { status: 503, outcome: 'not-run', remedy: 'Send the request again; another entry has the present configuration.', retryAfter: 1 },
  'not-serving': { status: 503, outcome: 'not-run', remedy: 'Send the request again; this replica holds no grant now.', retryAfter: 1 },
  'not-home': { status: 503, outcome: 'not-run', remedy: 'Send the request again; another worker is the home of this key.', retryAfter: 1 },
  tombstoned: { status: 409, outcome: 'not-run', remedy: 'Use a new attempt; this one was cancelled before it started.' },
  'still-running': { status: 409, outcome: 'unknown', remedy: 'Send the request again with the same Idempotency-Key after the time given.', retryAfter: 1 },
  'key-before-home': { status: 409, outcome: 'unknown', remedy: 'Find out by other means whether the request ran; create a new key for a new request.' },
  'key-in-future': { status: 400, outcome: 'not-run', remedy: 'Correct the clock of the machine that created the key (UUID version 7) and create a new key.' },
  'key-invalid': { status: 400, outcome: 'not-run', remedy: 'Send an Idempotency-Key that is a UUID of version 7 (RFC 9562).' },
  'key-reused': { status: 422, outcome: 'not-run', remedy: 'Create a new key for a different request.' },
  'answer-too-large': { status: 409, outcome: 'ran', remedy: 'The request ran, but its answer was too large to store; get the answer by other means.' },
  lost: { status: 502, outcome: 'unknown', remedy: 'Look up whether the request ran before you send it again.' },
  interrupted: { status: 502, outcome: 'unknown', remedy: 'Send the request again with Last-Event-ID and the text so far, to continue the stream.', retryAfter: 1 },
  internal: { status: 500, outcome: 'unknown', remedy: 'Look up whether the request ran before you send it again. Tell the operators its id.' },
  'upstream-down': { status: 503, outcome: 'not-run', remedy: 'Come back after the time given; the upstream takes no connections.', retryAfter: 2 },
  crashing: { status: 503, outcome: 'not-run', remedy: 'Do not send this request again as it is: each upstream that began to run it has crashed. Change it, or ask an operator.' },
  'stale-revision': { status: 409, outcome: 'not-run', remedy: 'Read the configuration again and repeat the change on its present revision.' },
  'bad-change': { status: 400, outcome: 'not-run', remedy: 'Correct the change as the message says.' },
  'store-down': { status: 503, outcome: 'not-run', remedy: 'Come back when the platform\'s object API answers again.', retryAfter: 5 },
  'store-silent': { status: 503, outcome: 'not-run', remedy: 'Repeat the change; the platform\'s object API has not answered for several seconds.', retryAfter: 5 },
  'store-unknown': { status: 503, outcome: 'unknown', remedy: 'Repeat the change with the same operation id to learn whether it took effect.', retryAfter: 5 },
  'bad-settings': { status: 400, outcome: 'not-run', remedy: 'Correct the settings as listed.' }
} as const satisfies Record<string, Kind>

/** The code of a kind of fault, as sent in a body of an answer. */
export type Code = keyof typeof kinds
