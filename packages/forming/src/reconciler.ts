/**
 * The controller of the replicas: reads the facts, has the planner make the next step of each domain, stores the placement and
 * gives the orders. Owns nothing that must last: the desired state is in the store and the actual one in the engines, so a
 * process that takes over continues from both.
 */
import { type Subscription } from '@eiderwind/clock'
import { Liveness, Unlisted, type LivenessOptions, type UnlistedEnd } from '@eiderwind/detect'
import { type RosterChange, type Upstream } from '@eiderwind/roster'
import { type Engine, type Service } from '@eiderwind/traffic'
import { Activity } from './activity.js'
import { Domains, domainKey, type Domain } from './domains.js'
import { holds } from './engines.js'
import { type DomainFacts, type FleetFacts, type Step } from './facts.js'
import { Appearances, Arrivals, domainSize, intactReplicas, isEvacuated, targetsMet } from './fleet.js'
import { OrderHistory } from './history.js'
import { LoadLimit } from './loadlimit.js'
import { type Order, type OrderResult, type Orders } from './orders.js'
import { Pace } from './pace.js'
import { type Placements } from './placement.js'
import { Planner } from './planner.js'
import { type Survey } from './survey.js'
import { covered, repairNeeds, retarget, type Counts, type Demand, type DomainSize } from './targets.js'

/**
 * Time between two looks at the domains, in ms, beside those after each change of the roster and each answer of an engine.
 */
const lookInterval = 100

/** Time between two reports of what the engines of a domain do, in ms: one line a second and domain. */
const surveyInterval = 1000

/** Dependencies of `Reconciler`. */
export interface ReconcilerOptions extends Omit<LivenessOptions, 'changed' | 'isKept'> {
  readonly orders: Orders
  readonly placements: Placements
  /** The services of the configuration in force. */
  readonly services: () => readonly Service[]
  /** Whether this process is the leader of a service now. */
  readonly leads: (service: string) => boolean
  /** Called when a placement of a service turned out to have been changed by another process: it may lead now. */
  readonly contested: (service: string) => void
  /** The work of each model of a service. */
  readonly demand: (service: string) => Demand
  /** Loads that engines have begun by orders of other gateways, also of such as died within the time of a load: the model, by node. */
  readonly othersLoads: () => ReadonlyMap<string, string>
  /** Whether no caller was ever served, by any gateway. */
  readonly beforeTraffic: () => boolean
  /** Called after each decision, once it is stored. */
  readonly decided: (domain: string, note: string, epoch: number) => void
  /** How long an engine that answers is kept after its entry went, in ms; 0: not at all. */
  readonly keepUnlisted: number
  /** Whether spares load weights from their host's memory before a replica needs them, and hold a second model beside. */
  readonly warmSpares: boolean
  /** Called when an engine is kept although it is not listed, and when that ends. */
  readonly unlisted: (engine: Upstream) => void
  readonly unlistedEnded: (engine: Upstream, how: UnlistedEnd) => void
  /** Called with what the engines of a domain do, about once a second. */
  readonly surveyed: (domain: string, survey: Survey) => void
  /** Called when an order has ended, with the time that it took in ms. */
  readonly ordered: (order: Order, result: OrderResult, took: number) => void
}

/** Forms, opens, repairs and dissolves the replicas of every model service that this process leads. */
export class Reconciler {
  readonly #options: ReconcilerOptions
  readonly #history: OrderHistory
  readonly #loads: LoadLimit
  readonly #planner: Planner
  readonly #domains: Domains
  readonly #arrivals: Arrivals
  readonly #appearances: Appearances
  readonly #activity: Activity
  readonly #pace: Pace
  readonly #liveness: Liveness
  readonly #unlisted: Unlisted
  /** When the engines of each domain were last reported on, on `Clock.now`. */
  readonly #surveyedAt = new Map<string, number>()
  /** Names of replicas that this process planned since it leads their service, and whose heads have not joined yet. */
  readonly #unjoined = new Set<string>()
  #timer: Subscription | undefined
  #unsubscribe: (() => void) | undefined

