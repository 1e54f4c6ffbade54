/**
 * Emulated engines that take orders as the platform's do, on a manual clock: what they hold, the replicas that they form, how long that
 * takes, how they die, leave and answer late. They note each rule that an order breaks. Owns the engines and the roster that lists them.
 */
import { type ManualClock } from '@eiderwind/clock'
import { Probes, type EngineReport, type NodeAddress } from '@eiderwind/detect'
import { Orders, type Order, type OrderResult } from '@eiderwind/forming'
import { Outage, Roster, type Membership, type Upstream } from '@eiderwind/roster'
import { type Engine, type Service } from '@eiderwind/traffic'

interface Node {
  upstream: Upstream
  alive: boolean
  reachable: boolean
  seenEpoch: number
  pulse: number
  /** The model whose weights it has in use, also once it has left its replica and names none. */
  inUse: string | undefined
}

/** Broken rules, as the engines see them. */
export type Broken = 'partial' | 'two' | 'loads'

/** Time after which a dead node is no longer listed, and after which a standing head breaks, in ms. */
const listedTime = 3600
const stallTime = 6000

/** A service with the settings of its engines. */
export interface EngineService extends Service {
  readonly engine: Engine
}

/** The engines of one service. */
export class EmulatedEngines extends Orders {
  readonly clock: ManualClock
  readonly outage: Outage
  readonly roster: Roster
  readonly broken: Broken[] = []
  readonly given: Order[] = []
  readonly loadsAt: number[] = []
  /** Time until the platform lists a change of an engine, in ms. */
  lag = 0
  /** Age of what an engine says of itself when it is asked, in ms. */
  reportLag = 0
  /** Time until a probe of an engine that does not answer is given up, in ms. */
  probeTime = 0
  /** Engines whose pulse was looked at. */
  readonly felt = new Set<string>()
  /** Factor on the times of loads from the weight store, which are shorter before any caller is served. */
  loadFactor = 1
  /** Engines that take orders but answer no question. */
  readonly mute = new Set<string>()
  /** Orders that are left unanswered and carried out late, by their place in the order in which they are given. */
  late: (order: Order) => number | undefined = () => undefined
  readonly #nodes = new Map<string, Node>()
  /** Which members were ever ready, by replica and epoch, and the list that each was given. */
  readonly #ready = new Map<string, Set<string>>()
  readonly #lists = new Map<string, readonly string[]>()

  /** What engines say of themselves, where that is older than what they do. */
  readonly #reported = new Map<string, EngineReport>()
  readonly #service: EngineService

  /** The service as it is configured. */
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

