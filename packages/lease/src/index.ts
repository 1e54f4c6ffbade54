/** Leases without a coordination service. A `Granter` grants, a `Holding` counts grants, a `Lease` renews them. */
export { Granter, type Answer, type Claim, type Decision, type GranterOptions, type Mark, type Refusal } from './granter.js'
export { Holding, type Quorum } from './holding.js'
export { Channel, Lease, type LeaseListener, type LeaseOptions } from './lease.js'
