/**
 * Emulated engines on a manual clock that carry out orders as the platform's engines do. They load weights, form
 * replicas, die, leave and answer late, and they record each order that breaks a rule. Owns the engines and the roster
 * that lists them.
 */
import { isDeepStrictEqual } from 'node:util'
import { type ManualClock } from '@eiderwind/clock'
import { Probes, type EngineReport, type NodeAddress, type ProbeResult } from '@eiderwind/detect'
import { Orders, type Order, type OrderResult } from '@eiderwind/forming'
import { Outage, Roster, type Membership, type Upstream } from '@eiderwind/roster'
import { type Engine, type Service } from '@eiderwind/traffic'

interface Node {
  upstream: Upstream
  alive: boolean
  reachable: boolean
  maxEpoch: number
  /** Number of orders that the engine has begun. */
  orderCount: number
  heartbeats: number
  /**
   * The model whose weights are in use. It stays set after the engine has left its replica, although the record of the
   * engine then has no loaded model.
   */
  modelInUse: string | undefined
}

/**
 * A broken rule. `partial`: a head was opened before all members of its replica were ready, or with a wrong number of
 * members. `two`: an engine joined another replica while the head of its previous one was open or closing. `loads`:
 * loads exceeded the rate of the weight store.
 */
export type Violation = 'partial' | 'two' | 'loads'

/** Time after its death at which an engine is no longer listed, in ms. */
const unlistDelay = 3600

/** Time after the death of a member at which the head changes its state to `broken`, in ms. */
const headBreakDelay = 6000

/** A model service, whose engine settings are present. */
export interface EngineService extends Service {
  readonly engine: Engine
}

/** The engines of one service. */
export class EmulatedEngines extends Orders {
  readonly clock: ManualClock
  readonly outage: Outage
  readonly roster: Roster
  readonly violations: Violation[] = []
  readonly sentOrders: Order[] = []
  readonly loadTimes: number[] = []
  /**
   * Number of times that a head opened a replica of which a member was elsewhere. Such a head serves nothing, although
   * it is listed as open.
   */
  incompleteOpens = 0
  /** Time until the roster shows a change of an engine, in ms. */
  listingDelay = 0
  /** Age of the state that an engine reports when it is probed, in ms. */
  reportDelay = 0
  /** Time after which a probe of an engine that does not answer fails, in ms. */
  probeTimeout = 0
  /** Engines whose heartbeat was read. */
  readonly observedHeartbeats = new Set<string>()
  /** Factor on the time of loads from the weight store. Loads take less time before any caller is served. */
  loadFactor = 1
  /** Engines that carry out orders but answer no probe. */
  readonly unresponsive = new Set<string>()
  /**
   * The delay of an order that stays unanswered and is carried out late, in ms; undefined if it is carried out at
   * once.
   */
  orderDelay: (order: Order) => number | undefined = () => undefined
  readonly #nodes = new Map<string, Node>()
  /** The members that were ever ready, by replica and epoch. */
  readonly #ready = new Map<string, Set<string>>()
  /** The list of members in the last order to join, by replica and epoch. */
  readonly #memberLists = new Map<string, readonly string[]>()
  /** The state that engines report, where it is older than their actual state (`reportDelay`). */
  readonly #reported = new Map<string, EngineReport>()
  readonly #service: EngineService

  /** The service, as in the configuration. */
  get service (): EngineService {
    return this.#service
  }

  constructor (clock: ManualClock, service: EngineService) {
    super()
    this.clock = clock
    this.#service = service
    this.outage = new Outage(clock)
    this.roster = new Roster(clock, this.outage)
  }

