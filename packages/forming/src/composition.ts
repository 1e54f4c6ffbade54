/**
 * Decides which engines form a replica, and which replicas give their engines to another model, so that a domain meets
 * its targets. Pure. Ties are broken by the order of models, engines and replicas, so this order is part of the
 * decision.
 */
import { type Upstream } from '@eiderwind/roster'
import { type Model } from '@eiderwind/traffic'
import { holds, isEmpty, loadDistance } from './engines.js'
import { type PlannedReplica } from './placement.js'
import { type Pool } from './pool.js'
import { type Snapshot } from './snapshot.js'

/**
 * A model with this many intact replicas or fewer takes engines of other models and gives none. Taking engines whenever
 * a replica was lacking gave worse results (docs/design/platform.md).
 */
const scarceReplicas = 1

/**
 * The engines for one more replica of a model, the head first. Undefined if the replica has to wait. Either all engines
 * hold the weights of the model, or all are empty as at the first start, so that no engine waits in a replica for
 * another one that loads. Empty engines form a replica only if no engine holds the weights now or soon. Otherwise they
 * stage the weights first (staging.ts).
 */
export function membersFor (model: Model, pool: Pool): Upstream[] | undefined {
  const free = pool.freeFor(model)
  const holders = free.filter(each => holds(each, model.name))
  if (holders.length >= model.size) return fastestMembers(holders, model, pool.draft.snapshot)
  const empty = free.filter(each => isEmpty(each) && !pool.isLoading(each))
  return empty.length >= model.size && pool.availableSoon(model).length === 0 ? fastestMembers(empty, model, pool.draft.snapshot) : undefined
}

/**
 * The engines that can serve a model first, the head first. Ties are broken in favour of listed engines, then by id.
 * The head must be listed; without a listed engine the replica has to wait.
 */
function fastestMembers (engines: readonly Upstream[], { name, size }: Model, snapshot: Snapshot): Upstream[] | undefined {
  const isUnlisted = ({ id }: Upstream): number => Number(snapshot.isUnlisted(id))
  const sorted = [...engines].sort((a, b) => loadDistance(a, name) - loadDistance(b, name) || isUnlisted(a) - isUnlisted(b) || (a.id < b.id ? -1 : 1))
  const head = sorted.find(each => !snapshot.isUnlisted(each.id))
  return head === undefined ? undefined : [head, ...sorted.filter(each => each !== head)].slice(0, size)
}

/**
 * Serving replicas of other models that give up their engines, as few as possible, so that `model` is served without a
 * load from the weight store. Only a scarce model receives engines, from models that are not scarce and have a lower
 * need. A domain makes only one such exchange at a time. If these replicas would not suffice, returns those that
 * `surplusFor` finds. Empty if the exchange is not allowed.
 */
export function donorsFor (model: Model, pool: Pool): PlannedReplica[] {
  const { placement, snapshot } = pool.draft
  if (snapshot.intact(model.name) > scarceReplicas || placement.replicas.some(each => each.retiring === true)) return []
  const holdersIn = (replica: PlannedReplica): number => snapshot.staying(replica).filter(each => holds(each, model.name)).length
  const candidates = placement.replicas.filter(each => mayDonate(each.model, model, snapshot) && snapshot.isServing(each))
  const donors: PlannedReplica[] = []
  let lacking = model.size - pool.availableSoon(model).length
  for (const donor of candidates.sort((a, b) => holdersIn(b) - holdersIn(a))) {
    if (lacking <= 0 || holdersIn(donor) === 0) break
    donors.push(donor)
    lacking -= holdersIn(donor)
  }
  return lacking > 0 ? surplusFor(model, pool) : donors
}

/**
 * Replicas beyond the targets of their models, whose engines suffice for one replica of a model that has none during an
 * evacuation. The weights of `model` are loaded after these replicas are dissolved. Empty if the engines would not
 * suffice.
 */
function surplusFor (model: Model, { draft: { placement, snapshot }, free }: Pool): PlannedReplica[] {
  if (!snapshot.facts.evacuating || snapshot.intact(model.name) > 0) return []
  const candidates = placement.replicas.filter(each => snapshot.intact(each.model) > scarceReplicas && snapshot.isServing(each))
  const surplusByModel = new Map<string, number>()
  for (const each of candidates) surplusByModel.set(each.model, (surplusByModel.get(each.model) ?? -(placement.targets[each.model] ?? 0)) + 1)
  const donors: PlannedReplica[] = []
  let engines = free.length
  for (const each of candidates) {
    const surplus = surplusByModel.get(each.model) ?? 0
    if (engines >= model.size || surplus <= 0) continue
    surplusByModel.set(each.model, surplus - 1)
    donors.push(each)
    engines += each.members.length
  }
  return engines >= model.size ? donors : []
}

/** Whether a model may give up a replica for another model. */
function mayDonate (model: string, taker: Model, snapshot: Snapshot): boolean {
  return model !== taker.name && snapshot.intact(model) > scarceReplicas && snapshot.need(model) < snapshot.need(taker.name)
}
