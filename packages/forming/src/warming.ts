/**
 * Which spares load weights from their host's memory into their own before a replica needs them. Pure. A replica opens once its slowest member is
 * ready: a spare that still loads from its host keeps all others waiting for that time. Owns the name under which a spare does so: it joins a
 * replica of its own, which is never opened, and stays in it until another one takes it, so that every gateway reads in its record what it has in use. Relies on the
 * pool for which engines are free.
 */
import { joinOrder, type UnfencedOrder } from './orders.js'
import { type Pool } from './pool.js'

/** The orders by which spares load what their hosts hold. Where a replica is lacking, engines that wait for others to form it are left as they are. */
export function warmingFor (pool: Pool): UnfencedOrder[] {
  const { placement: { domain, epoch }, lacking, snapshot } = pool.draft
  // Nothing was planned yet where the epoch is 0: the lowest of a replica is 1.
  if (epoch === 0 || lacking.length > 0) return []
  const cold = pool.free.filter(each => !snapshot.isUnlisted(each.id) && each.membership === undefined && each.loaded.length === 0 && each.staged.length > 0)
  // Every replica that is planned later has a higher epoch, so that such an order, if it acts late, undoes nothing.
  return cold.map(each => {
    const { id, address, staged: [model] } = each
    return joinOrder({ name: `${domain}.spare.${id}`, model, epoch, members: [{ id, address }] }, each)
  })
}
