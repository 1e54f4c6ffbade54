/**
 * The controller of the replicas: reads the facts, has the planner make the next step of each domain, stores the placement and
 * gives the orders. Owns nothing that must last: the desired state is in the store and the actual one in the engines, so a
 * process that takes over continues from both.
 */
import { type Subscription } from '@eiderwind/clock'
import { Liveness, type LivenessOptions } from '@eiderwind/detect'
import { type Engine, type Service } from '@eiderwind/traffic'
import { Domains, type Domain } from './domains.js'
import { holds } from './engines.js'
import { type DomainFacts, type FleetFacts, type Step } from './facts.js'
import { Arrivals, domainSize, intactReplicas, targetsMet } from './fleet.js'
import { OrderHistory } from './history.js'
import { LoadLimit } from './loadlimit.js'
import { type Order, type OrderResult, type Orders } from './orders.js'
import { type Placements } from './placement.js'
import { Planner } from './planner.js'
import { type Survey } from './survey.js'
import { repairNeeds, retarget, type Counts, type Demand } from './targets.js'

/**
 * Time between two looks at the domains, in ms, beside those after each change of the roster and each answer of an engine.
 * Chosen, not measured.
 */
const lookInterval = 100

/** Time between two reports of what the engines of a domain do, in ms: one line a second and domain. Chosen, not measured. */
const surveyInterval = 1000

/** Dependencies of `Reconciler`. */
export interface ReconcilerOptions extends Omit<LivenessOptions, 'changed'> {
  readonly orders: Orders
  readonly placements: Placements
  /** The services of the configuration in force. */
  readonly services: () => readonly Service[]
  /** Whether this process is the leader of a service now. */
  readonly leads: (service: string) => boolean
  /** The work of each model of a service. */
  readonly demand: (service: string) => Demand
  /** Loads that engines have begun by orders of other gateways, also of such as died within the time of a load: the model, by node. */
  readonly othersLoads: () => ReadonlyMap<string, string>
  /** Whether no caller was ever served, by any gateway. */
  readonly beforeTraffic: () => boolean
  /** Called after each decision, once it is stored. */
  readonly decided: (domain: string, note: string, epoch: number) => void
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
  readonly #liveness: Liveness
  /** When the engines of each domain were last reported on, on `Clock.now`. */
  readonly #surveyedAt = new Map<string, number>()
  #looking = false
  #lookAgain = false
  #timer: Subscription | undefined
  #unsubscribe: (() => void) | undefined

  constructor (options: ReconcilerOptions) {
    const { clock } = options
    this.#options = options
    this.#history = new OrderHistory(clock)
    this.#loads = new LoadLimit(clock, () => this.#othersLoads())
    this.#planner = new Planner({ history: this.#history, loads: this.#loads })
    this.#domains = new Domains(options)
    this.#arrivals = new Arrivals(clock)
    this.#liveness = new Liveness({ ...options, changed: () => this.wake() })
  }

  start (): void {
    const { clock, roster } = this.#options
    this.#timer = clock.every(lookInterval, () => this.wake())
    this.#unsubscribe = roster.listen(() => this.wake())
  }

  stop (): void {
    this.#timer?.cancel()
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

  /** Looks at the domains now, or once more after the look in progress. */
  wake (): void {
    if (this.#looking) {
      this.#lookAgain = true
      return
    }
    this.#looking = true
    this.#lookAgain = false
    this.#look().catch(this.#options.failed).finally(() => {
      this.#looking = false
      if (this.#lookAgain) this.wake()
    })
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
      else this.#domains.forget(service.name)
    }
  }

  /** One step in every domain of a service. The targets are set first, from the same facts for all. */
  async #reconcile (service: Service, engine: Engine): Promise<void> {
    const domains = await this.#domains.read(service)
    if (domains === undefined) return
    const { unreachable } = this.#liveness
    const demand = this.#options.demand(service.name)
    const targets = retarget(engine.models, domains.map(each => domainSize(each, unreachable)), demand)
    const fleet = this.#fleetFacts(domains, engine, demand)
    for (const domain of domains) {
      this.#liveness.check(domain.placement.replicas)
      const step = this.#planner.step(this.#domainFacts(domain, engine, targets.get(domain.key) as Counts, fleet))
      this.#survey(domain.key, step)
      // What was decided is stored before any order is given. Nothing else is awaited here, so that all domains see the same facts.
      if (step.placement !== domain.placement) {
        if (!await this.#domains.write(domain, step.placement)) continue
        this.#decided(domain.key, step)
      }
      for (const order of step.orders) this.#give(order)
    }
  }

  /** Reports what the engines of a domain do, at an interval. */
  #survey (domain: string, { survey }: Step): void {
    const { clock, surveyed } = this.#options
    if (clock.now() - (this.#surveyedAt.get(domain) ?? -Infinity) < surveyInterval) return
    this.#surveyedAt.set(domain, clock.now())
    surveyed(domain, survey)
  }

  /** Reports what was stored, and has the steps that follow from it made at once. */
  #decided (domain: string, { placement, notes }: Step): void {
    for (const note of notes) this.#options.decided(domain, note, placement.epoch)
    this.#lookAgain = true
  }

  #fleetFacts (domains: readonly Domain[], engine: Engine, demand: Demand): FleetFacts {
    const intact = intactReplicas(domains, this.#liveness.unreachable)
    const beforeTraffic = this.#options.beforeTraffic()
    const arriving = beforeTraffic && this.#arrivals.underWay(domains)
    return { intact, needs: repairNeeds(engine.models, intact, demand), targetsMet: targetsMet(domains), beforeTraffic, arriving }
  }

  #domainFacts ({ placement, upstreams }: Domain, engine: Engine, targets: Counts, fleet: FleetFacts): DomainFacts {
    const { dead, unreachable } = this.#liveness
    return { ...fleet, engine, placement, upstreams, unreachable, dead, lapsed: this.#options.roster.lapsed, targets }
  }

  /** Gives an order without waiting for its end; another look follows that. */
  #give (order: Order): void {
    const { clock, orders, ordered, failed } = this.#options
    const givenAt = clock.now()
    this.#history.given(order)
    orders.give(order).then(result => {
      this.#history.answered(order, result)
      if (order.kind === 'close') this.#liveness.closeAnswered(order.node, result !== 'unanswered')
      if (result === 'closed' || (order.kind === 'leave' && result !== 'unanswered')) this.#liveness.left(order.node)
      ordered(order, result, clock.now() - givenAt)
      this.wake()
    }).catch(failed)
  }
}
