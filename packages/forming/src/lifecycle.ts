/**
 * Decides what a planned replica needs next: orders to its engines, or its dissolution. Pure. It owns two safety rules.
 * A replica is opened only when every member reports that it is ready in it. An engine joins it only after the head of
 * its previous replica is known not to serve, or the engine itself has left that replica.
 */
import { type Upstream } from '@eiderwind/roster'
import { type PlacementDraft } from './draft.js'
import { type OrderHistory } from './history.js'
import { closeOrder, joinOrder, leaveOrder, memberLeaveOrder, openOrder, type UnfencedOrder } from './orders.js'
import { type PlannedReplica } from './placement.js'
import { type Snapshot } from './snapshot.js'

/** The next step of one replica. Without orders and without a reason to dissolve it, the replica stays unchanged. */
export interface ReplicaStep {
  readonly orders?: readonly UnfencedOrder[]
  /** Why the replica is dissolved now, as text for the log. */
  readonly dissolved?: string
}

const staleEpoch = 'an engine has seen a higher epoch'

/**
 * The next step of a replica. A replica that has finished its requests ends only once the gateways have received the
 * answers. One that has cut them ends at once.
 */
export function nextForReplica (replica: PlannedReplica, draft: PlacementDraft, history: OrderHistory): ReplicaStep {
  const step = nextByState(replica, draft, history)
  const { id } = replica.members[0]
  const isAwaited = draft.snapshot.facts.awaited.has(id) && !history.hasCut(id, replica.name)
  return isAwaited && endsReplica(step) ? {} : step
}

function endsReplica ({ dissolved, orders = [] }: ReplicaStep): boolean {
  return dissolved !== undefined || orders.some(each => each.kind === 'leave')
}

/** The next step of a replica, by the first rule that applies. */
function nextByState (replica: PlannedReplica, draft: PlacementDraft, history: OrderHistory): ReplicaStep {
  const { snapshot } = draft
  if (snapshot.isUnlisted(replica.members[0].id)) return nextForUnlistedHead(replica, snapshot, history)
  if (!snapshot.isIntact(replica)) return nextForIncomplete(replica, snapshot, history)
  const state = snapshot.headState(replica)
  if (isAbandoned(replica, snapshot, history)) {
    return state === 'open' || state === 'closing' ? { orders: [closeOrder(replica, 'finish', 'its head was ordered to leave')] } : dissolveOnceLeft(replica, 'its head has left', history)
  }
  if (state === 'broken') return { dissolved: 'broken' }
  if (replica.retiring === true) return nextForRetiring(replica, draft, history)
  if (replica.members.some(({ id }) => history.sawHigherEpoch(id, replica.name))) {
    return state === 'open' ? { orders: [closeOrder(replica, 'finish', staleEpoch)] } : { dissolved: staleEpoch }
  }
  return state === 'open' || state === 'closing' ? {} : nextForUnopened(replica, snapshot, history)
}

/**
 * Whether a replica must end although no member is missing, because its head was ordered to leave it, by this planner
 * or by another one. If another process planned the replica, its head may also never have joined; this planner cannot
 * tell the two cases apart.
 *
 * The head must not join again: other planners rely on it that a head that has left never serves this replica again. A
 * planner whose orders are delayed by lack of processor time could otherwise have it serve while its engines are
 * ordered into another replica.
 */
function isAbandoned (replica: PlannedReplica, snapshot: Snapshot, history: OrderHistory): boolean {
  const { id } = replica.members[0]
  if (history.wasOrderedToLeave(id, replica.name)) return true
  return !snapshot.isIn(replica, id) && !snapshot.facts.unjoined.has(replica.name)
}

/**
 * Has the missing members join. Opens the replica when all members are ready and have answered lately. After the first
 * order to open the head may be open, and no member joins any more: one that is missing then has left, by an order of
 * another planner, and is free for other replicas.
 */
function nextForUnopened (replica: PlannedReplica, snapshot: Snapshot, history: OrderHistory): ReplicaStep {
  const outside = snapshot.staying(replica).filter(({ id }) => !snapshot.isIn(replica, id))
  const { id } = replica.members[0]
  if (outside.length > 0 && history.wasOrderedToOpen(id, replica.name)) {
    const dissolved = `${outside.map(each => each.id).join(' ')} left`
    return history.mayServe(id, replica.name) ? { orders: [closeOrder(replica, 'cut', dissolved)] } : dissolveOnceLeft(replica, dissolved, history)
  }
  if (outside.length > 0) return { orders: outside.filter(each => snapshot.isMovable(each)).map(each => entryOrder(replica, each, snapshot, history)) }
  const ready = replica.members.every(({ id }) => snapshot.find(id)?.membership?.state === 'ready')
  return ready && snapshot.isCertain(replica) ? { orders: [openOrder(replica)] } : {}
}

