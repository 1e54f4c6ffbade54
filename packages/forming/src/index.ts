/** The planner of replicas that engines form by orders, and the controller that carries its steps out. */
export { Placements, emptyPlacement, type Member, type Placement, type PlannedReplica, type WriteFailure } from './placement.js'
export { MemoryPlacements } from './memory.js'
export { Orders, type Order, type OrderKind, type OrderResult } from './orders.js'
export { Reconciler, type ReconcilerOptions } from './reconciler.js'
export { retarget, type Counts, type Demand, type DomainSize } from './targets.js'
