/**
 * How a domain gets what it should hold: which engines form a replica, and which replicas give theirs to another model. Pure. The
 * order of models, engines and replicas decides between equals, so it is part of the decision.
 */
import { type Upstream } from '@eiderwind/roster'
import { type Model } from '@eiderwind/traffic'
import { holds, isEmpty, loadDistance } from './engines.js'
import { type PlannedReplica } from './placement.js'
import { type Pool } from './pool.js'
import { type Snapshot } from './snapshot.js'

/**
 * A model with this many intact replicas or fewer takes engines of other models, and gives none. Taking them at any lack was worse
 * (docs/design/platform.md).
 */
const scarceReplicas = 1

/**
 * The engines for one more replica of a model, the head first; undefined where it has to wait. Either all of them hold its
 * weights, or all are empty, as at the first start: no engine waits in a replica for another one that loads. Empty ones form
 * a replica only where no engine holds the weights, now or soon; otherwise they stage them first (staging.ts).
 */
export function membersFor (model: Model, pool: Pool): Upstream[] | undefined {
  const free = pool.freeFor(model)
  const holders = free.filter(each => holds(each, model.name))
  if (holders.length >= model.size) return soonest(holders, model, pool.draft.snapshot)
  const empty = free.filter(each => isEmpty(each) && !pool.isLoading(each))
  return empty.length >= model.size && pool.availableSoon(model).length === 0 ? soonest(empty, model, pool.draft.snapshot) : undefined
}

/** The engines that serve a model soonest; between equals those that are listed, then by id. The head is listed: without one it has to wait. */
function soonest (engines: readonly Upstream[], { name, size }: Model, snapshot: Snapshot): Upstream[] | undefined {
  const isUnlisted = ({ id }: Upstream): number => Number(snapshot.isUnlisted(id))
  const sorted = [...engines].sort((a, b) => loadDistance(a, name) - loadDistance(b, name) || isUnlisted(a) - isUnlisted(b) || (a.id < b.id ? -1 : 1))
  const head = sorted.find(each => !snapshot.isUnlisted(each.id))
  return head === undefined ? undefined : [head, ...sorted.filter(each => each !== head)].slice(0, size)
}

/**
 * Serving replicas of other models, as few as possible, that give their engines up so that `model` is served without a load
 * from the weight store. Only a scarce model gets any, from models that are not scarce and need theirs less; one such exchange
 * at a time in a domain. Empty where it is not allowed or would not suffice.
 */
export function donorsFor (model: Model, pool: Pool): PlannedReplica[] {
  const { placement, snapshot } = pool.draft
  if (snapshot.intact(model.name) > scarceReplicas || placement.replicas.some(each => each.retiring === true)) return []
  const given = (replica: PlannedReplica): number => snapshot.staying(replica).filter(each => holds(each, model.name)).length
  const candidates = placement.replicas.filter(each => canSpare(each.model, model, snapshot) && snapshot.isServing(each))
  const donors: PlannedReplica[] = []
  let lacking = model.size - pool.availableSoon(model).length
  for (const donor of candidates.sort((a, b) => given(b) - given(a))) {
    if (lacking <= 0 || given(donor) === 0) break
    donors.push(donor)
    lacking -= given(donor)
  }
  return lacking > 0 ? surplusFor(model, pool) : donors
}

/**
 * Replicas beyond the targets of their models, enough for one of a model that has none while others are evacuated: its weights are loaded once they have gone.
 * Empty where they would not suffice.
 */
function surplusFor (model: Model, { draft: { placement, snapshot }, free }: Pool): PlannedReplica[] {
  if (!snapshot.facts.evacuating || snapshot.intact(model.name) > 0) return []
  const candidates = placement.replicas.filter(each => snapshot.intact(each.model) > scarceReplicas && snapshot.isServing(each))
  const beyond = new Map<string, number>()
  for (const each of candidates) beyond.set(each.model, (beyond.get(each.model) ?? -(placement.targets[each.model] ?? 0)) + 1)
  const donors: PlannedReplica[] = []
  let engines = free.length
  for (const each of candidates) {
    const surplus = beyond.get(each.model) ?? 0
    if (engines >= model.size || surplus <= 0) continue
    beyond.set(each.model, surplus - 1)
    donors.push(each)
    engines += each.members.length
  }
  return engines >= model.size ? donors : []
}

/** Whether a model may give a replica up for another one. */
function canSpare (model: string, taker: Model, snapshot: Snapshot): boolean {
  return model !== taker.name && snapshot.intact(model) > scarceReplicas && snapshot.need(model) < snapshot.need(taker.name)
}
