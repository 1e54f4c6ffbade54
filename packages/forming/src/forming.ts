import { type Result } from 'ts-results-es'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Roster, type Upstream } from '@eiderwind/roster'
import { type Engine, type Service } from '@eiderwind/traffic'
import { needs, retarget, type Counts, type Demand } from './demand.js'
import { type DomainFacts, type Order, type Step } from './facts.js'
import { Former } from './former.js'
import { Ledger, type OrderResult } from './ledger.js'
import { LoadRate } from './loadrate.js'
import { emptyPlacement, type Member, type Placement } from './placement.js'

/** Gives orders to engines. */
export abstract class Orders {
  abstract give (order: Order): Promise<OrderResult>
  /** Whether an engine answers a call at all. */
  abstract answers (address: string): Promise<boolean>
  /** A number that changes as long as the platform hears of an upstream; undefined where that cannot be told. */
  abstract pulse (node: string): Promise<number | undefined>
}

/** Why a placement could not be written: another one was there first, or nobody can tell. */
export type WriteFailure = 'conflict' | 'unknown'

/** Keeps placements where they outlast every process. */
export abstract class Placements {
  abstract read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>>
  /** Replaces the placement if its version is still `version` (0: there is none yet). Gives the new version. */
  abstract write (placement: Placement, version: number): Promise<Result<number, WriteFailure>>
}

/** What the controller stands on. Spans are in ms. */
export interface FormingOptions {
  readonly clock: Clock
  readonly roster: Roster
  readonly orders: Orders
  readonly placements: Placements
  /** The services of the configuration in force. */
  readonly services: () => readonly Service[]
  /** Whether this process acts for a service now. */
  readonly acts: (service: string) => boolean
  /** Heads whose streams stand still, as any entry sees it. */
  readonly suspects: () => ReadonlySet<string>
  readonly demand: (service: string) => Demand
  /** Whether no caller was ever served anywhere. */
  readonly unserved: () => boolean
  /** Time between two changes of an upstream's pulse. */
  readonly pulseTime: number
  /** When this process last woke from standing still itself, on `Clock.now`. */
  readonly wokeAt: () => number
  /** Told of each decision, and of each order with its answer. */
  readonly decided: (domain: string, note: string, epoch: number) => void
  readonly ordered: (order: Order, result: OrderResult, took: number) => void
  /** Told of a failure that the controller goes on after. */
  readonly failed: (error: unknown) => void
}

/** Time between two looks, and after which an order is given again, in ms. */
const interval = 100
const repeatAfter = 900

/** A system that starts has all its engines once none has come for this long, in ms. */
const arrivalTime = 600

/** An engine that is suspected is asked this often, in ms. */
const askInterval = 600

/** A head that leaves this many orders unanswered has ended, once the platform hears nothing of it either. */
const mostUnanswered = 2

/** A pulse that stands still for this many of its times has stopped, and how often it is looked at, in ms. */
const pulses = 1.4
const pulseInterval = 250

/** What is so of all domains together. */
type Fleet = Pick<DomainFacts, 'whole' | 'needs' | 'complete' | 'unserved' | 'arriving'>

interface Domain {
  readonly key: string
  readonly service: Service
  readonly upstreams: Upstream[]
  placement: Placement
  version: number
}

/**
 * Forms, opens, repairs and dissolves the replicas of every model service for which this process acts. All that it
 * must know outlasts it: what was decided is in the placements, what is so is told by the engines themselves.
 */
export class Forming {
  readonly #options: FormingOptions
  readonly #ledger: Ledger
  readonly #former: Former
  readonly #loads: LoadRate
  readonly #domains = new Map<string, Domain>()
  readonly #silent = new Set<string>()
  readonly #ended = new Set<string>()
  readonly #unanswered = new Map<string, number>()
  readonly #pulses = new Map<string, { readonly value: number | undefined, readonly since: number, readonly lookedAt: number }>()
  readonly #askedAt = new Map<string, number>()
  /** The most engines that were ever listed, and when the last of them came. */
  #arrived = { count: 0, at: -Infinity }
  #busy = false
  #again = false
  #timer: Subscription | undefined
  #deaf: (() => void) | undefined

  constructor (options: FormingOptions) {
    this.#options = options
    this.#ledger = new Ledger(options.clock, repeatAfter)
    this.#loads = new LoadRate(options.clock)
    this.#former = new Former({ ledger: this.#ledger, loads: this.#loads })
  }

  /** Starts to look at each change of the roster and at an interval. */
  start (): void {
    this.#timer = this.#options.clock.every(interval, () => this.wake())
    this.#deaf = this.#options.roster.listen(() => this.wake())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#deaf?.()
  }

