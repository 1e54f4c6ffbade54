/**
 * The controller of the replicas. It reads the facts, has the planner compute the next step of each domain, stores the
 * placement and sends the orders. It owns no durable state: the desired state is in the store and the actual state is
 * in the engines. A process that takes over continues from both.
 */
import { type Subscription } from '@eiderwind/clock'
import { Liveness, Unlisted, type LivenessOptions, type UnlistedEnd } from '@eiderwind/detect'
import { type RosterChange, type Upstream } from '@eiderwind/roster'
import { type Engine, type Service } from '@eiderwind/traffic'
import { Activity } from './activity.js'
import { Domains, domainKey, type Domain } from './domains.js'
import { holds } from './engines.js'
import { type DomainFacts, type FleetFacts, type Step } from './facts.js'
import { FinishedHeads } from './finished.js'
import { Appearances, Arrivals, domainSize, intactReplicas, isEvacuated, targetsMet } from './fleet.js'
import { OrderHistory } from './history.js'
import { LoadLimit } from './loadlimit.js'
import { conditionalJoin, conditionalOpen } from './conditional.js'
import { type Order, type OrderResult, type Orders } from './orders.js'
import { Pace } from './pace.js'
import { type Placements } from './placement.js'
import { Planner } from './planner.js'
import { type Survey } from './survey.js'
import { coverModels, repairNeeds, retarget, type Counts, type Demand, type DomainSize } from './targets.js'

/**
 * Time between two passes over the domains, in ms. Each change of the roster and each answer of an engine also triggers
 * a pass.
 */
const passInterval = 100

/**
 * Time between two surveys of the engines of a domain, in ms. Each survey is one log line, so a domain logs one line a
 * second.
 */
const surveyInterval = 1000