/**
 * The next order of an engine that is to enter a replica. Its previous replica may still serve, whatever the record of
 * its head shows: the head may be cut off from the store, and its silence may be a cut of the paths to it. Then the
 * engine leaves that replica before it joins this one.
 */
function entryOrder (replica: PlannedReplica, engine: Upstream, snapshot: Snapshot, history: OrderHistory): UnfencedOrder {
  const { id, membership } = engine
  if (membership === undefined || membership.replica === replica.name) return joinOrder(replica, engine)
  if (history.hasLeft(id, membership.replica)) return joinOrder(replica, engine)
  const headState = snapshot.reportedHeadState(engine)
  const neverServes = headState === 'joining' || headState === 'broken' || history.isAbandonedByHead(membership.replica)
  return neverServes ? { ...joinOrder(replica, engine), previous: membership.replica } : memberLeaveOrder(engine, membership)
}

/**
 * A replica whose head is not listed receives no more requests. After the head has left, its engines form another
 * replica under a listed head; their weights are already loaded. Requests in flight are cut and resumed elsewhere,
 * because the engines of the replica cannot serve anything else until the last request has ended.
 */
function nextForUnlistedHead (replica: PlannedReplica, snapshot: Snapshot, history: OrderHistory): ReplicaStep {
  const { id } = replica.members[0]
  if (snapshot.facts.dead.has(id)) return { dissolved: `${id} not listed` }
  const close = closeOrder(replica, 'cut', 'its head is not listed')
  return { orders: [history.hasAnswered(close) ? leaveOrder(replica) : close] }
}

/**
 * Closes, then dissolves a replica that lacks a member or will lack one soon. Requests in flight are completed only if
 * all of its missing members leave as announced. Otherwise these requests have stalled, so they are cut and resumed
 * elsewhere.
 */
function nextForIncomplete (replica: PlannedReplica, snapshot: Snapshot, history: OrderHistory): ReplicaStep {
  const { id } = replica.members[0]
  const missing = snapshot.missingFrom(replica)
  const dissolved = `${missing.join(' ')} missing`
  if (snapshot.facts.dead.has(id)) return { dissolved }
  const state = snapshot.headState(replica)
  if (missing.every(each => snapshot.isLeaving(each))) {
    if (state === 'open') return { orders: [closeOrder(replica, 'finish', dissolved)] }
    // Its requests in flight are completed.
    if (state === 'closing') return {}
  }
  const silent = missing.every(each => snapshot.facts.lost.has(each)) ? missing : undefined
  const close = { ...closeOrder(replica, 'cut', dissolved), silent }
  if (state === 'open') return { orders: [close] }
  // A head that is not listed may continue to serve until it has left. Then it counts as dead.
  if (snapshot.find(id) === undefined) return { orders: [history.hasAnswered(close) ? leaveOrder(replica) : close] }
  // A listed head may have opened since its last record.
  if (state === 'closing' || history.mayServe(id, replica.name)) return { orders: [close] }
  return state === 'ready' ? dissolveOnceLeft(replica, dissolved, history) : { dissolved }
}

/**
 * Dissolves a replica after its head has left it. The head is listed and does not serve, but an open order that was not
 * answered, or one of another planner, may be carried out seconds later. By then the other members could be in other
 * replicas.
 */
function dissolveOnceLeft (replica: PlannedReplica, dissolved: string, history: OrderHistory): ReplicaStep {
  return history.hasLeft(replica.members[0].id, replica.name) ? { dissolved } : { orders: [leaveOrder(replica)] }
}

/** Closes, then dissolves a replica that gives its engines to another model. Its requests in flight are completed. */
function nextForRetiring (replica: PlannedReplica, draft: PlacementDraft, history: OrderHistory): ReplicaStep {
  const state = draft.snapshot.headState(replica)
  if (state === 'open') return { orders: [closeOrder(replica, 'finish', 'retired')] }
  if (state === 'closing') return {}
  if (history.mayServe(replica.members[0].id, replica.name)) return { orders: [closeOrder(replica, 'finish', 'retired')] }
  return state === 'ready' ? dissolveOnceLeft(replica, 'retired', history) : { dissolved: 'retired' }
}
