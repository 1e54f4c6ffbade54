/** Tracks which requests crash the upstreams that run them, and decides which requests may still be sent. */
export { Crashes, type CrashHeartbeatFields, type CrashesOptions, type UpstreamAddress } from './crashes.js'
export { CrashHistory, type BlockedRequest, type Crash, type CrashHistoryOptions, type Standing } from './history.js'
export { LazyIdentity, sharedParts, type PromptDescription, type RequestIdentity } from './identity.js'
export { fingerprint, type RequestContent } from './fingerprint.js'
export { type CrashReport } from './reports.js'
export { Trials, type Trial } from './trials.js'
