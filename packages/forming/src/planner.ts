/**
 * The next step of one domain, from its desired and its actual state. Owns the order of the decisions within a step. Its only
 * state is what it is given: the order history and the load limit.
 */
import { type Model } from '@eiderwind/traffic'
import { donorsFor, membersFor } from './composition.js'
import { PlacementDraft } from './draft.js'
import { type DomainFacts, type Step } from './facts.js'
import { type OrderHistory } from './history.js'
import { nextForReplica } from './lifecycle.js'
import { type LoadLimit } from './loadlimit.js'
import { stageOrder, type UnfencedOrder } from './orders.js'
import { mayGive } from './permits.js'
import { Pool } from './pool.js'
import { Snapshot } from './snapshot.js'
import { stagingFor } from './staging.js'
import { surveyOf } from './survey.js'
import { warmingFor } from './warming.js'

/** Dependencies of `Planner`. */
export interface PlannerOptions {
  readonly history: OrderHistory
  readonly loads: LoadLimit
}

/**
 * Plans the next step of a domain. Four safety rules hold whatever the facts are: a replica is opened only when every member
 * says that it is ready in it (lifecycle.ts); an engine enters another replica only when its old head does not serve
 * (lifecycle.ts, snapshot.ts); each change has a higher epoch (draft.ts); loads stay below the weight store's limits
 * (loadlimit.ts).
 */
export class Planner {
  readonly #history: OrderHistory
  readonly #loads: LoadLimit

  constructor ({ history, loads }: PlannerOptions) {
    this.#history = history
    this.#loads = loads
  }

  /** The next step. It is empty where desired and actual state agree and no order is due. */
  step (facts: DomainFacts): Step {
    const draft = new PlacementDraft(new Snapshot(facts))
    const pool = new Pool(draft, this.#loads)
    const survey = surveyOf(pool)
    const orders = this.#maintain(draft)
    if (!facts.arriving) compose(pool)
    if (facts.warmSpares) orders.push(...warmingFor(pool))
    orders.push(...stagingFor(pool).map(stageOrder))
    // The orders were planned for the stored placement. If that changes, only closes are sure to be right; the others are planned
    // anew from the new placement, at the look that follows each write.
    const valid = draft.changed ? orders.filter(each => each.kind === 'close') : orders
    const fence = facts.placement.epoch
    // The order of the list decides which loads get the permits: those of replicas that form before staging.
    const permitted = valid.map(each => ({ ...each, fence })).filter(each => mayGive(each, facts, this.#history, this.#loads))
    const quiet = !draft.changed && orders.length === 0
    return { placement: draft.placement, orders: permitted, quiet, notes: draft.notes, survey }
  }

  /** Looks after the replicas of the stored placement, in its order. */
  #maintain (draft: PlacementDraft): UnfencedOrder[] {
    return draft.snapshot.facts.placement.replicas.flatMap(replica => {
      const { dissolved, orders } = nextForReplica(replica, draft, this.#history)
      if (dissolved !== undefined) draft.dissolve(replica, dissolved)
      return orders ?? []
    })
  }
}

/** Plans replicas of lacking models while engines suffice, then takes engines of other models for those that still lack some. */
function compose (pool: Pool): void {
  const { draft } = pool
  let formed = true
  while (formed) formed = draft.lacking.some(model => form(model, pool))
  for (const model of draft.lacking) {
    const donors = donorsFor(model, pool)
    if (donors.length > 0) draft.retire(donors, model)
  }
}

/** Plans one more replica of a model. Returns whether there were engines for it. */
function form (model: Model, pool: Pool): boolean {
  const members = membersFor(model, pool)
  if (members !== undefined) pool.draft.form(model, members)
  return members !== undefined
}
