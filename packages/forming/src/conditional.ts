/**
 * Makes an order to join or to open a replica conditional on the state of the engine. Relies on `Probes` for this
 * state.
 *
 * An order that was left unanswered may be carried out seconds later. If an order to join and one to open are both
 * late, a head that has left its replica would join and open it again, while the other members are already in other
 * replicas. An engine that has left a replica whose head may still serve could enter it again in the same way before it
 * joins the next one. The condition prevents both: by then the engine has begun more orders than the order expects, so
 * it refuses it.
 */
import { type Probes } from '@eiderwind/detect'
import { type Order } from './orders.js'

/**
 * The order with its condition. Undefined if the head does not report that it is ready in the replica, so that the order
 * must not be sent now. Without a condition if engines of this platform don't count their orders.
 */
export async function conditionalOpen (order: Order, probes: Probes): Promise<Order | undefined> {
  const { node: id, address, replica, epoch } = order
  const report = await probes.report({ id, address })
  if (report === undefined) return undefined
  const { membership, orderCount } = report
  if (orderCount === undefined) return order
  const isReady = membership?.replica === replica && membership.epoch === epoch && membership.state === 'ready'
  return isReady ? { ...order, expectedOrderCount: orderCount } : undefined
}

/** What is known of the replica that an engine reports when it is to join another one. */
export interface ReportedReplica {
  /** Whether the engine may leave it by joining. */
  readonly mayLeave: (replica: string) => boolean
  /** Called if it may not: the engine should have left it before. */
  readonly joinedAgain: (replica: string) => void
}

/**
 * The order to join with its condition. Undefined if the engine does not report, or is in a replica that it must leave
 * before, so that the order must not be sent now. Without a condition if engines of this platform don't count their
 * orders.
 */
export async function conditionalJoin (order: Order, probes: Probes, { mayLeave, joinedAgain }: ReportedReplica): Promise<Order | undefined> {
  const { node: id, address } = order
  const report = await probes.report({ id, address })
  if (report === undefined) return undefined
  const { membership, orderCount } = report
  if (membership !== undefined && !mayLeave(membership.replica)) {
    joinedAgain(membership.replica)
    return undefined
  }
  return orderCount === undefined ? order : { ...order, expectedOrderCount: orderCount }
}