  constructor (options: ReconcilerOptions) {
    const { clock } = options
    this.#options = options
    this.#history = new OrderHistory(clock)
    this.#loads = new LoadLimit(clock, () => this.#othersLoads())
    this.#planner = new Planner({ history: this.#history, loads: this.#loads })
    this.#domains = new Domains({ ...options, unlisted: () => this.#unlisted.engines })
    this.#arrivals = new Arrivals(clock)
    this.#appearances = new Appearances(clock)
    this.#activity = new Activity(clock)
    this.#pace = new Pace({ clock, look: async () => await this.#look(), failed: options.failed })
    this.#liveness = new Liveness({ ...options, isKept: id => this.#unlisted.has(id), changed: () => this.#livenessChanged() })
    this.#unlisted = new Unlisted({
      ...options,
      keep: options.keepUnlisted,
      isUnreachable: id => this.#liveness.unreachable.has(id),
      silent: (id, missed) => this.#liveness.foundSilent(id, missed),
      changed: () => this.#livenessChanged(),
      kept: options.unlisted,
      ended: options.unlistedEnded
    })
  }

  start (): void {
    const { clock, roster } = this.#options
    this.#timer = clock.every(lookInterval, () => this.wake())
    this.#unsubscribe = roster.listen(changes => this.#rosterChanged(changes))
  }

  stop (): void {
    this.#timer?.cancel()
    this.#pace.stop()
    this.#unsubscribe?.()
  }

  /** Loads that engines have begun by this planner's orders: the model, by node. */
  get loads (): Record<string, string> {
    const begun = this.#loads.running.filter(({ node, model }) => this.#history.wasTaken({ kind: 'stage', node, model }))
    return Object.fromEntries(begun.map(({ node, model }) => [node, model]))
  }

  /** Other planners' loads that have not ended: engines that hold the weights by now are done, and others are gone. */
  #othersLoads (): ReadonlyMap<string, string> {
    const { roster, othersLoads } = this.#options
    return new Map([...othersLoads()].filter(([node, model]) => {
      const upstream = roster.find(node)
      return upstream !== undefined && !holds(upstream, model)
    }))
  }

  /** Looks at the domains as soon as the pace allows. */
  wake (): void {
    this.#pace.wake()
  }

  #livenessChanged (): void {
    this.#activity.happenedEverywhere()
    this.wake()
  }

  /** An upstream that is gone may have been in any domain. */
  #rosterChanged (changes: readonly RosterChange[]): void {
    for (const change of changes) {
      if ('gone' in change) this.#activity.happenedEverywhere()
      else this.#activity.happened(domainKey(change.upstream.service, change.upstream.domain ?? ''))
    }
    this.wake()
  }

  /** Forgets what another planner may change from now on. */
  #forget (service: string): void {
    this.#domains.forget(service)
    for (const name of this.#unjoined) if (name.startsWith(domainKey(service, ''))) this.#unjoined.delete(name)
  }

  /** Notes which heads of the planned replicas have joined them. */
  #noteJoined (domains: readonly Domain[]): void {
    if (this.#unjoined.size === 0) return
    for (const { upstreams } of domains) {
      for (const { membership } of upstreams) if (membership?.rank === 0) this.#unjoined.delete(membership.replica)
    }
  }

  /** One look at every service, in the order of the configuration. */
  async #look (): Promise<void> {
    const { roster, services, leads } = this.#options
    if (!roster.hasList) return
    this.#history.sweep()
    this.#liveness.forget(this.#domains.replicas)
    this.#loads.release(roster.upstreams)
    for (const service of services()) {
      if (service.engine === undefined) continue
      if (leads(service.name)) await this.#reconcile(service, service.engine)
      else this.#forget(service.name)
    }
  }

  /**
   * One step in each domain of a service that needs one. The targets are set first, from the same facts for all; nothing is awaited between
   * the steps, so that all see the same facts.
   */
  async #reconcile (service: Service, engine: Engine): Promise<void> {
    this.#unlisted.check()
    const { newest } = this.#activity
    const domains = await this.#domains.read(service)
    const { clock } = this.#options
    const begunAt = clock.now()
    this.#noteJoined(domains)
    this.#liveness.check(domains.flatMap(each => each.placement.replicas))
    const { dead } = this.#liveness
    const unreachable = this.#unreachable
    const demand = this.#options.demand(service.name)
    const largest = Math.max(...engine.models.map(each => each.size))
    const evacuated = this.#evacuated(domains)
    const sizes = domains.map(each => domainSize(each, { unreachable, evacuated }, this.#appearances.underWay(each, largest)))
    const targets = this.#targets(engine, sizes.filter((_each, index) => !isEvacuated(domains[index], evacuated)), demand, evacuated.size > 0)
    const fleet = this.#fleetFacts(domains, engine, demand, evacuated)
    const { needs: _needs, ...shared } = fleet
    this.#activity.shared(JSON.stringify([service.name, shared, [...dead], [...unreachable], [...evacuated], [...this.#options.roster.lapsed], [...this.#unlisted.ids], this.#unlisted.unheard, [...targets]]))
    for (const domain of domains) {
      if (this.#domains.isWriting(domain.key)) continue
      if (!this.#activity.isDue(domain.key) && !this.#surveyIsDue(domain.key)) continue
      const step = this.#planner.step(this.#domainFacts(domain, engine, targets.get(domain.key) ?? domain.placement.targets, fleet, evacuated))
      this.#survey(domain.key, step)
      this.#activity.planned(domain.key, step.quiet, newest)
      if (step.placement === domain.placement) this.#giveAll(domain, step)
      else this.#store(domain, step).catch(this.#options.failed)
    }
    this.#pace.took(clock.now() - begunAt)
  }

  /**
   * Stores what was decided before any order is given. Other domains go on meanwhile: one whose placement cannot be written holds up
   * itself only.
   */
  async #store (domain: Domain, step: Step): Promise<void> {
    const stored = await this.#domains.write(domain, step.placement)
    this.#activity.happened(domain.key)
    if (!stored) this.#options.contested(domain.service)
    if (stored && this.#options.leads(domain.service)) {
      for (const { name } of step.placement.replicas) if (domain.placement.replicas.every(each => each.name !== name)) this.#unjoined.add(name)
      this.#decided(domain.key, step)
      this.#giveAll(domain, step)
    }
    this.wake()
  }

  #giveAll (domain: Domain, { orders }: Step): void {
    for (const order of orders) {
      this.#history.given(order)
      if (order.kind === 'open') this.#giveIfCurrent(domain, order).catch(this.#options.failed)
      else this.#give(domain.key, order)
    }
  }

  /**
   * Has a head open only by the placement that is stored now. For a moment another gateway may plan too, and may just have dissolved the
   * replica: this one would then have the engines join it again, and have it serve while the other planner's orders take its engines into
   * another replica. It costs one call of the store for each replica that opens.
   */
  async #giveIfCurrent (domain: Domain, order: Order): Promise<void> {
    if (await this.#domains.isCurrent(domain)) return this.#give(domain.key, order)
    this.#options.contested(domain.service)
    this.wake()
  }

  /** Reports what the engines of a domain do, at an interval. */
  #survey (domain: string, { survey }: Step): void {
    if (!this.#surveyIsDue(domain)) return
    this.#surveyedAt.set(domain, this.#options.clock.now())
    this.#options.surveyed(domain, survey)
  }

  #surveyIsDue (domain: string): boolean {
    return this.#options.clock.now() - (this.#surveyedAt.get(domain) ?? -Infinity) >= surveyInterval
  }

  /** Reports what was stored. */
  #decided (domain: string, { placement, notes }: Step): void {
    for (const note of notes) this.#options.decided(domain, note, placement.epoch)
  }

  /** Engines that can't be counted on, whatever their last record says. */
  get #unreachable (): ReadonlySet<string> {
    return new Set([...this.#liveness.unreachable, ...this.#unlisted.expired])
  }

  /** Ids of the engines in data centres that are evacuated. */
  #evacuated (domains: readonly Domain[]): ReadonlySet<string> {
    const { evacuatedDataCentres } = this.#options.roster
    if (evacuatedDataCentres.size === 0) return new Set()
    return new Set(domains.flatMap(each => each.upstreams).filter(each => evacuatedDataCentres.has(each.dataCentre)).map(each => each.id))
  }

  /** What each domain should hold that is not evacuated. One that is keeps its targets, for the time after. */
  #targets ({ models }: Engine, domains: readonly DomainSize[], demand: Demand, evacuating: boolean): Map<string, Counts> {
    const targets = retarget(models, domains, demand)
    return evacuating ? covered(models, domains, targets, demand) : targets
  }

  #fleetFacts (domains: readonly Domain[], engine: Engine, demand: Demand, evacuated: ReadonlySet<string>): FleetFacts {
    const intact = intactReplicas(domains, { unreachable: this.#unreachable, evacuated })
    const beforeTraffic = this.#options.beforeTraffic()
    const arriving = beforeTraffic && this.#arrivals.underWay(domains)
    return { intact, needs: repairNeeds(engine.models, intact, demand), targetsMet: targetsMet(domains.filter(each => !isEvacuated(each, evacuated))), beforeTraffic, arriving, evacuating: evacuated.size > 0, warmSpares: this.#options.warmSpares }
  }

  #domainFacts ({ placement, upstreams }: Domain, engine: Engine, targets: Counts, fleet: FleetFacts, evacuated: ReadonlySet<string>): DomainFacts {
    const { dead } = this.#liveness
    const unreachable = this.#unreachable
    const lapsed = new Set([...this.#options.roster.lapsed, ...this.#unlisted.unheard])
    return { ...fleet, engine, placement, upstreams, unreachable, dead, unlisted: this.#unlisted.ids, lapsed, evacuated, unjoined: this.#unjoined, targets }
  }

  #left ({ node, replica }: Order): void {
    this.#liveness.left(node)
    this.#unlisted.left(node, replica)
  }

  /** Gives an order without waiting for its end; another look follows that. */
  #give (domain: string, order: Order): void {
    const { clock, orders, ordered, failed } = this.#options
    const givenAt = clock.now()
    orders.give(order).then(result => {
      this.#history.answered(order, result)
      if (order.kind === 'close') this.#liveness.closeAnswered(order.node, result !== 'unanswered')
      if (result === 'closed' || (order.kind === 'leave' && result !== 'unanswered')) this.#left(order)
      ordered(order, result, clock.now() - givenAt)
      this.#activity.happened(domain)
      this.wake()
    }).catch(failed)
  }
}
