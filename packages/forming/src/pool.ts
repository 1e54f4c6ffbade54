/**
 * The engines of a domain that a new replica may take. Owns the rules for which engine is free, and for which model it
 * is reserved. Reflects the changes of the draft.
 */
import { type Upstream } from '@eiderwind/roster'
import { type Model } from '@eiderwind/traffic'
import { type PlacementDraft } from './draft.js'
import { holds } from './engines.js'
import { type LoadLimit } from './loadlimit.js'

/** The free engines of a domain. Each getter reads the current state of the draft. */
export class Pool {
  readonly draft: PlacementDraft
  readonly #loads: LoadLimit

  constructor (draft: PlacementDraft, loads: LoadLimit) {
    this.draft = draft
    this.#loads = loads
  }

  /** Engines that are available, in no planned replica, and may enter another one, in the order of the roster. */
  get free (): Upstream[] {
    const { placement, snapshot } = this.draft
    const { evacuated, lapsed, upstreams } = snapshot.facts
    const used = new Set(placement.replicas.flatMap(({ members }) => members.map(({ id }) => id)))
    const unused = upstreams.filter(each => !used.has(each.id) && !snapshot.isMissing(each.id))
    return unused.filter(each => !lapsed.has(each.id) && !evacuated.has(each.id) && snapshot.isMovable(each))
  }

  /**
   * Free engines that a replica of `model` may take. Engines that hold the weights of another lacking model are
   * excluded, unless they hold those of `model` too.
   */
  freeFor (model: Model): Upstream[] {
    const others = this.draft.lacking.filter(each => each.name !== model.name)
    return this.free.filter(each => holds(each, model.name) || !others.some(other => holds(each, other.name)))
  }

  /**
   * Engines that hold a model's weights and are free for it, now or after a replica that lacks a member is dissolved.
   */
  availableSoon (model: Model): Upstream[] {
    const { placement, snapshot } = this.draft
    const survivors = placement.replicas.filter(each => !snapshot.isIntact(each)).flatMap(each => snapshot.staying(each))
    const available = [...this.freeFor(model), ...survivors].filter(each => holds(each, model.name))
    return available.filter(({ id }) => !snapshot.facts.evacuated.has(id))
  }

  /** Whether an engine loads weights on an order of a planner: those of `model`, or any if `model` is omitted. */
  isLoading ({ id }: Upstream, model?: Model): boolean {
    const loading = this.#loads.loading(id)
    return loading !== undefined && (model === undefined || loading === model.name)
  }
}
