/**
 * Makes an order to open a replica conditional on the state of its head. Relies on `Probes` for this state.
 *
 * An order that was left unanswered may be carried out seconds later. If an order to join and one to open are both
 * late, a head that has left its replica would join and open it again, while the other members are already in other
 * replicas. The condition prevents this: after the head has left, it has begun more orders than the order to open
 * expects, so it refuses it.
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
