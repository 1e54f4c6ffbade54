/** Development tools: stand-ins of platform, engine and plain service, and fleets of real daemons against them. */
export { StandIn, answerJson, bodyText } from './http.js'
export { PlatformStandIn, type PlatformCalls, type PlatformFault } from './platform.js'
export { EngineStandIn, answerWords, type EngineOptions, type EngineRecord } from './engine.js'
export { PlainStandIn, type Execution } from './plainservice.js'
export { Child, type Line } from './child.js'
export { Forwarder } from './forwarder.js'
export { Load, type LoadOptions, type Sample } from './load.js'
export { Fleet, modelName, plainName, sha256, trialKey, trialToken, type FleetEntry, type FleetOptions, type FleetWorker } from './fleet.js'
