/** Failure detection: requests in flight and silence, suspected heads, and pauses of this process itself. */
export { InFlight, InFlightRequest } from './inflight.js'
export { Suspects } from './suspects.js'
export { Pauses } from './pauses.js'
export { Stalls, type StallsOptions } from './stalls.js'
export { Probes } from './probes.js'
export { Liveness, type LivenessOptions, type NodeAddress, type ReplicaNodes } from './liveness.js'
