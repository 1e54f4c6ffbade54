/** The process that takes callers and operators. */
export { Entry, type EntryAddresses, type EntryOptions } from './entry.js'
export { Transcript, type Progress } from './transcript.js'