/** Dependencies of `Reconciler`. */
export interface ReconcilerOptions extends Omit<LivenessOptions, 'changed' | 'isRetained'> {
  readonly orders: Orders
  readonly placements: Placements
  /** The services of the current configuration. */
  readonly services: () => readonly Service[]
  /** Whether this process is the leader of a service now. */
  readonly leads: (service: string) => boolean
  /**
   * Called when a placement of a service could not be written, or may no longer be the stored one. Another process may
   * be the leader of the service now.
   */
  readonly contested: (service: string) => void
  /** The share of the work that each model of a service has. */
  readonly demand: (service: string) => Demand
  /**
   * Loads that engines have begun on orders of other gateways: the model, by node. Includes the orders of gateways that
   * stopped so recently that such a load may still be running.
   */
  readonly othersLoads: () => ReadonlyMap<string, string>
  /** Whether no gateway has ever served a caller. */
  readonly beforeTraffic: () => boolean
  /** Whether a gateway may still receive an answer from a head that has closed. */
  readonly awaitsAnswers: (head: Upstream) => boolean
  /**
   * Called with each decision after it is stored.
   * @param evidence what spoke against the engines of the replica that it dissolves, as text
   */
  readonly decided: (domain: string, note: string, epoch: number, evidence: string | undefined) => void
  /** How long an engine is retained after its entry disappears, in ms, as long as it answers. 0 disables this. */
  readonly keepUnlisted: number
  /**
   * Whether spares load weights from their host's memory before a replica needs them, and hold a second model as well.
   */
  readonly warmSpares: boolean
  /** Called when an engine that is not listed is retained, and when that ends. */
  readonly unlisted: (engine: Upstream) => void
  readonly unlistedEnded: (engine: Upstream, how: UnlistedEnd) => void
  /** Called with the survey of the engines of a domain, about once a second. */
  readonly surveyed: (domain: string, survey: Survey) => void
  /**
   * Called when an order is being sent. Returns the function that is called with its result.
   * @param evidence what speaks against the engines of the replica, as text; set for orders to close
   */
  readonly sending: (order: Order, evidence: string | undefined) => (result: OrderResult) => void
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
  readonly #finished: FinishedHeads
  readonly #activity: Activity
  readonly #pace: Pace
  readonly #liveness: Liveness
  readonly #unlisted: Unlisted
  /** When the last survey of each domain was reported, on `Clock.now`. */
  readonly #surveyedAt = new Map<string, number>()
  /**
   * Names of replicas that this process has planned since it became the leader of their service, and whose heads have
   * not joined yet.
   */
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
    this.#finished = new FinishedHeads(clock, options.awaitsAnswers)
    this.#activity = new Activity(clock)
    this.#pace = new Pace({ clock, runPass: async () => await this.#runPass(), failed: options.failed })
    this.#liveness = new Liveness({ ...options, isRetained: id => this.#unlisted.has(id), changed: () => this.#livenessChanged() })
    this.#unlisted = new Unlisted({
      ...options,
      retentionTime: options.keepUnlisted,
      isLost: id => this.#liveness.lost.has(id),
      silent: (id, missed) => this.#liveness.recordSilence(id, missed),
      changed: () => this.#livenessChanged(),
      retained: options.unlisted,
      ended: options.unlistedEnded
    })
  }

  start (): void {
    const { clock, roster } = this.#options
    this.#timer = clock.every(passInterval, () => this.wake())
    this.#unsubscribe = roster.listen(changes => this.#rosterChanged(changes))
  }

  stop (): void {
    this.#timer?.cancel()
    this.#pace.stop()
    this.#unsubscribe?.()
  }

  /** Loads that engines have begun on this planner's orders: the model, by node. */
  get loads (): Record<string, string> {
    const begun = this.#loads.running.filter(({ node, model }) => this.#history.wasTaken({ kind: 'stage', node, model }))
    return Object.fromEntries(begun.map(({ node, model }) => [node, model]))
  }

  /** Loads of other planners that are still running. A load has ended when the engine holds the weights or is gone. */
  #othersLoads (): ReadonlyMap<string, string> {
    const { roster, othersLoads } = this.#options
    return new Map([...othersLoads()].filter(([node, model]) => {
      const upstream = roster.find(node)
      return upstream !== undefined && !holds(upstream, model)
    }))
  }

  /** Runs a pass over the domains as soon as the pace allows. */
  wake (): void {
    this.#pace.wake()
  }

  #livenessChanged (): void {
    this.#activity.recordFleetChange()
    this.wake()
  }

  /** A record that is gone does not show its domain, so its removal concerns every domain. */
  #rosterChanged (changes: readonly RosterChange[]): void {
    for (const change of changes) {
      if ('gone' in change) this.#activity.recordFleetChange()
      else this.#activity.recordChange(domainKey(change.upstream.service, change.upstream.domain ?? ''))
    }
    this.wake()
  }

  /** Discards the cached state of a service that another planner may change from now on. */
  #forget (service: string): void {
    this.#domains.forget(service)
    for (const name of this.#unjoined) if (name.startsWith(domainKey(service, ''))) this.#unjoined.delete(name)
  }

  /** Records which heads of the planned replicas have joined them. */
  #recordJoined (domains: readonly Domain[]): void {
    if (this.#unjoined.size === 0) return
    for (const { upstreams } of domains) {
      for (const { membership } of upstreams) if (membership?.rank === 0) this.#unjoined.delete(membership.replica)
    }
  }

  /** One pass over every service, in the order of the configuration. */
  async #runPass (): Promise<void> {
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
   * Plans one step in each domain of a service that needs one. The targets of all domains are set first. Nothing is
   * awaited between the steps, so that the targets and every step are planned from the same facts.
   */
  async #reconcile (service: Service, engine: Engine): Promise<void> {
    this.#unlisted.check()
    const { latestChange } = this.#activity
    const domains = await this.#domains.read(service)
    const { clock } = this.#options
    const begunAt = clock.now()
    this.#recordJoined(domains)
    this.#history.recordPlanned(domains.flatMap(each => each.placement.replicas.map(({ name }) => name)))
    this.#liveness.check(domains.flatMap(each => each.placement.replicas))
    const { dead } = this.#liveness
    const lost = this.#lost
    const unreachable = this.#unreachable
    const demand = this.#options.demand(service.name)
    const maxReplicaSize = engine.models.reduce((largest, { size }) => Math.max(largest, size), 0)
    const evacuated = this.#evacuated(domains)
    const sizes = domains.map(each => domainSize(each, { lost, evacuated }, this.#appearances.isUnderWay(each, maxReplicaSize)))
    const targets = this.#targets(engine, sizes.filter((_each, index) => !isEvacuated(domains[index], evacuated)), demand, evacuated.size > 0)
    const awaited = this.#finished.awaited(service.name, domains.flatMap(each => each.placement.replicas), id => this.#options.roster.find(id))
    const fleet = this.#fleetFacts(domains, engine, demand, evacuated, awaited)
    const { needs: _needs, ...shared } = fleet
    this.#activity.updateSharedFacts(JSON.stringify([service.name, shared, [...dead], [...unreachable], [...lost], [...this.#liveness.doubtful], [...evacuated], [...awaited], [...this.#options.roster.lapsed], [...this.#unlisted.ids], this.#unlisted.unresponsive, [...targets]]))
    for (const domain of domains) {
      if (this.#domains.isWriting(domain.key)) continue
      if (!this.#activity.isDue(domain.key) && !this.#isSurveyDue(domain.key)) continue
      const step = this.#planner.step(this.#domainFacts(domain, engine, targets.get(domain.key) ?? domain.placement.targets, fleet, evacuated))
      this.#reportSurvey(domain.key, step)
      this.#activity.recordPlanned(domain.key, step.quiet, latestChange)
      if (step.placement === domain.placement) this.#sendAll(domain, step)
      else this.#store(domain, step).catch(this.#options.failed)
    }
    this.#pace.recordDuration(clock.now() - begunAt)
  }

  /**
   * Stores a decision before any of its orders is sent. Other domains continue meanwhile: a placement that cannot be
   * written blocks only its own domain.
   */
  async #store (domain: Domain, step: Step): Promise<void> {
    const evidence = new Map(domain.placement.replicas.map(({ name }) => [name, this.#evidenceAgainst(name)]))
    const stored = await this.#domains.write(domain, step.placement)
    this.#activity.recordChange(domain.key)
    if (!stored) this.#options.contested(domain.service)
    if (stored && this.#options.leads(domain.service)) {
      for (const { name } of step.placement.replicas) if (domain.placement.replicas.every(each => each.name !== name)) this.#unjoined.add(name)
      this.#reportDecisions(domain.key, step, evidence)
      this.#sendAll(domain, step)
    }
    this.wake()
  }

  #sendAll (domain: Domain, { orders }: Step): void {
    for (const order of orders) {
      if (this.#isVoid(order)) continue
      this.#history.recordSent(order)
      if (order.kind === 'open') this.#sendOpen(domain, order).catch(this.#options.failed)
      else if (order.kind === 'join' && this.#history.mayJoinAnotherLate(order.node, order.replica)) this.#sendJoin(domain, order).catch(this.#options.failed)
      else this.#send(domain.key, order)
    }
  }

  /** Whether an order rests on silence that has ended while the placement was written. */
  #isVoid ({ silent }: Order): boolean {
    return silent !== undefined && silent.every(id => !this.#lost.has(id))
  }

  /**
   * Orders a head to open. If an order to join may still reach the head, the order to open is conditional: it costs a
   * probe. The order is dropped if the head is ordered to leave meanwhile.
   */
  async #sendOpen (domain: Domain, order: Order): Promise<void> {
    const { node, replica } = order
    const sent = this.#history.mayJoinLate(node, replica) ? await conditionalOpen(order, this.#options.probes) : order
    if (sent === undefined) return this.#history.recordHeldBack(order)
    if (!this.#history.wasOrderedToLeave(node, replica)) await this.#sendIfCurrent(domain, sent)
  }

  /** Orders an engine to join, unless it has entered a replica meanwhile that it had left, by an order that came late. */
  async #sendJoin (domain: Domain, order: Order): Promise<void> {
    const sent = await conditionalJoin(order, this.#options.probes, {
      mayLeave: replica => replica === order.replica || replica === order.previous || this.#history.isAbandonedByHead(replica),
      joinedAgain: replica => this.#history.recordJoinedAgain(order.node, replica)
    })
    if (sent === undefined) this.#history.recordHeldBack(order)
    else this.#send(domain.key, sent)
  }

  /**
   * Orders a head to open only if the stored placement has not changed. For a moment another gateway may plan too, and
   * it may just have dissolved the replica. This gateway would then have the engines join the replica again and have it
   * serve, while the other planner's orders take its engines into another replica. The check costs one call of the
   * store for each replica that opens.
   */
  async #sendIfCurrent (domain: Domain, order: Order): Promise<void> {
    if (await this.#domains.isCurrent(domain)) return this.#send(domain.key, order)
    this.#options.contested(domain.service)
    this.wake()
  }

  /** Reports the survey of a domain at most once per interval. */
  #reportSurvey (domain: string, { survey }: Step): void {
    if (!this.#isSurveyDue(domain)) return
    this.#surveyedAt.set(domain, this.#options.clock.now())
    this.#options.surveyed(domain, survey)
  }

  #isSurveyDue (domain: string): boolean {
    return this.#options.clock.now() - (this.#surveyedAt.get(domain) ?? -Infinity) >= surveyInterval
  }

  /**
   * Reports the decisions that were stored.
   * @param evidence what spoke against the engines of each replica when the decisions were made, by replica
   */
  #reportDecisions (domain: string, { placement, decisions }: Step, evidence: ReadonlyMap<string, string | undefined>): void {
    for (const { note, dissolved = '' } of decisions) this.#options.decided(domain, note, placement.epoch, evidence.get(dissolved))
  }

  /**
   * Ids of the engines that do not count as available, whatever their last record shows: those that left their last
   * probes unanswered, and those that are no longer retained.
   */
  get #unreachable (): ReadonlySet<string> {
    return new Set([...this.#liveness.unreachable, ...this.#unlisted.expired])
  }

  /** Ids of the engines that certainly cannot go on, or are no longer retained. */
  get #lost (): ReadonlySet<string> {
    return new Set([...this.#liveness.lost, ...this.#unlisted.expired])
  }

  /** Ids of the engines in data centres that are evacuated. */
  #evacuated (domains: readonly Domain[]): ReadonlySet<string> {
    const { evacuatedDataCentres } = this.#options.roster
    if (evacuatedDataCentres.size === 0) return new Set()
    return new Set(domains.flatMap(each => each.upstreams).filter(each => evacuatedDataCentres.has(each.dataCentre)).map(each => each.id))
  }

  /**
   * The targets of each domain that is not evacuated. An evacuated domain keeps its targets for the time after the
   * evacuation.
   */
  #targets ({ models }: Engine, domains: readonly DomainSize[], demand: Demand, evacuating: boolean): Map<string, Counts> {
    const targets = retarget(models, domains, demand)
    return evacuating ? coverModels(models, domains, targets, demand) : targets
  }

  #fleetFacts (domains: readonly Domain[], engine: Engine, demand: Demand, evacuated: ReadonlySet<string>, awaited: ReadonlySet<string>): FleetFacts {
    const intact = intactReplicas(domains, { lost: this.#lost, evacuated })
    const beforeTraffic = this.#options.beforeTraffic()
    const arriving = beforeTraffic && this.#arrivals.isUnderWay(domains)
    return { intact, needs: repairNeeds(engine.models, intact, demand), targetsMet: targetsMet(domains.filter(each => !isEvacuated(each, evacuated))), beforeTraffic, arriving, evacuating: evacuated.size > 0, warmSpares: this.#options.warmSpares, awaited }
  }

  #domainFacts ({ placement, upstreams }: Domain, engine: Engine, targets: Counts, fleet: FleetFacts, evacuated: ReadonlySet<string>): DomainFacts {
    const { dead } = this.#liveness
    const ids = new Set(upstreams.map(each => each.id))
    const doubtful = new Set([...this.#liveness.doubtful].filter(id => ids.has(id)))
    const lapsed = new Set([...this.#options.roster.lapsed, ...this.#unlisted.unresponsive])
    return { ...fleet, engine, placement, upstreams, unreachable: this.#unreachable, lost: this.#lost, doubtful, dead, unlisted: this.#unlisted.ids, lapsed, evacuated, unjoined: this.#unjoined, targets }
  }

  #recordLeft ({ node, replica }: Order): void {
    this.#unlisted.recordLeft(node, replica)
    if (!this.#isPlannedHead(node, replica)) return
    this.#history.recordHeadLeft(node, replica)
    this.#liveness.recordLeft(node)
  }

  #isPlannedHead (node: string, replica: string): boolean {
    return this.#domains.replicas.some(({ name, members: [head] }) => name === replica && head.id === node)
  }

  /** What speaks against the engines of a replica, as text for the log. Undefined if nothing does. */
  #evidenceAgainst (replica: string): string | undefined {
    const members = this.#domains.replicas.find(each => each.name === replica)?.members ?? []
    const notes = members.flatMap(({ id }) => this.#liveness.evidenceAgainst(id) ?? [])
    return notes.length === 0 ? undefined : notes.join('; ')
  }

  /** Sends an order without waiting for its end. Another pass follows the answer. */
  #send (domain: string, order: Order): void {
    const { orders, sending, failed } = this.#options
    const ended = sending(order, order.kind === 'close' ? this.#evidenceAgainst(order.replica) : undefined)
    orders.send(order).then(result => {
      this.#history.recordResult(order, result)
      if (order.kind === 'close') this.#liveness.recordCloseAnswer(order.node, result !== 'unanswered')
      if (result === 'closed' || (order.kind === 'leave' && result !== 'unanswered')) this.#recordLeft(order)
      ended(result)
      this.#activity.recordChange(domain)
      this.wake()
    }).catch(failed)
  }
}
