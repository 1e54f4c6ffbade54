/**
 * Decides whether an order may be sent now: which orders may be repeated, and which loads may begin. Relies on the
 * order history and the load limit. The check of an order that loads also acquires its permit.
 */
import { type DomainFacts } from './facts.js'
import { type OrderHistory } from './history.js'
import { type LoadLimit } from './loadlimit.js'
import { type Order } from './orders.js'

/** Share of the concurrent loads that must stay free for repairs when a load that nothing waits for starts. */
const repairShare = 0.5

/** Whether an order may be sent now. If not, it is planned and checked again in the next pass. */
export function maySend (order: Order, facts: DomainFacts, history: OrderHistory, loads: LoadLimit): boolean {
  if (!history.isDue(order)) return false
  if (!order.loads) return true
  // A load in progress is not ordered again, because that would take a permit from another load.
  if (loads.loading(order.node) === order.model && (loads.isOrderedElsewhere(order.node) || history.wasTaken(order))) return false
  return acquireLoad(order, facts, loads)
}

/**
 * Acquires a permit for a load. A load that nothing waits for (`spare`) gets one only if enough permits stay free for
 * repairs. Before traffic, when loads slow no request, such a load only waits until the targets are met.
 */
function acquireLoad ({ node, model = '', spare = false }: Order, facts: DomainFacts, loads: LoadLimit): boolean {
  const { engine, beforeTraffic, targetsMet } = facts
  if (spare && beforeTraffic && !targetsMet) return false
  const duration = engine.models.find(each => each.name === model)?.load ?? 0
  const keepFree = spare && !beforeTraffic ? Math.ceil(engine.loadsAtOnce * repairShare) : 0
  return loads.acquire({ engine, node, model, duration, keepFree, rated: !beforeTraffic })
}
