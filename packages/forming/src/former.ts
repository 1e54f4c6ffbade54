import { type Upstream } from '@eiderwind/roster'
import { type Model } from '@eiderwind/traffic'
import { DomainDraft } from './draft.js'
import { type DomainFacts, type Order, type Step } from './facts.js'
import { type Ledger } from './ledger.js'
import { type LoadRate } from './loadrate.js'
import { type Placed } from './placement.js'

/** What a former works with. */
export interface FormerOptions {
  readonly ledger: Ledger
  readonly loads: LoadRate
}

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
    const draft = new DomainDraft(facts, this.#loads)
    for (const replica of facts.placement.replicas) this.#keep(draft, replica)
    if (facts.arriving) for (const { upstream, model } of draft.first) draft.order(staging(upstream, model, false))
    else this.#form(draft)
    const placement = draft.placement
    const orders = placement === facts.placement ? draft.orders : draft.orders.filter(each => each.kind === 'close')
    return { placement, orders: orders.filter(order => this.#allowed(facts, order)), notes: draft.notes }
  }

  #allowed ({ engine, unserved, complete }: DomainFacts, order: Order): boolean {
    if (!this.#ledger.due(order)) return false
    if (!order.loads) return true
    if (this.#loads.loading(order.node) === order.model && this.#ledger.taken(order)) return false
    if (order.spare === true && unserved && !complete) return false
    const model = order.model ?? ''
    const time = engine.models.find(each => each.name === model)?.load ?? 0
    const room = order.spare === true && !unserved ? Math.ceil(engine.loadsAtOnce / 2) : 0
    return this.#loads.take({ engine, node: order.node, model, time, room, unrated: unserved })
  }

  #keep (draft: DomainDraft, replica: Placed): void {
    const missing = replica.members.filter(({ id }) => draft.missing(id))
    const head = draft.head(replica)
    if (missing.length > 0) return this.#dissolve(draft, replica, head, missing.map(each => each.id))
    if (head?.membership?.state === 'broken') return draft.remove(replica, 'broken')
    if (replica.retiring === true) return this.#retire(draft, replica, head)
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
    if (state === 'open') {
      const planned = missing.every(id => draft.leaves(id))
      return draft.order(closing(replica, planned ? 'finish' : 'cut'))
    }
    // A head that is not listed may serve on; one that is listed may have just opened, or still open late.
    const certain = draft.listed(first.id) && state !== 'closing' && !this.#ledger.mayOpen(first.id, replica.name)
    if (certain) draft.remove(replica, why)
    else draft.order(closing(replica, 'cut'))
  }

  /** Empties a replica whose engines are wanted elsewhere; its streams go on elsewhere at once where a model is not served at all. */
  #retire (draft: DomainDraft, replica: Placed, head: Upstream | undefined): void {
    if (head?.membership?.state === 'open') return draft.order(closing(replica, draft.withoutReplica ? 'cut' : 'finish'))
    if (head?.membership?.state === 'closing') return
    if (this.#ledger.mayOpen(replica.members[0].id, replica.name)) draft.order(closing(replica, 'finish'))
    else draft.remove(replica, 'retired')
  }

  #join (draft: DomainDraft, replica: Placed, id: string): void {
    const upstream = draft.upstream(id)
    if (upstream === undefined || !draft.movable(upstream)) return
    const members = replica.members.map(each => each.id)
    const { name, epoch, model } = replica
    const loads = !upstream.loaded.includes(model) && !upstream.staged.includes(model)
    draft.order({ kind: 'join', node: id, address: upstream.address, replica: name, epoch, model, members, loads })
  }

  /** Forms what the domain lacks, and has weights staged for what may be lacking next. */
  #form (draft: DomainDraft): void {
    for (let formed = true; formed;) formed = draft.lacking.some(model => draft.form(model))
    for (const model of draft.lacking) {
      const donors = draft.dire(model) ? draft.donors(model) : []
      if (donors.length > 0) draft.retire(donors, model)
    }
    for (const { upstream, model, spare } of draft.unstaged()) {
      draft.order(staging(upstream, model, spare))
    }
  }
}

function staging ({ id, address }: Upstream, { name }: Model, spare: boolean): Omit<Order, 'fence'> {
  return { kind: 'stage', node: id, address, replica: '', epoch: 0, model: name, loads: true, spare }
}

function closing ({ name, epoch, members: [{ id, address }] }: Placed, manner: 'finish' | 'cut'): Omit<Order, 'fence'> {
  return { kind: 'close', node: id, address, replica: name, epoch, manner, loads: false }
}
