/**
 * The catalogue of log events, with which operators and `eiderwindctl explain` read the log. Numbers, names, levels and
 * fields are an interface: a number never gets another meaning. Texts may be reworded; docs/operators/events.md holds
 * the same ones, and a test compares them.
 */

/** Severity of an event, by the names of the loglevel library. */
export type Level = 'debug' | 'info' | 'warn' | 'error'

/** An event of the catalogue. */
export interface Event {
  readonly number: number
  readonly level: Level
  /** What happened, for docs/operators/events.md. It is not written to the log. */
  readonly text: string
}

/** Every event, by name: 1xx process, 2xx store, configuration and placement, 3xx workers, 4xx requests and replicas. */
export const events = {
  started: { number: 100, level: 'info', text: 'The process has started and is listening.' },
  stopping: { number: 101, level: 'info', text: 'The process received a signal to stop; it finishes the requests in flight.' },
  stopped: { number: 102, level: 'info', text: 'The process has finished its requests in flight and exits.' },
  'settings-refused': { number: 103, level: 'error', text: 'The settings have problems; each is listed.' },
  crashed: { number: 104, level: 'error', text: 'The process could not start and exits; the cause is given.' },
  'controller-failed': { number: 105, level: 'warn', text: 'An update of a controller failed; the next one runs as usual.' },
  'process-paused': { number: 106, level: 'warn', text: 'This process did not run for `paused` ms: frozen, without a processor, or on a suspended machine. What it knew before counts by its age, the pause included.' },
  'store-lost': { number: 200, level: 'warn', text: 'Store unreachable; continuing with cached state.' },
  'store-back': { number: 201, level: 'info', text: 'Store reachable again.' },
  'configuration-new': { number: 202, level: 'info', text: 'A new revision of the configuration is in force in this process.' },
  'configuration-changed': { number: 203, level: 'info', text: 'An operator\'s change of the configuration was accepted (audit record).' },
  'placement-changed': { number: 204, level: 'info', text: 'This entry changed the placement of a fabric domain.' },
  'placement-lost-race': { number: 205, level: 'debug', text: 'Another entry changed the placement first; planning starts again from the new one.' },
  'peer-lost': { number: 206, level: 'warn', text: 'No heartbeat from another entry within the timeout.' },
  'entry-behind': { number: 207, level: 'warn', text: 'A newer configuration is in force elsewhere and cannot be fetched; requests are refused until it is.' },
  'entry-current': { number: 208, level: 'info', text: 'This entry has the newest configuration again and accepts requests.' },
  'replica-serving': { number: 300, level: 'info', text: 'The head of a replica holds a lease from every member and serves.' },
  'replica-lapsed': { number: 301, level: 'warn', text: 'The head of a replica lost the lease of a member and stopped serving.' },
  'grant-refused': { number: 302, level: 'debug', text: 'A member refused a lease.' },
  'home-held': { number: 303, level: 'info', text: 'This worker now holds a slot of idempotency keys.' },
  'home-lost': { number: 304, level: 'warn', text: 'This worker lost its majority for a slot of idempotency keys and no longer holds it.' },
  'engine-down': { number: 305, level: 'warn', text: 'The upstream of this worker does not answer.' },
  'engine-back': { number: 306, level: 'info', text: 'The upstream of this worker answers again.' },
  'engine-ordered': { number: 307, level: 'info', text: 'This worker gave its engine an order.' },
  'order-failed': { number: 308, level: 'warn', text: 'An order to the engine failed; it will be retried.' },
  'home-inherits': { number: 309, level: 'info', text: 'This worker took over the records of a slot of idempotency keys from another worker.' },
  'sessions-handed': { number: 310, level: 'info', text: 'A replica that stopped transferred the KV caches of its sessions to others.' },
  'attempt-failed': { number: 400, level: 'info', text: 'An attempt at an upstream failed; the outcome says whether the request ran.' },
  'stream-resumed': { number: 401, level: 'info', text: 'A stream was resumed on another replica.' },
  'answer-foreign': { number: 402, level: 'warn', text: 'An answer that belongs to another attempt was dropped.' },
  'caller-gone': { number: 403, level: 'debug', text: 'The caller disconnected; its request was cancelled.' },
  'request-refused': { number: 410, level: 'info', text: 'A request was refused before it was sent to an upstream; the code gives the reason.' },
  'request-ended': { number: 411, level: 'info', text: 'A request ended; lists every attempt with its ending, and the request\'s fingerprint if an answer was lost or it is blocked; `rule` says what went before one that found no room. Beside `expected`, the time in which its first event was expected, stands what that rested on: `lag`, by which the first events of its model usually come later than computed, tokens of its `prompt`, `load` and `unread` tokens at the head, whether that is `limited` or `remote`. Ordinary successes are sampled: such a line stands for `sampled` of them.' },
  'request-failed': { number: 412, level: 'error', text: 'An internal error ended a request; the caller\'s connection was closed.' },
  'request-blocked': { number: 413, level: 'warn', text: 'A request is blocked, by its fingerprint: each upstream that began to run it has crashed. It is refused for `remaining` ms.' },
  'caller-stalled': { number: 414, level: 'warn', text: 'A caller read nothing of its answer for `idle` ms while `bytes` were kept for it, of `kept` for all; its connection was closed. `answered`: all of the answer was here.' },
  'upstream-suspected': { number: 420, level: 'warn', text: 'All streams of a replica head are silent; it is suspected and gets only occasional trial requests.' },
  'upstream-crashed': { number: 421, level: 'warn', text: 'An upstream crashed while requests of this gateway were in flight there; their fingerprints are listed.' },
  'upstream-resting': { number: 422, level: 'info', text: 'An upstream turned a request away and asked for rest: it gets nothing from this gateway for `rest` ms.' },
  'upstream-leaving': { number: 423, level: 'info', text: 'An upstream said in an answer that it is leaving, to this gateway or to the one named in `from`: it gets no new request.' },
  'upstream-limited': { number: 424, level: 'info', text: 'An upstream named the requests a second that it takes from all gateways together, `limit`, to this gateway or to the one named in `from`; no `limit`: it takes any number again.' },
  'evacuation-begun': { number: 425, level: 'warn', text: 'The operator has evacuated the data centre `dataCentre`: its upstreams get no new request. Known from the store, or from the gateway named in `from`.' },
  'evacuation-ended': { number: 426, level: 'info', text: 'The operator has taken back the evacuation of the data centre `dataCentre`: its upstreams get requests again.' },
  'upstream-cold': { number: 427, level: 'info', text: 'An upstream is cold: this gateway issues the tokens for the requests that it gets from all together, `limit` a second, for `remaining` ms.' },
  'room-contended': { number: 428, level: 'info', text: 'Room at the heads of a model is scarce, or no longer is (`contended`): its places are issued by one gateway, `issuer`.' },
  'gateway-strained': { number: 429, level: 'warn', text: 'This gateway runs short of `cause` and has the balancer send new callers to others, or no longer (`away`): how late its event loop is, in ms, and the parts of its memory and descriptors that it uses.' },
  'configuration-unconfirmed': { number: 430, level: 'warn', text: 'The configuration was not confirmed in time; requests with API keys are refused.' },
  'configuration-confirmed': { number: 431, level: 'info', text: 'The configuration is confirmed again.' },
  'planner-acts': { number: 440, level: 'info', text: 'This gateway now plans the replicas of a service.' },
  'planner-rests': { number: 441, level: 'info', text: 'This gateway no longer plans the replicas of a service.' },
  'replica-decided': { number: 442, level: 'info', text: 'The planner decided to form or dissolve a replica and wrote the placement; orders follow.' },
  'engine-order': { number: 443, level: 'info', text: 'An order was sent to an engine; includes the result.' },
  'engines-surveyed': { number: 444, level: 'info', text: 'What the engines of a domain do, by number of engines; written once a second by the planner.' },
  'store-use': { number: 445, level: 'info', text: 'Whether this gateway watches the store for other gateways, or is told by others what is new there.' },
  'engine-unlisted': { number: 446, level: 'info', text: 'An engine whose entry went is kept in its replica as long as it answers.' },
  'engine-unlisted-ended': { number: 447, level: 'info', text: 'An engine that was kept without an entry no longer is: it is listed again, silent or leaving, or its time is over.' },
  'lines-dropped': { number: 450, level: 'warn', text: 'Log lines were dropped because there were too many or the reader is too slow.' }
} as const satisfies Record<string, Event>

/** The name of an event. */
export type EventName = keyof typeof events
