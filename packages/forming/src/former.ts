import { type Model } from '@eiderwind/traffic'
import { type Upstream } from '@eiderwind/roster'
import { type DomainFacts, type Order, type Step } from './facts.js'
import { type Ledger } from './ledger.js'
import { type LoadRate } from './loadrate.js'
import { type Placed, type Placement } from './placement.js'

/** What a former works with. */
export interface FormerOptions {
  readonly ledger: Ledger
  readonly loads: LoadRate
}

/** A model that does not fit is passed over for one that is needed at least this much, in parts of the first one's need. */
const passOver = 0.6

/**
 * Decides the next step in one domain from what its engines say. It keeps four rules whatever it is told: a replica is
 * opened only when every member says ready under its name and epoch; an engine is put into another replica only
 * when its old head does not serve; each change has a higher epoch; loads stay under the store's rate.
 */
export class Former {
  readonly #ledger: Ledger
  readonly #loads: LoadRate

  constructor ({ ledger, loads }: FormerOptions) {
    this.#ledger = ledger
    this.#loads = loads
  }

  /** The next step. With the same facts and nothing due it is empty. */
  step (facts: DomainFacts): Step {
    const draft = new DomainDraft(facts)
    for (const replica of facts.placement.replicas) this.#keep(draft, replica)
    this.#form(draft)
    const placement = draft.placement
    const orders = placement === facts.placement ? draft.orders : draft.orders.filter(each => each.kind === 'close')
    return { placement, orders: orders.filter(order => this.#allowed(facts, order)), notes: draft.notes }
  }

  #allowed ({ engine }: DomainFacts, order: Order): boolean {
    if (!this.#ledger.due(order)) return false
    if (!order.loads) return true
    const model = engine.models.find(each => each.name === order.model)
    return this.#loads.take(engine, order.node, order.model ?? '', model?.load ?? 0)
  }

  #keep (draft: DomainDraft, replica: Placed): void {
    const missing = replica.members.filter(({ id }) => draft.missing(id))
    const head = draft.head(replica)
    if (missing.length > 0) return this.#dissolve(draft, replica, head, missing.map(each => each.id))
    if (head?.membership?.state === 'broken') return draft.remove(replica, 'broken')
    if (replica.members.some(({ id }) => this.#ledger.stale(id, replica.name))) {
      if (head?.membership?.state === 'open') return draft.order(closing(replica, 'finish'))
      return draft.remove(replica, 'an engine has seen a higher epoch')
    }
    if (head?.membership?.state === 'open' || head?.membership?.state === 'closing') return
    const waiting = replica.members.filter(({ id }) => !draft.joined(id, replica))
    for (const { id } of waiting) this.#join(draft, replica, id)
    if (waiting.length === 0 && replica.members.every(({ id }) => draft.upstream(id)?.membership?.state === 'ready')) {
      draft.order({ kind: 'open', node: replica.members[0].id, address: replica.members[0].address, replica: replica.name, epoch: replica.epoch, loads: false })
    }
  }

  /** Takes a replica apart that lacks a member. Its members are free only once its head is known not to serve. */
  #dissolve (draft: DomainDraft, replica: Placed, head: Upstream | undefined, missing: readonly string[]): void {
    const why = `${missing.join(' ')} missing`
    const first = replica.members[0]
    const state = head?.membership?.state
    if (draft.ended(first.id)) return draft.remove(replica, why)
    if (head === undefined) {
      // Either the head was never in it, or the platform has dropped it from its list and it may serve on.
      if (draft.listed(first.id) && !this.#ledger.mayOpen(first.id, replica.name)) return draft.remove(replica, why)
      if (!draft.listed(first.id)) draft.order(closing(replica, 'cut'))
      return
    }
    if (state === 'open') {
      const planned = missing.every(id => draft.leaves(id))
      return draft.order(closing(replica, planned ? 'finish' : 'cut'))
    }
    if (state === 'closing') return draft.order(closing(replica, 'cut'))
    if (!this.#ledger.mayOpen(first.id, replica.name)) return draft.remove(replica, why)
    draft.order({ kind: 'leave', node: first.id, address: first.address, replica: replica.name, epoch: replica.epoch, loads: false })
  }

  #join (draft: DomainDraft, replica: Placed, id: string): void {
    const upstream = draft.upstream(id)
    if (upstream === undefined || !draft.movable(upstream)) return
    const members = replica.members.map(each => each.id)
    const { name, epoch, model } = replica
    const loads = !upstream.loaded.includes(model) && !upstream.staged.includes(model)
    draft.order({ kind: 'join', node: id, address: upstream.address, replica: name, epoch, model, members, loads })
  }

  #form (draft: DomainDraft): void {
    for (let model = draft.next(); model !== undefined; model = draft.next()) draft.form(model)
    for (const { upstream, model } of draft.unstaged()) {
      draft.order({ kind: 'stage', node: upstream.id, address: upstream.address, replica: '', epoch: 0, model: model.name, loads: true })
    }
  }
}

/** The step under way: the facts, and what was decided so far. */
class DomainDraft {
  readonly orders: Order[] = []
  readonly notes: string[] = []
  readonly #facts: DomainFacts
  readonly #upstreams: ReadonlyMap<string, Upstream>
  #placement: Placement

  constructor (facts: DomainFacts) {
    this.#facts = facts
    this.#upstreams = new Map(facts.upstreams.map(each => [each.id, each]))
    this.#placement = facts.placement
  }