  /** Adds an engine. @param staged models whose weights its host holds; none for a new host */
  add (id: string, domain: string, staged: readonly string[] = [], dataCentre = 'dc'): void {
    const upstream: Upstream = { id, service: this.#service.name, address: `${id}:1`, dataCentre, leaving: false, domain, loaded: [], staged: [...staged] }
    this.#nodes.set(id, { upstream, alive: true, reachable: true, maxEpoch: 0, orderCount: 0, heartbeats: 0, modelInUse: undefined })
    this.roster.replace([...this.roster.upstreams, upstream])
  }

  /** The engine dies without notice. The roster lists it until `unlistDelay` has passed. */
  kill (id: string): void {
    const node = this.#node(id)
    node.alive = false
    this.clock.after(unlistDelay, () => this.roster.apply([{ gone: id }]))
    this.#breakReplicasOf(id)
  }

  /** Open replicas have lost a member: their heads break after `headBreakDelay`, unless they have left by then. */
  #breakReplicasOf (id: string): void {
    for (const head of this.#openHeads()) {
      if (head.upstream.id === id || !this.#members(head).includes(id)) continue
      const { replica, epoch } = head.upstream.membership as Membership
      this.clock.after(headBreakDelay, () => {
        if (head.upstream.membership?.replica === replica && head.upstream.membership.epoch === epoch) this.#setState(head, 'broken')
      })
    }
  }

  /** Removes a live engine from the roster. It continues to serve. @param reachable whether it still answers calls */
  unlist (id: string, reachable: boolean): void {
    this.#node(id).reachable = reachable
    this.roster.apply([{ gone: id }])
  }

  /** Lists a removed engine again, with its present state. */
  relist (id: string): void {
    const node = this.#node(id)
    node.reachable = true
    if (node.alive && this.roster.find(id) === undefined) this.roster.apply([{ upstream: node.upstream }])
  }

  /** The engine announces that it is leaving. */
  leave (id: string): void {
    this.#update(this.#node(id), { leaving: true })
  }

  upstream (id: string): Upstream {
    return this.#node(id).upstream
  }

  /** Open replicas: the head, its model and the ids of its members. */
  get openReplicas (): Array<{ head: string, model: string, members: readonly string[] }> {
    return this.#openHeads().filter(each => each.alive).map(each => ({ head: each.upstream.id, model: each.upstream.loaded[0], members: this.#members(each) }))
  }

  /**
   * Number of serving replicas by model. A replica serves if its head is open and listed and all its members are live.
   */
  get serving (): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {}
    for (const { model, head, members } of this.openReplicas) {
      if (this.roster.find(head) !== undefined && members.every(id => this.#nodes.get(id)?.alive === true)) counts[model] = (counts[model] ?? 0) + 1
    }
    return counts
  }

  /** Ids of the live engines. */
  get liveEngines (): string[] {
    return [...this.#nodes].filter(([_id, { alive }]) => alive).map(([id]) => id)
  }

  /** Heads of open replicas with a dead member. Their requests make no progress. */
  get stalledHeads (): string[] {
    return this.openReplicas.filter(({ members }) => members.some(id => this.#nodes.get(id)?.alive !== true)).map(each => each.head)
  }

  async send (order: Order): Promise<OrderResult> {
    this.sentOrders.push(order)
    const node = this.#nodes.get(order.node)
    if (node === undefined || !node.alive || !node.reachable) return 'unanswered'
    const delay = this.orderDelay(order)
    if (delay === undefined) return this.#carryOut(node, order)
    this.clock.after(delay, () => { if (node.alive) this.#carryOut(node, order) })
    return 'unanswered'
  }

  /** The answers of the engines to probes. */
  readonly probes: Probes = new EmulatedProbes({
    probe: async address => await this.probeResult(address.split(':')[0]),
    report: async ({ id }) => {
      const report = this.#reported.get(id) ?? this.#reportOf(this.#node(id))
      return await this.probeResult(id) === 'answered' ? report : undefined
    },
    heartbeatOf: async id => {
      this.observedHeartbeats.add(id)
      return this.roster.find(id) === undefined ? undefined : this.heartbeatCount(id)
    }
  })

  /** How a probe of an engine ends. */
  protected async probeResult (id: string): Promise<ProbeResult> {
    const node = this.#node(id)
    if (!node.alive) return 'refused'
    const reachable = node.reachable && !this.unresponsive.has(id)
    if (!reachable && this.probeTimeout > 0) await this.clock.wait(this.probeTimeout)
    return reachable ? 'answered' : 'silent'
  }

  /** The heartbeat count of a listed engine. By default a live engine has written one since it was read last. */
  protected heartbeatCount (id: string): number {
    const node = this.#node(id)
    return node.alive ? ++node.heartbeats : node.heartbeats
  }

  /** Whether an engine's writes reach the store. */
  protected reachesStore (_id: string): boolean {
    return true
  }

  #carryOut (node: Node, order: Order): OrderResult {
    if (order.expectedOrderCount !== undefined && order.expectedOrderCount !== node.orderCount) return 'refused'
    switch (order.kind) {
      case 'join': return this.#join(node, order)
      case 'open': return this.#open(node, order)
      case 'close': return this.#close(node, order)
      case 'stage': return this.#stage(node, order)
      case 'leave': return this.#leave(node, order)
    }
  }

  #join (node: Node, order: Order): OrderResult {
    const key = `${order.replica} ${order.epoch}`
    const members = order.members as readonly string[]
    if (this.#isMember(node, order)) return isDeepStrictEqual(this.#memberLists.get(key), members) ? 'taken' : 'stale'
    if (order.epoch < node.maxEpoch) return 'stale'
    this.#countOrder(node)
    const previous = node.upstream.membership
    const head = [...this.#nodes.values()].find(each => each.alive && each.upstream.membership?.rank === 0 && each.upstream.membership.replica === previous?.replica && each.upstream.membership.epoch === previous.epoch)
    const state = head?.upstream.membership?.state
    if (state === 'open' || state === 'closing') this.violations.push('two')
    node.maxEpoch = order.epoch
    this.#memberLists.set(key, members)
    const model = order.model as string
    const { load, warm } = this.#service.engine.models.find(each => each.name === model) as Engine['models'][number]
    const { staged } = node.upstream
    const needsLoad = node.modelInUse !== model && !staged.includes(model)
    const time = node.modelInUse === model ? 200 : needsLoad ? load * this.loadFactor : warm
    if (needsLoad) this.#recordLoad()
    this.#update(node, { membership: { replica: order.replica, epoch: order.epoch, rank: members.indexOf(order.node), state: 'joining' }, loaded: [], staged })
    this.clock.after(time, () => {
      if (!node.alive || !this.#isMember(node, order) || node.upstream.membership?.state !== 'joining') return
      const ready = this.#ready.get(key) ?? new Set<string>()
      this.#ready.set(key, ready.add(order.node))
      node.modelInUse = model
      this.#update(node, { loaded: [model], staged: [model] })
      this.#setState(node, 'ready')
    })
    return 'taken'
  }

  #open (node: Node, order: Order): OrderResult {
    if (!this.#isMember(node, order)) return 'refused'
    if (node.upstream.membership?.state === 'open') return 'taken'
    if (node.upstream.membership?.state !== 'ready') return 'refused'
    this.#countOrder(node)
    const key = `${order.replica} ${order.epoch}`
    const list = this.#memberLists.get(key) ?? []
    const size = this.#service.engine.models.find(each => each.name === node.upstream.loaded[0])?.size
    if (list.length !== size || list.some(id => this.#ready.get(key)?.has(id) !== true)) this.violations.push('partial')
    if (list.some(id => !this.#isMember(this.#node(id), order))) this.incompleteOpens++
    this.#setState(node, 'open')
    return 'taken'
  }

  #close (node: Node, order: Order): OrderResult {
    if (!this.#isMember(node, order)) return 'refused'
    if (node.upstream.membership?.state !== 'open') return 'taken'
    this.#countOrder(node)
    this.#setState(node, 'ready')
    return 'taken'
  }

  #leave (node: Node, order: Order): OrderResult {
    if (!this.#isMember(node, order)) return 'refused'
    this.#countOrder(node)
    this.#breakReplicasOf(node.upstream.id)
    this.#update(node, { membership: undefined, loaded: [] })
    return 'taken'
  }

  #stage (node: Node, order: Order): OrderResult {
    const model = order.model as string
    if (node.upstream.staged.includes(model)) return 'taken'
    this.#countOrder(node)
    this.#recordLoad()
    const time = this.#service.engine.models.find(each => each.name === model)?.load as number * this.loadFactor
    this.clock.after(time, () => { if (node.alive) this.#update(node, { staged: [model] }) })
    return 'taken'
  }

  #recordLoad (): void {
    const now = this.clock.now()
    this.loadTimes.push(now)
    const span = 5000
    if (this.loadTimes.filter(at => at > now - span).length > this.#service.engine.loadRate * 5 * 1.1 + 3) this.violations.push('loads')
  }

  #isMember ({ upstream: { membership } }: Node, { replica, epoch }: Order): boolean {
    return membership?.replica === replica && membership.epoch === epoch
  }

  #setState (node: Node, state: Membership['state']): void {
    this.#update(node, { membership: { ...node.upstream.membership as Membership, state } })
  }

  #update (node: Node, difference: Partial<Upstream>): void {
    const changed = { ...node.upstream, ...difference }
    node.upstream = changed
    this.#report(node)
    const list = (): void => { if (this.roster.find(changed.id) !== undefined && this.reachesStore(changed.id)) this.roster.apply([{ upstream: changed }]) }
    if (this.listingDelay > 0) this.clock.after(this.listingDelay, list)
    else list()
  }

  /** Counts an order that the engine begins. */
  #countOrder (node: Node): void {
    node.orderCount++
    this.#report(node)
  }

  /** Updates the state that the engine reports, after `reportDelay`. */
  #report (node: Node): void {
    if (this.reportDelay === 0) return
    const report = this.#reportOf(node)
    this.clock.after(this.reportDelay, () => this.#reported.set(node.upstream.id, report))
  }

  #reportOf ({ upstream: { loaded, staged, membership, leaving }, orderCount }: Node): EngineReport {
    return { loaded, staged, membership, leaving, orderCount }
  }

  /** Makes the engine stop or start answering calls. It continues to serve. */
  setReachable (id: string, reachable: boolean): void {
    this.#node(id).reachable = reachable
  }

  #openHeads (): Node[] {
    return [...this.#nodes.values()].filter(each => each.upstream.membership?.rank === 0 && each.upstream.membership.state === 'open')
  }

  #members ({ upstream: { membership } }: Node): readonly string[] {
    return this.#memberLists.get(`${membership?.replica ?? ''} ${membership?.epoch ?? 0}`) ?? []
  }

  #node (id: string): Node {
    return this.#nodes.get(id) as Node
  }
}

class EmulatedProbes extends Probes {
  readonly #probe: Probes['probe']
  readonly #report: Probes['report']
  readonly #heartbeatOf: Probes['heartbeatOf']

  constructor ({ probe, report, heartbeatOf }: Pick<Probes, 'probe' | 'report' | 'heartbeatOf'>) {
    super()
    this.#report = report
    this.#probe = probe
    this.#heartbeatOf = heartbeatOf
  }

  report (node: NodeAddress): Promise<EngineReport | undefined> {
    return this.#report(node)
  }

  probe (address: string): Promise<ProbeResult> {
    return this.#probe(address)
  }

  heartbeatOf (node: string): Promise<number | undefined> {
    return this.#heartbeatOf(node)
  }
}
