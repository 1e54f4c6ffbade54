import { type Model } from '@eiderwind/traffic'
import { type Upstream } from '@eiderwind/roster'
import { type DomainFacts, type Order } from './facts.js'
import { type LoadRate } from './loadrate.js'
import { type Placed, type Placement } from './placement.js'

/** Spares of a domain that hold a model, the largest first, before one holds another. */
const heldEach = 1

/** A model with this many whole replicas or fewer takes engines of other models, and gives none up. */
const direCount = 1

/** The step under way in one domain: the facts, and what was decided so far. */
export class DomainDraft {
  readonly orders: Order[] = []
  readonly notes: string[] = []
  readonly #facts: DomainFacts
  readonly #loads: LoadRate
  readonly #upstreams: ReadonlyMap<string, Upstream>
  #placement: Placement

  constructor (facts: DomainFacts, loads: LoadRate) {
    this.#facts = facts
    this.#loads = loads
    this.#upstreams = new Map(facts.upstreams.map(each => [each.id, each]))
    this.#placement = facts.placement
    if (!facts.arriving && !sameCounts(facts.placement.targets, facts.targets)) {
      this.#placement = { ...facts.placement, targets: facts.targets }
      this.notes.push(`targets ${JSON.stringify(facts.targets)}`)
    }
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

  /** Models of which the domain has fewer replicas than it should, those that need one most first. */
  get lacking (): Model[] {
    const models = [...this.#facts.engine.models].sort((a, b) => this.#need(b.name) - this.#need(a.name) || b.size - a.size)
    return models.filter(({ name }) => this.#placed(name) < (this.#placement.targets[name] ?? 0))
  }

  /**
   * Forms one more replica of a model from engines that hold its weights already, or from ones that hold nothing. Says
   * whether it did; engines are not kept waiting in a replica for one of them that still has to load.
   */
  form (model: Model): boolean {
    const free = this.#freeFor(model)
    const ready = free.filter(each => holds(each, model))
    const empty = free.filter(each => isEmpty(each) && this.#loads.loading(each.id) === undefined)
    const from = ready.length >= model.size ? ready : empty
    if (from.length < model.size || (from === empty && this.#coming(model).length > 0)) return false
    const members = from.sort((a, b) => readiness(a, model) - readiness(b, model) || (a.id < b.id ? -1 : 1)).slice(0, model.size)
    this.#add(model, members)
    return true
  }

  /** Whether a model has no whole replica anywhere. */
  get withoutReplica (): boolean {
    return this.lacking.some(({ name }) => (this.#facts.whole[name] ?? 0) === 0)
  }

  /** Whether a model has so few replicas that those of others give engines up for it, and none does already. */
  dire (model: Model): boolean {
    return (this.#facts.whole[model.name] ?? 0) <= direCount && !this.#placement.replicas.some(each => each.retiring === true)
  }

  /**
   * Open replicas of other models, as few as possible, whose engines together with the free ones can serve `model`
   * without a load. None where that cannot be.
   */
  donors (model: Model): Placed[] {
    let lacking = model.size - this.#coming(model).length
    const givers = this.#placement.replicas.filter(each => each.model !== model.name && this.#spares(each.model, model.name) && this.#serving(each))
    const given = (replica: Placed): number => replica.members.filter(({ id }) => holds(this.#upstreams.get(id) as Upstream, model)).length
    const chosen: Placed[] = []
    for (const giver of givers.sort((a, b) => given(b) - given(a))) {
      if (lacking <= 0 || given(giver) === 0) break
      chosen.push(giver)
      lacking -= given(giver)
    }
    return lacking > 0 ? [] : chosen
  }

  /** Has replicas finish what they have, so that their engines can serve `model`. */
  retire (replicas: readonly Placed[], model: Model): void {
    const names = new Set(replicas.map(each => each.name))
    const changed = this.#placement.replicas.map(each => names.has(each.name) ? { ...each, retiring: true } : each)
    this.#placement = { ...this.#placement, replicas: changed }
    this.notes.push(`${[...names].join(' ')} retired for ${model.name}`)
  }

  /**
   * Engines that should hold another model's weights in their host's memory: first those that a lacking replica waits for,
   * then spares that hold none, then engines of smaller models, so that a large one can be mended from them at once.
   */
  unstaged (): Array<{ upstream: Upstream, model: Model, spare: boolean }> {
    const spares = this.#free.filter(each => this.#loads.loading(each.id) === undefined)
    const awaited = this.#awaited(spares)
    if (awaited.length > 0) return awaited
    const empty = spares.filter(isEmpty)
    return empty.length > 0 ? this.#protect(empty) : this.#crossed()
  }

  /** Spares that should hold the model that a lacking replica waits for. */
  #awaited (spares: readonly Upstream[]): Array<{ upstream: Upstream, model: Model, spare: boolean }> {
    const used = new Set<string>()
    return this.lacking.flatMap(model => {
      const free = this.#freeFor(model)
      const coming = this.#coming(model).length + free.filter(each => !holds(each, model) && this.#loads.loading(each.id) === model.name).length
      const others = spares.filter(each => !holds(each, model) && !used.has(each.id) && free.includes(each))
      const chosen = others.sort((a, b) => Number(isEmpty(b)) - Number(isEmpty(a))).slice(0, Math.max(0, model.size - coming))
      for (const { id } of chosen) used.add(id)
      return chosen.map(upstream => ({ upstream, model, spare: false }))
    })
  }

  /** What the engines that have come so far load: a replica and a spare of each model, the largest first, then the smallest. */
  get first (): Array<{ upstream: Upstream, model: Model }> {
    const empty = this.#free.filter(each => isEmpty(each) && this.#loads.loading(each.id) === undefined)
    const models = [...this.#facts.engine.models].sort((a, b) => b.size - a.size)
    return this.#shared(empty, models, model => model.size + heldEach, models[models.length - 1])
  }

  #protect (empty: readonly Upstream[]): Array<{ upstream: Upstream, model: Model, spare: boolean }> {
    const models = [...this.#facts.engine.models].sort((a, b) => b.size - a.size)
    return this.#shared(empty, models, () => heldEach, models[0]).map(each => ({ ...each, spare: false }))
  }

  /** Gives each engine the first model of which fewer free ones than `wanted` hold or load it, and then `last`. */
  #shared (engines: readonly Upstream[], models: readonly Model[], wanted: (model: Model) => number, last: Model): Array<{ upstream: Upstream, model: Model }> {
    const held = new Map(models.map(model => [model, this.#free.filter(each => holds(each, model) || this.#loads.loading(each.id) === model.name).length]))
    return engines.map(upstream => {
      const model = models.find(each => held.get(each) as number < wanted(each)) ?? last
      held.set(model, held.get(model) as number + 1)
      return { upstream, model }
    })
  }

  /** Engines that serve a smaller model and do not hold the largest one yet. */
  #crossed (): Array<{ upstream: Upstream, model: Model, spare: boolean }> {
    const largest = this.#facts.engine.models.reduce((a, b) => b.size > a.size ? b : a)
    const serving = this.#placement.replicas.filter(each => each.model !== largest.name && this.#serving(each))
    return serving.flatMap(each => each.members.map(({ id }) => this.#upstreams.get(id) as Upstream))
      .filter(each => !each.staged.includes(largest.name))
      .map(upstream => ({ upstream, model: largest, spare: true }))
  }

  #add (model: Model, members: readonly Upstream[]): void {
    const epoch = Math.max(this.#placement.epoch, ...this.#facts.upstreams.map(each => each.membership?.epoch ?? 0)) + 1
    const replica: Placed = { name: `${this.#placement.domain}.${epoch}`, model: model.name, epoch, members: members.map(({ id, address }) => ({ id, address })) }
    this.#placement = { ...this.#placement, epoch, replicas: [...this.#placement.replicas, replica] }
    this.notes.push(`${replica.name} of ${model.name} formed: ${members.map(each => each.id).join(' ')}`)
  }

  /** Whether a model can give a replica up for another one, which needs it more. */
  #spares (giver: string, taker: string): boolean {
    return (this.#facts.whole[giver] ?? 0) > direCount && this.#need(giver) < this.#need(taker)
  }

  #need (model: string): number {
    return this.#facts.needs[model] ?? 0
  }

  #placed (model: string): number {
    return this.#placement.replicas.filter(each => each.model === model && !this.#doomed(each)).length
  }

  /** Whether a replica lacks a member: it is to be dissolved as soon as its head is known not to serve. */
  #doomed ({ members }: Placed): boolean {
    return members.some(({ id }) => this.missing(id))
  }

  /** Engines that hold a model's weights and are free for it now, or as soon as the doomed replica that they are in is dissolved. */
  #coming (model: Model): Upstream[] {
    const doomed = this.#placement.replicas.filter(each => this.#doomed(each)).flatMap(each => each.members)
    const survivors = doomed.filter(({ id }) => !this.missing(id)).map(({ id }) => this.#upstreams.get(id) as Upstream)
    return [...this.#freeFor(model), ...survivors].filter(each => holds(each, model))
  }

  #serving (replica: Placed): boolean {
    return this.head(replica)?.membership?.state === 'open' && replica.members.every(({ id }) => !this.missing(id))
  }

  /** Free engines that a replica of `model` may take: not those that another lacking replica waits for. */
  #freeFor (model: Model): Upstream[] {
    const others = this.lacking.filter(each => each.name !== model.name)
    return this.#free.filter(each => holds(each, model) || !others.some(other => holds(each, other)))
  }

  get #free (): Upstream[] {
    const used = new Set(this.#placement.replicas.flatMap(each => each.members.map(member => member.id)))
    return this.#facts.upstreams.filter(each => !used.has(each.id) && !this.#facts.doubtful.has(each.id) && !this.missing(each.id) && this.movable(each))
  }
}

function sameCounts (a: Readonly<Record<string, number>>, b: Readonly<Record<string, number>>): boolean {
  return [...new Set([...Object.keys(a), ...Object.keys(b)])].every(name => (a[name] ?? 0) === (b[name] ?? 0))
}

function holds ({ loaded, staged }: Upstream, { name }: Model): boolean {
  return loaded.includes(name) || staged.includes(name)
}

function isEmpty ({ loaded, staged }: Upstream): boolean {
  return loaded.length === 0 && staged.length === 0
}

/** How soon an engine serves a model: 0 at once, 1 from its host's memory, 2 after a load. */
function readiness ({ loaded, staged }: Upstream, { name }: Model): number {
  if (loaded.includes(name)) return 0
  return staged.includes(name) ? 1 : 2
}
