/**
 * The engines of a domain that a new replica may take. Owns the rules of which engine is free, and for which model it is kept.
 * Follows the changes of the draft.
 */
import { type Upstream } from '@eiderwind/roster'
import { type Model } from '@eiderwind/traffic'
import { type PlacementDraft } from './draft.js'
import { holds } from './engines.js'
import { type LoadLimit } from './loadlimit.js'

/** The free engines of a domain. Each getter looks at the draft as it is then. */
export class Pool {
  readonly draft: PlacementDraft
  readonly #loads: LoadLimit

  constructor (draft: PlacementDraft, loads: LoadLimit) {
    this.draft = draft
    this.#loads = loads
  }

  /** Engines in no planned replica that can be counted on and may enter another one, in the order of the roster. */
  get free (): Upstream[] {
    const { placement, snapshot } = this.draft
    const { evacuated, lapsed, upstreams } = snapshot.facts
    const used = new Set(placement.replicas.flatMap(({ members }) => members.map(({ id }) => id)))
    const unused = upstreams.filter(each => !used.has(each.id) && !snapshot.isMissing(each.id))
    return unused.filter(each => !lapsed.has(each.id) && !evacuated.has(each.id) && snapshot.isMovable(each))
  }

  /** Free engines that a replica of `model` may take: not those whose weights another lacking model needs. */
  freeFor (model: Model): Upstream[] {
    const others = this.draft.lacking.filter(each => each.name !== model.name)
    return this.free.filter(each => holds(each, model.name) || !others.some(other => holds(each, other.name)))
  }

  /** Engines that hold a model's weights and are free for it now, or once the replica that lacks a member is dissolved. */
  availableSoon (model: Model): Upstream[] {
    const { placement, snapshot } = this.draft
    const survivors = placement.replicas.filter(each => !snapshot.isIntact(each)).flatMap(each => snapshot.staying(each))
    const available = [...this.freeFor(model), ...survivors].filter(each => holds(each, model.name))
    return available.filter(({ id }) => !snapshot.facts.evacuated.has(id))
  }

  /** Whether an engine loads weights by this planner's order; those of `model`, where it is given. */
  isLoading ({ id }: Upstream, model?: Model): boolean {
    const loading = this.#loads.loading(id)
    return loading !== undefined && (model === undefined || loading === model.name)
  }
}
