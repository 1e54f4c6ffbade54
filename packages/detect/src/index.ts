/** Failure detection: silence of upstreams, suspects, unreachable engines and dead heads, pauses of this process. */
export { agreedSuspects, isAgreed, type Witness } from './agreement.js'
export { InFlight, InFlightRequest, type InFlightHandlers } from './inflight.js'
export { Suspects } from './suspects.js'
export { Rests, type RestsOptions } from './rests.js'
export { Pauses } from './pauses.js'
export { Stalls, type StallsOptions } from './stalls.js'
export { Probes } from './probes.js'
export { Liveness, type LivenessOptions, type NodeAddress, type ReplicaNodes } from './liveness.js'
