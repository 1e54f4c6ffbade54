/** The upstreams that the store lists, the replicas that their engines report, and when each upstream departed. */
export { Membership, Upstream, listedName, maxEpoch, withWeightsInUse } from './upstream.js'
export { evacuatedUpstreams } from './evacuation.js'
export { Roster, type Absence, type Departure, type RosterChange } from './roster.js'
export { servesReplica } from './serving.js'
export { Outage } from './outage.js'
export { type Condition } from './condition.js'
