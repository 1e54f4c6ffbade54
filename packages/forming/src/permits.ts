/**
 * Whether an order may be given now: which may be repeated, and which load may begin. Relies on the order history and the load
 * limit; asking acquires the permit of an order that loads.
 */
import { type DomainFacts } from './facts.js'
import { type OrderHistory } from './history.js'
import { type LoadLimit } from './loadlimit.js'
import { type Order } from './orders.js'

/** Part of the loads at a time that a load nothing waits for leaves free, for repairs. */
const repairShare = 0.5

/** Whether an order may be given now. One that may not is planned and asked about again at the next look. */
export function mayGive (order: Order, facts: DomainFacts, history: OrderHistory, loads: LoadLimit): boolean {
  if (!history.isDue(order)) return false
  if (!order.loads) return true
  // A load in progress is not ordered again, which would take a permit from another one.
  if (loads.loading(order.node) === order.model && (loads.isOthers(order.node) || history.wasTaken(order))) return false
  return acquireLoad(order, facts, loads)
}

/** A load that nothing waits for leaves room for repairs. Before traffic, when loads slow no request, it waits for the targets. */
function acquireLoad ({ node, model = '', spare = false }: Order, facts: DomainFacts, loads: LoadLimit): boolean {
  const { engine, beforeTraffic, targetsMet } = facts
  if (spare && beforeTraffic && !targetsMet) return false
  const duration = engine.models.find(each => each.name === model)?.load ?? 0
  const keepFree = spare && !beforeTraffic ? Math.ceil(engine.loadsAtOnce * repairShare) : 0
  return loads.acquire({ engine, node, model, duration, keepFree, rated: !beforeTraffic })
}
