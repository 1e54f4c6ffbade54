/**
 * Plans the next step of one domain from its desired and its actual state. Owns the order of the decisions within a
 * step. It has no state of its own and relies on the order history and the load limit that it receives.
 */
import { type Model } from '@eiderwind/traffic'
import { donorsFor, membersFor } from './composition.js'
import { PlacementDraft } from './draft.js'
import { type DomainFacts, type Step } from './facts.js'
import { type OrderHistory } from './history.js'
import { nextForReplica } from './lifecycle.js'
import { type LoadLimit } from './loadlimit.js'
import { stageOrder, type UnfencedOrder } from './orders.js'
import { maySend } from './permits.js'
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
 * Plans the next step of a domain. Four safety rules hold for any facts. A replica is opened only when every member
 * reports that it is ready in it (lifecycle.ts). An engine enters another replica only when its old head does not serve
 * or after it has left that replica itself (lifecycle.ts, snapshot.ts). Each change has a higher epoch (draft.ts). Loads
 * stay below the limits of the weight store (loadlimit.ts).
 */
export class Planner {
  readonly #history: OrderHistory
  readonly #loads: LoadLimit

  constructor ({ history, loads }: PlannerOptions) {
    this.#history = history
    this.#loads = loads
  }

  /** The next step. It is empty if the desired and the actual state agree and no order is due. */
  step (facts: DomainFacts): Step {
    const draft = new PlacementDraft(new Snapshot(facts))
    const pool = new Pool(draft, this.#loads)
    const survey = surveyOf(pool)
    const orders = this.#maintain(draft)
    if (!facts.arriving) compose(pool)
    if (facts.warmSpares) orders.push(...warmingFor(pool))
    orders.push(...stagingFor(pool).map(stageOrder))
    // The orders were planned for the stored placement. If the placement changes, only the orders to close are
    // certainly still right. The others are planned again from the new placement, in the pass that follows each write.
    const valid = draft.changed ? orders.filter(each => each.kind === 'close') : orders
    const fence = facts.placement.epoch
    // The order of the list decides which loads get the permits: loads for replicas that form precede staging.
    const permitted = valid.map(each => ({ ...each, fence })).filter(each => maySend(each, facts, this.#history, this.#loads))
    const quiet = !draft.changed && orders.length === 0
    return { placement: draft.placement, orders: permitted, quiet, decisions: draft.decisions, survey }
  }

  /** Plans the next step of each replica of the stored placement, in the order of the placement. */
  #maintain (draft: PlacementDraft): UnfencedOrder[] {
    return draft.snapshot.facts.placement.replicas.flatMap(replica => {
      const { dissolved, orders } = nextForReplica(replica, draft, this.#history)
      if (dissolved !== undefined) draft.dissolve(replica, dissolved)
      return orders ?? []
    })
  }
}

/**
 * Plans replicas of lacking models while there are enough engines. Then takes engines of other models for the models
 * that still lack replicas.
 */
function compose (pool: Pool): void {
  const { draft } = pool
  let formed = true
  while (formed) formed = draft.lacking.some(model => form(model, pool))
  // A replica that seems to lack engines may only be silent. No other replica is closed for it.
  if (draft.snapshot.facts.doubtful.size > 0) return
  for (const model of draft.lacking) {
    const donors = donorsFor(model, pool)
    if (donors.length > 0) draft.retire(donors, model)
  }
}

/** Plans one more replica of a model. Returns whether there were enough engines. */
function form (model: Model, pool: Pool): boolean {
  const members = membersFor(model, pool)
  if (members !== undefined) pool.draft.form(model, members)
  return members !== undefined
}
