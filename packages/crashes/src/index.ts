/** Which requests crash the upstreams that run them, and what may still be sent. */
export { Crashes, type CrashNews, type CrashesOptions, type Identified, type UpstreamAddress } from './crashes.js'
export { CrashHistory, type BlockedRequest, type Crash, type CrashHistoryOptions, type Standing } from './history.js'
export { fingerprint, type RequestContent } from './fingerprint.js'
export { type CrashReport } from './reports.js'
export { Trials, type Trial } from './trials.js'
