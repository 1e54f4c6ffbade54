/**
 * The catalogue of log events. Operators and `eiderwindctl explain` rely on the numbers, names, levels and fields, so
 * these are an interface: a number never gets another meaning. Texts may be reworded. docs/operators/events.md contains
 * the same texts, and a test compares them.
 */

/** Severity of an event, named as in the loglevel library. */
export type Level = 'debug' | 'info' | 'warn' | 'error'

/** An event of the catalogue. */
export interface Event {
  readonly number: number
  readonly level: Level
  /** What happened. The text is for docs/operators/events.md and is not written to the log. */
  readonly text: string
}

/** All events by name. 1xx: process; 2xx: store, configuration, placement; 3xx: workers; 4xx: requests and replicas. */
export const events = {
  started: { number: 100, level: 'info', text: 'The process has started and is listening.' },
  stopping: { number: 101, level: 'info', text: 'The process received a signal to stop; it finishes the requests in flight.' },
  stopped: { number: 102, level: 'info', text: 'The process has finished its requests in flight and exits.' },
  'settings-refused': { number: 103, level: 'error', text: 'The settings have problems; each is listed.' },
  crashed: { number: 104, level: 'error', text: 'The process could not start and exits; the cause is given.' },
  'controller-failed': { number: 105, level: 'warn', text: 'An update of a controller failed; the next one runs as usual.' },
  'process-paused': { number: 106, level: 'warn', text: 'This process did not run for `paused` ms: it was frozen, got no processor time, or its machine was suspended. The age of its cached state includes the pause.' },
  'loop-delayed': { number: 107, level: 'warn', text: 'The event loop of this process was delayed by `late` ms, so all of its callers waited. In the `span` ms between two ticks, its main thread used a processor for `processor` ms, waited for one for `waited` ms and collected garbage for `garbage` ms; the other fields count what it did.' },
  'callers-closed': { number: 108, level: 'info', text: 'At its stop this process has closed its listening socket and its callers\' connections. `drained`: for how long it refused the last requests before, in ms. `requests`: how many arrived meanwhile. `quiet`: whether nothing more was to be read; if not, requests may have been left unread or unanswered.' },
  'uncaught-error': { number: 109, level: 'error', text: 'An error reached the event loop, so nothing of this process handled it. `cause`: its stack. A process that serves drains, as at a signal to stop, and ends with status 1; the platform starts it again.' },
  'task-failed': { number: 110, level: 'error', text: 'An error of this program ended one task: the work of a timer, a datagram, a message, a delivery or a request for figures. `task`: which kind. `cause`: its stack. Everything else goes on; periodic tasks run again.' },
  'port-in-use': { number: 111, level: 'warn', text: 'A port of this process is in use at its start. It waits for the port, for 10 s at most, and serves once it is free. `address`: which.' },
  'store-lost': { number: 200, level: 'warn', text: 'Store unreachable; continuing with cached state.' },
  'store-back': { number: 201, level: 'info', text: 'Store reachable again.' },
  'configuration-new': { number: 202, level: 'info', text: 'A new revision of the configuration is in force in this process.' },
  'configuration-changed': { number: 203, level: 'info', text: 'An operator\'s change of the configuration was accepted (audit record).' },
  'placement-changed': { number: 204, level: 'info', text: 'This entry changed the placement of a fabric domain.' },
  'placement-lost-race': { number: 205, level: 'debug', text: 'Another entry changed the placement first; planning starts again from the new one.' },
  'peer-lost': { number: 206, level: 'warn', text: 'No heartbeat from another entry within the timeout.' },
  'entry-behind': { number: 207, level: 'warn', text: 'A newer configuration is in force elsewhere and cannot be fetched; requests are refused until it has been fetched.' },
  'entry-current': { number: 208, level: 'info', text: 'This entry has the newest configuration again and accepts requests.' },
  'replica-serving': { number: 300, level: 'info', text: 'The head of a replica holds a lease from every member and serves.' },
  'replica-lapsed': { number: 301, level: 'warn', text: 'The head of a replica lost the lease of a member and stopped serving.' },
  'grant-refused': { number: 302, level: 'debug', text: 'A member refused a lease.' },
  'home-held': { number: 303, level: 'info', text: 'This worker is now the home of a slot of idempotency keys. `book`: `new`, `inherited` from the previous home, or `continued` after a lapse of its own lease. Keys minted up to `floor` that the book does not contain are refused.' },
  'home-lost': { number: 304, level: 'warn', text: 'This worker lost its majority for a slot of idempotency keys and is no longer its home. `missing`: the voters whose grant ended. It continues to claim the slot.' },
  'engine-down': { number: 305, level: 'warn', text: 'The upstream of this worker does not answer.' },
  'engine-back': { number: 306, level: 'info', text: 'The upstream of this worker answers again.' },
  'engine-ordered': { number: 307, level: 'info', text: 'This worker sent its engine an order.' },
  'order-failed': { number: 308, level: 'warn', text: 'An order to the engine failed; it will be retried.' },
  'home-inherits': { number: 309, level: 'info', text: 'This worker took over the records of a slot of idempotency keys from another worker.' },
  'sessions-handed': { number: 310, level: 'info', text: 'A replica that stopped transferred the KV caches of its sessions to others.' },
  'attempt-failed': { number: 400, level: 'info', text: 'An attempt at an upstream failed; the outcome says whether the request ran.' },
  'stream-resumed': { number: 401, level: 'info', text: 'A stream was resumed on another replica.' },
  'answer-foreign': { number: 402, level: 'warn', text: 'An answer that belongs to another attempt was dropped.' },
  'caller-gone': { number: 403, level: 'debug', text: 'The caller disconnected; its request was cancelled.' },
  'request-refused': { number: 410, level: 'info', text: 'A request was refused before it was sent to an upstream; the code gives the reason.' },
  'request-ended': { number: 411, level: 'info', text: 'A request ended. Lists every attempt with its ending (`cancelled`: another attempt of the same stream went on), and the request\'s fingerprint and the shared `parts` of its prompt if an answer was lost or the request is blocked. `rule` names the rule that put other requests ahead of a request that found no room. A request that no upstream took has the number of `upstreams` that serve its target, and in `closed` why none took it: a `rest` that they asked for, a `pause` of this gateway\'s own, a used-up `limit`, or a `trial` of a request that may crash upstreams; without it they were full, or their attempts are listed. `list`: the age of the list of upstreams, in ms, when the request was last written to one. `expected` is the time in which its first event was expected. The estimate rests on `lag` (how much later than computed the first events of its model usually come), the tokens of its `prompt`, the `load` and `unread` tokens at the head, and whether the head is `limited` or `remote`. Ordinary successes are sampled: such a line stands for `sampled` of them.' },
  'request-failed': { number: 412, level: 'error', text: 'An internal error ended a request; its caller got a 500, or its connection was closed if an answer had begun.' },
  'request-blocked': { number: 413, level: 'warn', text: 'Requests that have all of these `names` are blocked, because each upstream that began to run one has crashed: the fingerprint of a request, parts of prompts (model and id), a team (`@`). They are refused for `remaining` ms. `fingerprint` is the id of the block.' },
  'caller-stalled': { number: 414, level: 'warn', text: 'A caller read nothing of its answer for `idle` ms while it had `bytes` unread, of `kept` for all callers; its connection was closed. `answered`: the answer was complete.' },
  'block-lifted': { number: 415, level: 'info', text: 'The block with the id `fingerprint` was lifted by an operator or by a request that was served, or it was replaced by `left`, which has fewer names.' },
  'upstream-suspected': { number: 420, level: 'warn', text: 'All streams of a replica head are silent; it is suspected and gets only occasional trial requests.' },
  'upstream-crashed': { number: 421, level: 'warn', text: 'An upstream crashed while requests of this gateway were in flight there; their fingerprints are listed, and in `parts` the shared parts of the prompts whose answers were just beginning.' },
  'upstream-resting': { number: 422, level: 'info', text: 'An upstream refused a request and asked for rest: it gets no requests from this gateway for `rest` ms.' },
  'upstream-leaving': { number: 423, level: 'info', text: 'An upstream announced in an answer that it is leaving, to this gateway or to the gateway named in `from`: it gets no new requests.' },
  'upstream-limited': { number: 424, level: 'info', text: 'An upstream announced its `limit`, the requests per second that it takes from all gateways together, to this gateway or to the gateway named in `from`. Without `limit`, it takes any number again.' },
  'evacuation-begun': { number: 425, level: 'warn', text: 'The operator has evacuated the data centre `dataCentre`: its upstreams get no new requests. Read from the store, or received from the gateway named in `from`.' },
  'evacuation-ended': { number: 426, level: 'info', text: 'The operator has ended the evacuation of the data centre `dataCentre`: its upstreams get requests again.' },
  'upstream-cold': { number: 427, level: 'info', text: 'An upstream is cold: for `remaining` ms it gets at most `limit` requests per second from all gateways together, and this gateway issues the tokens for them.' },
  'room-contended': { number: 428, level: 'info', text: 'Room at the heads of a model has become scarce (`contended`), or is sufficient again. While it is scarce, one gateway, `issuer`, issues the places.' },
  'gateway-strained': { number: 429, level: 'warn', text: 'This gateway runs short of `cause` and makes the balancer send new callers to other gateways (`away`), or no longer does. Also gives the lateness of its event loop, in ms, and the fractions of its memory and descriptors in use.' },
  'configuration-unconfirmed': { number: 430, level: 'warn', text: 'The configuration was not confirmed in time; requests with API keys are refused.' },
  'configuration-confirmed': { number: 431, level: 'info', text: 'The configuration is confirmed again.' },
  'connections-closed': { number: 432, level: 'warn', text: 'This gateway is overloaded: in the last second, `closed` new connections of callers were closed unread, so that their callers can go to another gateway. `open` connections are served. `wait`: the longest wait of a connection that this gateway sent to the end of its own queue, in ms, while they were closed. `paused`: for how much of it this process did not run, in ms.' },
  'retry-budget-spent': { number: 433, level: 'warn', text: 'In the last second, `denied` retries of a service were not made, because its retry budget was used up. `used`: retries in the last window beyond those that its requests had earned. `part`: this gateway\'s part of the slack, divided among `gateways` gateways, or 1 if no list of gateways was read (`listed`); in the first window only earned retries may be used. `life`: time since the start of the process, in ms.' },
  'upstream-departed': { number: 434, level: 'info', text: 'An upstream gets no new requests from this gateway any more: its record says that it is `leaving`, or it is no longer listed. `from`: the store, the gateway from which this was received, or `outage` if a record retained since an outage was not listed again. `age`: how old the list of upstreams was, in ms, when this was learned. `revision`: the store\'s revision up to which the list was known before.' },
  'upstream-retained': { number: 435, level: 'info', text: 'An upstream is no longer listed, shortly after an outage of the store. It counts as listed for `grace` ms more, in which its record may return. `failures`: the failed calls of that outage; `ended`: ms since its end; `by`: the gateway that noticed the end, if another one; `age`: ms since the time up to which the list is complete.' },
  'upstreams-old': { number: 436, level: 'warn', text: 'In the last second, `sent` requests were written to upstreams by a list of upstreams older than 0.55 of `[bounds] drain`. `age`: the greatest age of the list at such a request, in ms. `from`: where the list came from last.' },
  'planner-acts': { number: 440, level: 'info', text: 'This gateway now plans the replicas of a service.' },
  'planner-rests': { number: 441, level: 'info', text: 'This gateway no longer plans the replicas of a service.' },
  'replica-decided': { number: 442, level: 'info', text: 'The planner decided to form or dissolve a replica and wrote the placement; orders follow. `evidence`: what spoke against the engines of the replica that is dissolved; absent if nothing did. `shares`: each model\'s share of the load, on which targets depend; absent while there are too few requests and the configured shares count.' },
  'engine-order': { number: 443, level: 'info', text: 'An order was sent to an engine; includes the result.' },
  'engines-surveyed': { number: 444, level: 'info', text: 'The number of engines of a domain in each state; written once a second by the planner.' },
  'store-use': { number: 445, level: 'info', text: 'How this gateway follows the store (`use`): it watches the store for itself or for other gateways, or other gateways notify it of changes.' },
  'engine-unlisted': { number: 446, level: 'info', text: 'An engine is no longer listed; it is retained in its replica as long as it answers.' },
  'engine-unlisted-ended': { number: 447, level: 'info', text: 'An unlisted engine is no longer retained: it is listed again, does not answer, is leaving, or its time has expired.' },
  'lines-dropped': { number: 450, level: 'warn', text: 'Log lines were dropped because there were too many or their reader is too slow.' }
} as const satisfies Record<string, Event>

/** The name of an event. */
export type EventName = keyof typeof events
