import { type Subscription } from '@eiderwind/clock'
import { Liveness, type LivenessOptions } from '@eiderwind/detect'
import { type Upstream } from '@eiderwind/roster'
import { type Engine, type Service } from '@eiderwind/traffic'
import { needs, retarget, type Counts, type Demand } from './demand.js'
import { type DomainFacts, type Order, type Step } from './facts.js'
import { Former } from './former.js'
import { Ledger, type OrderResult } from './ledger.js'
import { LoadRate } from './loadrate.js'
import { type Orders, type Placements } from './orders.js'
import { emptyPlacement, type Placement } from './placement.js'

/** What the controller stands on. Spans are in ms. */
export interface FormingOptions extends Omit<LivenessOptions, 'changed'> {
  readonly orders: Orders
  readonly placements: Placements
  /** The services of the configuration in force. */
  readonly services: () => readonly Service[]
  /** Whether this process acts for a service now. */
  readonly acts: (service: string) => boolean
  readonly demand: (service: string) => Demand
  /** Whether no caller was ever served anywhere. */
  readonly unserved: () => boolean
  /** Told of each decision, and of each order with its answer. */
  readonly decided: (domain: string, note: string, epoch: number) => void
  readonly ordered: (order: Order, result: OrderResult, took: number) => void
}

/** Time between two looks, and after which an order is given again, in ms. */
const interval = 100
const repeatAfter = 900

/** A system that starts has all its engines once none has come for this long, in ms. */
const arrivalTime = 600

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
  readonly #liveness: Liveness
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
    this.#liveness = new Liveness({ ...options, changed: () => this.wake() })
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
    if (!roster.hasList) return
    this.#ledger.sweep()
    this.#liveness.forget([...this.#domains.values()].flatMap(each => each.placement.replicas))
    this.#loads.settle(roster.upstreams)
    for (const service of services()) {
      if (service.engine === undefined) continue
      if (acts(service.name)) await this.#lookAt(service, service.engine)
      else this.#drop(service.name)
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
      this.#liveness.check(domain.placement.replicas)
      const step = this.#former.step(this.#facts(domain, engine, targets.get(domain.key) as Counts, fleet))
      if (step.placement !== domain.placement && !await this.#write(domain, step)) continue
      for (const order of step.orders) this.#give(order)
    }
  }

  #facts ({ placement, upstreams }: Domain, engine: Engine, targets: Counts, fleet: Fleet): DomainFacts {
    return { engine, placement, upstreams, silent: this.#liveness.unreachable, doubtful: this.#options.roster.lapsed, ended: this.#liveness.dead, targets, ...fleet }
  }

  #stays ({ id, leaving }: Upstream): boolean {
    return !leaving && !this.#liveness.unreachable.has(id)
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
    for (const upstream of this.#options.roster.upstreams) {
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
      if (order.kind === 'close') this.#liveness.closeAnswered(order.node, result !== 'unanswered')
      ordered(order, result, clock.now() - begun)
      this.wake()
    }).catch(failed)
  }
}
