/** The process that takes the requests of callers and the calls of operators. */
export { Entry, type EntryAddresses, type EntryOptions } from './entry.js'
export { Transcript, type Progress } from './transcript.js'
export { AttemptsInFlight } from './inflight.js'
export { Targets, type HomeTarget, type Target, type TargetsOptions } from './targets.js'
