/** The planner of the replicas that engines form on its orders, and the controller that carries out its steps. */
export { Placements, emptyPlacement, type Member, type Placement, type PlannedReplica, type WriteFailure } from './placement.js'
export { MemoryPlacements } from './memory.js'
export { Orders, type Order, type OrderKind, type OrderResult } from './orders.js'
export { Reconciler, type ReconcilerOptions } from './reconciler.js'
export { retarget, type Counts, type Demand, type DomainSize } from './targets.js'
