/**
 * What a planned replica needs next: orders to its engines, or its end. Pure. Owns two safety rules: a replica is opened only when
 * every member says that it is ready in it, and its engines are free only once its head is known not to serve.
 */
import { type PlacementDraft } from './draft.js'
import { type OrderHistory } from './history.js'
import { closeOrder, joinOrder, leaveOrder, openOrder, type UnfencedOrder } from './orders.js'
import { type PlannedReplica } from './placement.js'
import { type Snapshot } from './snapshot.js'

/** The next step of one replica. Without orders or a reason to dissolve it, it stays as it is. */
export interface ReplicaStep {
  readonly orders?: readonly UnfencedOrder[]
  /** Why it is dissolved now, in words for the log. */
  readonly dissolved?: string
}

/** The next step of a replica, by the first rule that applies. */
export function nextForReplica (replica: PlannedReplica, draft: PlacementDraft, history: OrderHistory): ReplicaStep {
  const { snapshot } = draft
  if (snapshot.isUnlisted(replica.members[0].id)) return nextForUnlistedHead(replica, snapshot, history)
  if (!snapshot.isIntact(replica)) return nextForIncomplete(replica, snapshot, history)
  const state = snapshot.headState(replica)
  if (isAbandoned(replica, snapshot, history)) {
    return state === 'open' || state === 'closing' ? { orders: [closeOrder(replica, 'finish')] } : dissolveOnceLeft(replica, 'its head has left', history)
  }
  if (state === 'broken') return { dissolved: 'broken' }
  if (replica.retiring === true) return nextForRetiring(replica, draft, history)
  if (replica.members.some(({ id }) => history.sawHigherEpoch(id, replica.name))) {
    return state === 'open' ? { orders: [closeOrder(replica, 'finish')] } : { dissolved: 'an engine has seen a higher epoch' }
  }
  return state === 'open' || state === 'closing' ? {} : nextForUnopened(replica, snapshot)
}

/**
 * Whether a replica must end although no member is missing: its head was ordered to leave, here or by another planner, so that it has been in
 * it and is no more. Where another process planned the replica, its head may also never have joined; that looks alike.
 * Having it join again could undo what another planner relies on: that the head, once it has left, never serves this replica. A planner whose
 * orders are late, for want of processor time, would have it serve while its engines are ordered into another replica.
 */
function isAbandoned (replica: PlannedReplica, snapshot: Snapshot, history: OrderHistory): boolean {
  const { id } = replica.members[0]
  if (history.isLeaving(id, replica.name)) return true
  return !snapshot.isIn(replica, id) && !snapshot.facts.unjoined.has(replica.name)
}

/** Has members join that are not in the replica yet; opens it when all of them are ready. */
function nextForUnopened (replica: PlannedReplica, snapshot: Snapshot): ReplicaStep {
  const outside = snapshot.staying(replica).filter(({ id }) => !snapshot.isIn(replica, id))
  if (outside.length > 0) return { orders: outside.filter(each => snapshot.isMovable(each)).map(each => joinOrder(replica, each)) }
  const ready = replica.members.every(({ id }) => snapshot.find(id)?.membership?.state === 'ready')
  return ready ? { orders: [openOrder(replica)] } : {}
}

/**
 * A replica whose head is not listed gets no requests any more. Once the head has left it, its engines form another one under a head that is
 * listed: their weights are loaded already. Requests in flight are cut and resumed elsewhere, since until the last of them has ended no
 * engine of the replica serves anybody else.
 */
function nextForUnlistedHead (replica: PlannedReplica, snapshot: Snapshot, history: OrderHistory): ReplicaStep {
  const { id } = replica.members[0]
  if (snapshot.facts.dead.has(id)) return { dissolved: `${id} not listed` }
  const close = closeOrder(replica, 'cut')
  return { orders: [history.hasAnswered(close) ? leaveOrder(replica) : close] }
}

/**
 * A replica that lacks a member, or is about to, is closed, then dissolved. Requests in flight are completed only where all of its
 * missing members leave as announced; otherwise they have stalled, and are cut so that they are resumed elsewhere.
 */
function nextForIncomplete (replica: PlannedReplica, snapshot: Snapshot, history: OrderHistory): ReplicaStep {
  const { id } = replica.members[0]
  const missing = replica.members.map(each => each.id).filter(each => snapshot.isMissing(each))
  const dissolved = `${missing.join(' ')} missing`
  if (snapshot.facts.dead.has(id)) return { dissolved }
  const state = snapshot.headState(replica)
  if (state === 'open') return { orders: [closeOrder(replica, missing.every(each => snapshot.isLeaving(each)) ? 'finish' : 'cut')] }
  const close = closeOrder(replica, 'cut')
  // A head that is not listed may serve on until it has left; then it is dead. One that is listed may have opened since.
  if (snapshot.find(id) === undefined) return { orders: [history.hasAnswered(close) ? leaveOrder(replica) : close] }
  if (state === 'closing' || history.mayServe(id, replica.name)) return { orders: [close] }
  return state === 'ready' ? dissolveOnceLeft(replica, dissolved, history) : { dissolved }
}

/**
 * Dissolves a replica whose head is listed and does not serve, once the head has left it: an order to open that was not answered, or
 * one of another planner, may be carried out seconds later, when the other members are in other replicas already.
 */
function dissolveOnceLeft (replica: PlannedReplica, dissolved: string, history: OrderHistory): ReplicaStep {
  return history.hasLeft(replica.members[0].id, replica.name) ? { dissolved } : { orders: [leaveOrder(replica)] }
}

/** A replica that gives its engines to another model is closed, then dissolved. While some model has no replica, it is cut. */
function nextForRetiring (replica: PlannedReplica, draft: PlacementDraft, history: OrderHistory): ReplicaStep {
  const state = draft.snapshot.headState(replica)
  if (state === 'open') {
    const urgent = draft.lacking.some(({ name }) => draft.snapshot.intact(name) === 0)
    return { orders: [closeOrder(replica, urgent ? 'cut' : 'finish')] }
  }
  if (state === 'closing') return {}
  if (history.mayServe(replica.members[0].id, replica.name)) return { orders: [closeOrder(replica, 'finish')] }
  return state === 'ready' ? dissolveOnceLeft(replica, 'retired', history) : { dissolved: 'retired' }
}