  /** Adds an engine. @param staged what its host holds; nothing in a new one */
  add (id: string, domain: string, staged: readonly string[] = [], dataCentre = 'dc'): void {
    const upstream: Upstream = { id, service: this.#service.name, address: `${id}:1`, dataCentre, leaving: false, domain, loaded: [], staged: [...staged] }
    this.#nodes.set(id, { upstream, alive: true, reachable: true, seenEpoch: 0, pulse: 0, inUse: undefined })
    this.roster.replace([...this.roster.upstreams, upstream])
  }

  /** The engine dies without a word. The platform drops it from the list later. */
  kill (id: string): void {
    const node = this.#node(id)
    node.alive = false
    this.clock.after(listedTime, () => this.roster.apply([{ gone: id }]))
    for (const head of this.#heads()) {
      if (this.#members(head).includes(id) && head.upstream.id !== id) {
        const { replica, epoch } = head.upstream.membership as Membership
        this.clock.after(stallTime, () => {
          if (head.upstream.membership?.replica === replica && head.upstream.membership.epoch === epoch) this.#be(head, 'broken')
        })
      }
    }
  }

  /** The platform drops the engine from its list; the engine serves on, and answers this process or does not. */
  unlist (id: string, reachable: boolean): void {
    this.#node(id).reachable = reachable
    this.roster.apply([{ gone: id }])
  }

  /** The platform lists an engine again that it dropped, as it is now. */
  relist (id: string): void {
    const node = this.#node(id)
    node.reachable = true
    if (node.alive && this.roster.find(id) === undefined) this.roster.apply([{ upstream: node.upstream }])
  }

  leave (id: string): void {
    this.#change(this.#node(id), { leaving: true })
  }

  upstream (id: string): Upstream {
    return this.#node(id).upstream
  }

  /** Heads that serve, with the ids of their members. */
  get open (): Array<{ head: string, model: string, members: readonly string[] }> {
    return this.#heads().filter(each => each.alive).map(each => ({ head: each.upstream.id, model: each.upstream.loaded[0], members: this.#members(each) }))
  }

  /** Replicas that serve: their head is open and listed, and all their members live. By model. */
  get serving (): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {}
    for (const { model, head, members } of this.open) {
      if (this.roster.find(head) !== undefined && members.every(id => this.#nodes.get(id)?.alive === true)) counts[model] = (counts[model] ?? 0) + 1
    }
    return counts
  }

  /** Ids of the engines that live. */
  get living (): string[] {
    return [...this.#nodes].filter(([_id, { alive }]) => alive).map(([id]) => id)
  }

  /** Heads whose replica lacks a living member: their requests stand still. */
  get stalled (): string[] {
    return this.open.filter(({ members }) => members.some(id => this.#nodes.get(id)?.alive !== true)).map(each => each.head)
  }

  async give (order: Order): Promise<OrderResult> {
    this.given.push(order)
    const node = this.#nodes.get(order.node)
    if (node === undefined || !node.alive || !node.reachable) return 'unanswered'
    const late = this.late(order)
    if (late === undefined) return this.#carryOut(node, order)
    this.clock.after(late, () => { if (node.alive) this.#carryOut(node, order) })
    return 'unanswered'
  }

  /** What the nodes answer when they are asked after. */
  readonly probes: Probes = new EmulatedProbes({
    isReachable: async address => await this.#answers(address.split(':')[0]),
    report: async ({ id }) => {
      const { upstream: { loaded, staged, membership, leaving } } = this.#node(id)
      const report = this.#reported.get(id) ?? { loaded, staged, membership, leaving }
      return await this.#answers(id) ? report : undefined
    },
    heartbeatOf: async id => {
      this.felt.add(id)
      const node = this.#nodes.get(id)
      if (node === undefined || this.roster.find(id) === undefined) return undefined
      return node.alive ? ++node.pulse : node.pulse
    }
  })

  async #answers (id: string): Promise<boolean> {
    const node = this.#node(id)
    const reachable = node.alive && node.reachable && !this.mute.has(id)
    if (!reachable && this.probeTime > 0) await new Promise<void>(resolve => { this.clock.after(this.probeTime, resolve) })
    return reachable
  }

  #carryOut (node: Node, order: Order): OrderResult {
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
    if (this.#fits(node, order)) return 'taken'
    if (order.epoch < node.seenEpoch) return 'stale'
    const own = node.upstream.membership
    const head = [...this.#nodes.values()].find(each => each.alive && each.upstream.membership?.rank === 0 && each.upstream.membership.replica === own?.replica && each.upstream.membership.epoch === own.epoch)
    const state = head?.upstream.membership?.state
    if (state === 'open' || state === 'closing') this.broken.push('two')
    node.seenEpoch = order.epoch
    const members = order.members as readonly string[]
    this.#lists.set(key, members)
    const model = order.model as string
    const { load, warm } = this.#service.engine.models.find(each => each.name === model) as Engine['models'][number]
    const { staged } = node.upstream
    const needsLoad = node.inUse !== model && !staged.includes(model)
    const time = node.inUse === model ? 200 : needsLoad ? load * this.loadFactor : warm
    if (needsLoad) this.#loads()
    this.#change(node, { membership: { replica: order.replica, epoch: order.epoch, rank: members.indexOf(order.node), state: 'joining' }, loaded: [], staged })
    this.clock.after(time, () => {
      if (!node.alive || !this.#fits(node, order) || node.upstream.membership?.state !== 'joining') return
      const ready = this.#ready.get(key) ?? new Set<string>()
      this.#ready.set(key, ready.add(order.node))
      node.inUse = model
      this.#change(node, { loaded: [model], staged: [model] })
      this.#be(node, 'ready')
    })
    return 'taken'
  }

  #open (node: Node, order: Order): OrderResult {
    if (!this.#fits(node, order) || node.upstream.membership?.state !== 'ready') return 'refused'
    const key = `${order.replica} ${order.epoch}`
    const list = this.#lists.get(key) ?? []
    const size = this.#service.engine.models.find(each => each.name === node.upstream.loaded[0])?.size
    if (list.length !== size || list.some(id => this.#ready.get(key)?.has(id) !== true)) this.broken.push('partial')
    this.#be(node, 'open')
    return 'taken'
  }

  #close (node: Node, order: Order): OrderResult {
    if (!this.#fits(node, order)) return 'refused'
    if (node.upstream.membership?.state === 'open') this.#be(node, 'ready')
    return 'taken'
  }

  #leave (node: Node, order: Order): OrderResult {
    if (!this.#fits(node, order)) return 'refused'
    this.#change(node, { membership: undefined, loaded: [] })
    return 'taken'
  }

  #stage (node: Node, order: Order): OrderResult {
    const model = order.model as string
    if (node.upstream.staged.includes(model)) return 'taken'
    this.#loads()
    const time = this.#service.engine.models.find(each => each.name === model)?.load as number * this.loadFactor
    this.clock.after(time, () => { if (node.alive) this.#change(node, { staged: [model] }) })
    return 'taken'
  }

  #loads (): void {
    const now = this.clock.now()
    this.loadsAt.push(now)
    const span = 5000
    if (this.loadsAt.filter(at => at > now - span).length > this.#service.engine.loadRate * 5 * 1.1 + 3) this.broken.push('loads')
  }

  #fits ({ upstream: { membership } }: Node, { replica, epoch }: Order): boolean {
    return membership?.replica === replica && membership.epoch === epoch
  }

  #be (node: Node, state: Membership['state']): void {
    this.#change(node, { membership: { ...node.upstream.membership as Membership, state } })
  }

  #change (node: Node, difference: Partial<Upstream>): void {
    const changed = { ...node.upstream, ...difference }
    node.upstream = changed
    const { loaded, staged, membership, leaving } = changed
    if (this.reportLag > 0) this.clock.after(this.reportLag, () => this.#reported.set(changed.id, { loaded, staged, membership, leaving }))
    const list = (): void => { if (this.roster.find(changed.id) !== undefined) this.roster.apply([{ upstream: changed }]) }
    if (this.lag > 0) this.clock.after(this.lag, list)
    else list()
  }

  /** The engine answers no call any more, or again; its work goes on. */
  reach (id: string, reachable: boolean): void {
    this.#node(id).reachable = reachable
  }

  #heads (): Node[] {
    return [...this.#nodes.values()].filter(each => each.upstream.membership?.rank === 0 && each.upstream.membership.state === 'open')
  }

  #members ({ upstream: { membership } }: Node): readonly string[] {
    return this.#lists.get(`${membership?.replica ?? ''} ${membership?.epoch ?? 0}`) ?? []
  }

  #node (id: string): Node {
    return this.#nodes.get(id) as Node
  }
}

class EmulatedProbes extends Probes {
  readonly #isReachable: Probes['isReachable']
  readonly #report: Probes['report']
  readonly #heartbeatOf: Probes['heartbeatOf']

  constructor ({ isReachable, report, heartbeatOf }: Pick<Probes, 'isReachable' | 'report' | 'heartbeatOf'>) {
    super()
    this.#report = report
    this.#isReachable = isReachable
    this.#heartbeatOf = heartbeatOf
  }

  report (node: NodeAddress): Promise<EngineReport | undefined> {
    return this.#report(node)
  }

  isReachable (address: string): Promise<boolean> {
    return this.#isReachable(address)
  }

  heartbeatOf (node: string): Promise<number | undefined> {
    return this.#heartbeatOf(node)
  }
}