  get placement (): Placement {
    return this.#placement
  }

  upstream (id: string): Upstream | undefined {
    return this.#upstreams.get(id)
  }

  listed (id: string): boolean {
    return this.#upstreams.has(id)
  }

  leaves (id: string): boolean {
    return this.#upstreams.get(id)?.leaving === true && !this.#facts.silent.has(id)
  }

  ended (id: string): boolean {
    return this.#facts.ended.has(id)
  }

  missing (id: string): boolean {
    const upstream = this.#upstreams.get(id)
    return upstream === undefined || upstream.leaving || this.#facts.silent.has(id)
  }

  joined (id: string, { name, epoch }: Placed): boolean {
    const membership = this.#upstreams.get(id)?.membership
    return membership?.replica === name && membership.epoch === epoch
  }

  /** The head of a replica, where the platform lists it and it says so itself. */
  head (replica: Placed): Upstream | undefined {
    const { id } = replica.members[0]
    return this.joined(id, replica) ? this.#upstreams.get(id) : undefined
  }

  /** Whether an engine may be put into another replica: the head of the one that it is in does not serve. */
  movable ({ membership }: Upstream): boolean {
    if (membership === undefined) return true
    const { replica, epoch } = membership
    const head = this.#facts.upstreams.find(each => each.membership?.replica === replica && each.membership.epoch === epoch && each.membership.rank === 0)
    return head?.membership?.state !== 'open' && head?.membership?.state !== 'closing'
  }

  order (order: Omit<Order, 'fence'>): void {
    this.orders.push({ ...order, fence: this.#facts.placement.epoch })
  }

  remove (replica: Placed, why: string): void {
    const replicas = this.#placement.replicas.filter(each => each.name !== replica.name)
    this.#placement = { ...this.#placement, replicas }
    this.notes.push(`${replica.name} of ${replica.model} dissolved: ${why}`)
  }

  /** The model to form one more replica of, if any fits. */
  next (): Model | undefined {
    const { engine, wanted, reserve } = this.#facts
    const free = this.#free.length
    const most = wanted[0]?.need ?? 0
    for (const { model: name, need } of this.#wants) {
      const model = engine.models.find(each => each.name === name)
      const kept = need >= 1 ? 0 : reserve
      if (model !== undefined && need >= passOver * most && free - model.size >= kept) return model
    }
    return undefined
  }

  /** Adds a replica of the engines that are ready for it soonest. */
  form (model: Model): void {
    const epoch = Math.max(this.#placement.epoch, ...this.#facts.upstreams.map(each => each.membership?.epoch ?? 0)) + 1
    const members = this.#free.sort((a, b) => readiness(a, model) - readiness(b, model) || (a.id < b.id ? -1 : 1)).slice(0, model.size)
    const replica: Placed = { name: `${this.#placement.domain}.${epoch}`, model: model.name, epoch, members: members.map(({ id, address }) => ({ id, address })) }
    this.#placement = { ...this.#placement, epoch, replicas: [...this.#placement.replicas, replica] }
    this.notes.push(`${replica.name} of ${model.name} formed: ${members.map(each => each.id).join(' ')}`)
  }

  /** Spares that hold no weights, each with the model that it should hold. */
  unstaged (): Array<{ upstream: Upstream, model: Model }> {
    const { models } = this.#facts.engine
    const spares = this.#free
    const held = new Map(models.map(model => [model, spares.filter(each => ready(each, model)).length]))
    return spares.filter(each => each.loaded.length === 0 && each.staged.length === 0).map(upstream => {
      const model = [...models].sort((a, b) => (held.get(a) as number) - (held.get(b) as number) || b.size - a.size)[0]
      held.set(model, held.get(model) as number + 1)
      return { upstream, model }
    })
  }

  /** What the fleet wants, less what this step has formed already. */
  get #wants (): DomainFacts['wanted'] {
    const formed = new Map<string, number>()
    const before = new Set(this.#facts.placement.replicas.map(each => each.name))
    for (const { name, model } of this.#placement.replicas) if (!before.has(name)) formed.set(model, (formed.get(model) ?? 0) + 1)
    return this.#facts.wanted.map(({ model, need }) => ({ model, need: need / (1 + (formed.get(model) ?? 0)) })).sort((a, b) => b.need - a.need)
  }

  get #free (): Upstream[] {
    const used = new Set(this.#placement.replicas.flatMap(each => each.members.map(member => member.id)))
    return this.#facts.upstreams.filter(each => !used.has(each.id) && !this.missing(each.id) && this.movable(each))
  }
}

function closing ({ name, epoch, members: [{ id, address }] }: Placed, manner: 'finish' | 'cut'): Omit<Order, 'fence'> {
  return { kind: 'close', node: id, address, replica: name, epoch, manner, loads: false }
}

function ready ({ loaded, staged }: Upstream, model: Model): boolean {
  return loaded.includes(model.name) || staged.includes(model.name)
}

/** How soon an engine serves a model: 0 at once, 1 from its host's memory, 2 after a load; a spare of another model last. */
function readiness ({ loaded, staged }: Upstream, { name }: Model): number {
  if (loaded.includes(name)) return 0
  if (staged.includes(name)) return 1
  return loaded.length === 0 && staged.length === 0 ? 2 : 3
}
