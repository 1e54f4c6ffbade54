/** The planner of replicas that engines form by orders, and the controller that carries its steps out. */
export { Member, Placed, Placement, emptyPlacement } from './placement.js'
export { type DomainFacts, type Order, type OrderKind, type Step } from './facts.js'
export { Former, type FormerOptions } from './former.js'
export { Ledger, type OrderResult } from './ledger.js'
export { LoadRate, type LoadRequest } from './loadrate.js'
export { retarget, type Counts, type Demand, type DomainSize } from './demand.js'
export { Orders, Placements, type WriteFailure } from './orders.js'
export { Forming, type FormingOptions } from './forming.js'
