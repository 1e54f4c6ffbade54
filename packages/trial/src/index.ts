/**
 * Development tools: stand-ins of the platform, an engine and a plain service, and fleets of real daemons that use
 * them.
 */
export { answerWords, type EngineOptions, type EngineRecord } from './engine.js'
export { type Execution } from './plainservice.js'
export { Child } from './child.js'
export { Forwarder } from './forwarder.js'
export { Fleet, keysOfEachSlot, modelName, plainName, trialKey, trialToken, type FleetEntry, type FleetWorker } from './fleet.js'
