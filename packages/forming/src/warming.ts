/**
 * Decides which spares load weights from their host's memory into their own memory before a replica needs them. Pure. A
 * replica opens when its slowest member is ready, so a spare that still has to load from its host would delay all other
 * members. To load, a spare joins a replica of its own that is never opened; this module owns its name. The spare stays
 * in it until another replica takes it, so that every gateway can read in the spare's record which weights it has in
 * use. Relies on the pool to know which engines are free.
 */
import { joinOrder, type UnfencedOrder } from './orders.js'
import { type Pool } from './pool.js'

/**
 * Returns orders that make spares load the weights that their hosts hold. Empty while a replica is lacking: the free
 * engines wait until there are enough to form it, and are left unchanged.
 */
export function warmingFor (pool: Pool): UnfencedOrder[] {
  const { placement: { domain, epoch }, lacking, snapshot } = pool.draft
  // Epoch 0 means that nothing was planned yet: the lowest epoch of a replica is 1.
  if (epoch === 0 || lacking.length > 0) return []
  const spares = pool.free.filter(each => !snapshot.isUnlisted(each.id) && each.membership === undefined && each.loaded.length === 0 && each.staged.length > 0)
  // Every replica that is planned later has a higher epoch, so such an order has no effect on it if it is carried out
  // late.
  return spares.map(each => {
    const { id, address, staged: [model] } = each
    return joinOrder({ name: `${domain}.spare.${id}`, model, epoch, members: [{ id, address }] }, each)
  })
}
