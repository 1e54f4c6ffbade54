/** How loud an event is, in loglevel's words. */
export type Level = 'debug' | 'info' | 'warn' | 'error'

/** A numbered event of the catalogue. */
export interface Event {
  readonly number: number
  readonly level: Level
  /** What happened, for the catalogue in docs/operators/events.md. */
  readonly text: string
}

/** The catalogue of events. Numbers are never used again for another meaning. */
export const events = {
  started: { number: 100, level: 'info', text: 'The process listens.' },
  stopping: { number: 101, level: 'info', text: 'The process was told to stop; it finishes what is in flight.' },
  stopped: { number: 102, level: 'info', text: 'The process has finished everything and ends.' },
  'settings-refused': { number: 103, level: 'error', text: 'The settings have problems; each is listed.' },
  crashed: { number: 104, level: 'error', text: 'An error reached the top of the process; it ends.' },
  'controller-failed': { number: 105, level: 'warn', text: 'An update of a controller failed; the next one comes as usual.' },
  'store-lost': { number: 200, level: 'warn', text: 'The platform\'s object API does not answer; the process goes on with what it knows.' },
  'store-back': { number: 201, level: 'info', text: 'The platform\'s object API answers again.' },
  'configuration-new': { number: 202, level: 'info', text: 'A new revision of the configuration is in force here.' },
  'configuration-changed': { number: 203, level: 'info', text: 'An operator\'s change was accepted (audit record).' },
  'placement-changed': { number: 204, level: 'info', text: 'This entry changed the placement of a fabric domain.' },
  'placement-lost-race': { number: 205, level: 'debug', text: 'Another entry changed the placement first; the plan is made again.' },
  'peer-lost': { number: 206, level: 'warn', text: 'Another entry was not heard of for too long.' },
  'entry-behind': { number: 207, level: 'warn', text: 'A later configuration than this entry can get is in force elsewhere; it takes no requests until it has it.' },
  'entry-current': { number: 208, level: 'info', text: 'This entry has the present configuration again and takes requests.' },
  'replica-serving': { number: 300, level: 'info', text: 'The head holds a grant of every member and serves.' },
  'replica-lapsed': { number: 301, level: 'warn', text: 'The head lost a member\'s grant and stopped serving.' },
  'grant-refused': { number: 302, level: 'debug', text: 'A member refused a grant.' },
  'home-held': { number: 303, level: 'info', text: 'The worker is the home of a slot of keys now.' },
  'home-lost': { number: 304, level: 'warn', text: 'The worker lost the majority for a slot of keys.' },
  'engine-down': { number: 305, level: 'warn', text: 'The upstream beside this worker does not answer.' },
  'engine-back': { number: 306, level: 'info', text: 'The upstream beside this worker answers again.' },
  'engine-ordered': { number: 307, level: 'info', text: 'The worker gave its engine an order.' },
  'order-failed': { number: 308, level: 'warn', text: 'An order to the engine failed; it is given again.' },
  'home-inherits': { number: 309, level: 'info', text: 'The worker took the book of a slot of keys from a home that goes away.' },
  'sessions-handed': { number: 310, level: 'info', text: 'A replica that stopped handed the KV caches of its sessions to others.' },
  'attempt-failed': { number: 400, level: 'info', text: 'An attempt at an upstream failed; the outcome says whether it ran.' },
  'stream-resumed': { number: 401, level: 'info', text: 'A stream was resumed on another replica.' },
  'answer-foreign': { number: 402, level: 'warn', text: 'An answer for another attempt was dropped.' },
  'caller-gone': { number: 403, level: 'debug', text: 'The caller went away; the work was cancelled.' },
  'request-refused': { number: 410, level: 'info', text: 'A request was refused before it was sent anywhere; the code says why.' },
  'request-ended': { number: 411, level: 'info', text: 'A request ended; with every attempt and its ending. Ordinary successes are sampled.' },
  'request-failed': { number: 412, level: 'error', text: 'An error of the system\'s own broke a request; its connection was cut.' },
  'upstream-suspected': { number: 420, level: 'warn', text: 'A head\'s streams stand still; it is not chosen for a while.' },
  'configuration-unconfirmed': { number: 430, level: 'warn', text: 'The configuration was not confirmed lately; requests with keys are refused.' },
  'configuration-confirmed': { number: 431, level: 'info', text: 'The configuration is confirmed again.' },
  'planner-acts': { number: 440, level: 'info', text: 'This entry acts for the replicas of a service now.' },
  'planner-rests': { number: 441, level: 'info', text: 'Another entry acts for the replicas of a service now.' },
  'replica-decided': { number: 442, level: 'info', text: 'A replica was formed or dissolved; the placement says so before any order.' },
  'engine-order': { number: 443, level: 'info', text: 'An order was given to an engine; with its answer.' },
  'lines-dropped': { number: 450, level: 'warn', text: 'Log lines were dropped: too many, or nobody read them.' }
} as const satisfies Record<string, Event>

/** The name of an event of the catalogue. */
export type EventName = keyof typeof events
