/** Tracks which requests crash the upstreams that run them, and decides which requests may still be sent. */
export { Crashes, type BrokenAttempt, type CrashHeartbeatFields, type CrashesOptions, type UpstreamAddress } from './crashes.js'
export { blockId, type Block } from './blocked.js'
export { unnamedRequest, type Crash, type InterruptedRequest } from './crash.js'
export { CrashHistory, type BlockChange, type CrashHistoryOptions, type Standing } from './history.js'
export { LazyIdentity, sharedParts, type PromptDescription, type RequestIdentity } from './identity.js'
export { fingerprint, type RequestContent } from './fingerprint.js'
export { type CrashReport } from './reports.js'
export { Trials, type Trial } from './trials.js'