  /** Looks once, or once more after the look that is under way. */
  wake (): void {
    if (this.#busy) {
      this.#again = true
      return
    }
    this.#busy = true
    this.#again = false
    this.look().catch(this.#options.failed).finally(() => {
      this.#busy = false
      if (this.#again) this.wake()
    })
  }

  /** One look at every domain. */
  async look (): Promise<void> {
    const { roster, services, acts } = this.#options
    if (!roster.known) return
    this.#sweep()
    this.#loads.settle(roster.all)
    for (const service of services()) {
      if (service.engine === undefined) continue
      if (acts(service.name)) await this.#lookAt(service, service.engine)
      else this.#drop(service.name)
    }
  }

  /** Forgets what was judged of engines that are long gone and placed nowhere. */
  #sweep (): void {
    const { roster } = this.#options
    this.#ledger.sweep()
    const placed = new Set([...this.#domains.values()].flatMap(({ placement }) => placement.replicas.flatMap(each => each.members.map(({ id }) => id))))
    for (const judged of [this.#silent, this.#ended, this.#unanswered, this.#pulses, this.#askedAt]) {
      for (const id of judged.keys()) {
        if (!placed.has(id) && roster.find(id) === undefined && roster.departure(id) === undefined) judged.delete(id)
      }
    }
  }

  /** Forgets what another process may change from now on. */
  #drop (service: string): void {
    for (const [key, domain] of this.#domains) if (domain.service.name === service) this.#domains.delete(key)
  }

  async #lookAt (service: Service, engine: Engine): Promise<void> {
    const domains = await this.#read(service)
    if (domains === undefined) return
    const sizes = domains.map(({ key, placement, upstreams }) => ({ key, nodes: upstreams.filter(each => this.#stays(each)).length, targets: placement.targets }))
    const demand = this.#options.demand(service.name)
    const targets = retarget(engine.models, sizes, demand)
    const whole = this.#whole(domains)
    const unserved = this.#options.unserved()
    const arriving = unserved && this.#arriving(domains)
    const fleet = { whole, needs: needs(engine.models, whole, demand), complete: this.#complete(domains), unserved, arriving }
    for (const domain of domains) {
      this.#suspect(domain)
      this.#bury(domain)
      const step = this.#former.step(this.#facts(domain, engine, targets.get(domain.key) as Counts, fleet))
      if (step.placement !== domain.placement && !await this.#write(domain, step)) continue
      for (const order of step.orders) this.#give(order)
    }
  }

  #facts ({ placement, upstreams }: Domain, engine: Engine, targets: Counts, fleet: Fleet): DomainFacts {
    return { engine, placement, upstreams, silent: this.#silent, doubtful: this.#options.roster.lapsed, ended: this.#ended, targets, ...fleet }
  }

  #stays ({ id, leaving }: Upstream): boolean {
    return !leaving && !this.#silent.has(id)
  }

  /** Replicas by model that have all their members. */
  #whole (domains: readonly Domain[]): Counts {
    const counts: Record<string, number> = {}
    for (const { placement, upstreams } of domains) {
      const there = new Set(upstreams.filter(each => this.#stays(each)).map(each => each.id))
      for (const { model, members } of placement.replicas) {
        if (members.every(({ id }) => there.has(id))) counts[model] = (counts[model] ?? 0) + 1
      }
    }
    return counts
  }

  /** Whether more engines were listed a moment ago, while nothing was ever decided. */
  #arriving (domains: readonly Domain[]): boolean {
    const { clock } = this.#options
    const count = domains.reduce((sum, each) => sum + each.upstreams.length, 0)
    if (count > this.#arrived.count) this.#arrived = { count, at: clock.now() }
    return domains.every(each => each.placement.epoch === 0) && clock.now() - this.#arrived.at < arrivalTime
  }

  /** Whether every domain has the replicas that it should have, open. */
  #complete (domains: readonly Domain[]): boolean {
    return domains.every(({ placement: { targets, replicas }, upstreams }) => {
      const open = new Set(upstreams.filter(each => each.membership?.state === 'open').map(each => each.membership?.replica))
      const wanted = Object.values(targets).reduce((sum, each) => sum + each, 0)
      return wanted > 0 && replicas.filter(each => open.has(each.name)).length >= wanted
    })
  }

  /** The domains of a service, each with the placement in force. Undefined while the store does not tell. */
  async #read (service: Service): Promise<Domain[] | undefined> {
    const byDomain = new Map<string, Upstream[]>()
    for (const upstream of this.#options.roster.all) {
      if (upstream.service !== service.name || upstream.domain === undefined) continue
      byDomain.set(upstream.domain, [...byDomain.get(upstream.domain) ?? [], upstream])
    }
    const found: Domain[] = []
    for (const [name, upstreams] of byDomain) {
      const key = `${service.name}.${name}`
      const known = this.#domains.get(key) ?? await this.#load(key, service)
      if (known === undefined) return undefined
      const domain = { ...known, service, upstreams }
      this.#domains.set(key, domain)
      found.push(domain)
    }
    return found
  }

  async #load (key: string, service: Service): Promise<Domain | undefined> {
    const read = await this.#options.placements.read(key)
    if (read.isErr()) return undefined
    const { placement, version } = read.value
    return { key, service, upstreams: [], placement: version === 0 ? emptyPlacement(key) : placement, version }
  }

  async #write (domain: Domain, step: Step): Promise<boolean> {
    const written = await this.#options.placements.write(step.placement, domain.version)
    if (written.isErr()) {
      this.#domains.delete(domain.key)
      return false
    }
    domain.placement = step.placement
    domain.version = written.value
    for (const note of step.notes) this.#options.decided(domain.key, note, step.placement.epoch)
    this.#again = true
    return true
  }

  #give (order: Order): void {
    const { clock, orders, ordered, failed } = this.#options
    const begun = clock.now()
    this.#ledger.given(order)
    orders.give(order).then(result => {
      this.#ledger.answered(order, result)
      if (order.kind === 'close') this.#judge(order, result)
      ordered(order, result, clock.now() - begun)
      this.wake()
    }).catch(failed)
  }

  /** Counts the orders to close that a head left unanswered, and takes an answer of one that is no longer listed for its end. */
  #judge ({ node }: Order, result: OrderResult): void {
    this.#unanswered.set(node, result === 'unanswered' ? (this.#unanswered.get(node) ?? 0) + 1 : 0)
    if (result !== 'unanswered' && this.#options.roster.find(node) === undefined) this.#ended.add(node)
  }

  /** Heads that answer nobody and of which the platform hears nothing have ended. Their pulse is felt from the first suspicion on. */
  #bury ({ placement }: Domain): void {
    const suspects = this.#options.suspects()
    for (const { members: [{ id }] } of placement.replicas) {
      const unanswered = this.#unanswered.get(id) ?? 0
      if (unanswered === 0 && !this.#silent.has(id) && !suspects.has(id)) this.#pulses.delete(id)
      else if (this.#options.roster.find(id) !== undefined) this.#feel(id)
      else if (unanswered >= mostUnanswered || (unanswered > 0 && this.#silent.has(id))) this.#ended.add(id)
    }
  }

  /** Looks whether the pulse of a head stands still. */
  #feel (id: string): void {
    const { clock, orders, pulseTime, failed } = this.#options
    const known = this.#pulses.get(id)
    if (known !== undefined && clock.now() - known.lookedAt < pulseInterval) return
    const lookedAt = clock.now()
    this.#pulses.set(id, { value: known?.value, since: known?.since ?? Infinity, lookedAt })
    orders.pulse(id).then(value => {
      const since = value !== undefined && value === known?.value ? Math.min(known.since, lookedAt) : clock.now()
      this.#pulses.set(id, { value, since, lookedAt })
      const still = value !== undefined && clock.now() - since >= pulses * pulseTime
      if (still && this.#silent.has(id) && (this.#unanswered.get(id) ?? 0) > 0) this.#ended.add(id)
      this.wake()
    }).catch(failed)
  }

  /** Asks every member of a replica whose head is suspected whether it is there. */
  #suspect ({ placement }: Domain): void {
    const suspects = this.#options.suspects()
    for (const replica of placement.replicas) {
      const doubtful = suspects.has(replica.members[0].id) || replica.members.some(({ id }) => this.#silent.has(id))
      if (doubtful) for (const each of replica.members) this.#ask(each)
    }
    for (const id of [...this.#silent, ...this.#options.roster.lapsed]) {
      const address = this.#options.roster.find(id)?.address
      if (address === undefined) this.#silent.delete(id)
      else this.#ask({ id, address })
    }
  }

  /** Asks an engine whether it is there. Silence counts only where this process did not stand still itself meanwhile. */
  #ask ({ id, address }: Member): void {
    const { clock, orders, roster, wokeAt, failed } = this.#options
    const askedAt = clock.now()
    if (roster.find(id) === undefined || askedAt - (this.#askedAt.get(id) ?? -Infinity) < askInterval) return
    this.#askedAt.set(id, askedAt)
    orders.answers(address).then(there => {
      if (there) this.#silent.delete(id)
      else if (wokeAt() < askedAt) this.#silent.add(id)
      this.wake()
    }).catch(failed)
  }
}
