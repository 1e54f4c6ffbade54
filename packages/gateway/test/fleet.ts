/**
 * Simulates the membership of a fleet: many gateways with the real `Peers` and `Leadership` on one manual clock.
 * Datagrams arrive at once unless they are lost or cut off. A simulated store lists the gateways that have registered
 * and can be unreachable. Like processes, gateways start at different times, each with the list as it is at that time.
 */
import { type ExecutionContext } from 'ava'
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { Pauses } from '@eiderwind/detect'
import { type WriteFailure } from '@eiderwind/forming'
import { Log } from '@eiderwind/log'
import { Peers, type Heartbeat, type PeerAddress } from '@eiderwind/peers'
import { Outage } from '@eiderwind/roster'
import { Err, Ok, type Result } from 'ts-results-es'
import { gatewayBoard, type GatewayBoard } from '../src/facts.js'
import { Leadership } from '../src/leadership.js'
import { Leaders, noLeader, type Leader } from '../src/leaders.js'
import { ModelDatagrams, Network } from './network.js'

/** The service that the gateways plan. */
export const service = 'chat'
/** Number of data centres of a fleet. */
export const dataCentres = 5

/** How long a fleet is observed after an event, in ms. This is far above all time-outs of a gateway. */
export const observationTime = 8000

/**
 * Upper bound for the time until another gateway plans after the planner has failed, if no other gateway is affected,
 * in ms. It is the sum of one second without heartbeats, one check, and the two store calls of an election.
 */
export const maxTakeoverTime = 1200

/**
 * Upper bounds for the time from a first start and from a restart until one gateway plans, in ms. A gateway that starts
 * waits 1.1 s for the heartbeats of the others. After a restart it also waits 2.6 s until the list of the store is
 * complete.
 */
export const maxFirstStartTime = 1700
export const maxRestartTime = 2600 + 1100

/** Time between two checks of a gateway, in ms. It is the same as in a real gateway. */
const step = 50

/** Minimum time from the start of a process until it has registered and read its lists, in ms. */
const startTime = 50
/** Maximum random addition to `startTime`, in ms. */
const startSpread = 150

/** Time between two reads of the list of gateways, in ms. */
const listInterval = 1000

/** One simulated gateway. */
export interface Member {
  readonly id: string
  readonly dataCentre: number
  readonly board: GatewayBoard
  readonly outage: Outage
  readonly peers: Peers
  readonly leadership: Leadership
  /** When the gateway last read the list of gateways, in ms. */
  listedAt: number
}

/** What has been observed of the planners since the last call of `resetObservations`. */
export interface PlannerObservation {
  /** Maximum number of gateways that planned at the same time. */
  maxAtOnce: number
  /** Ids of all gateways that planned. */
  readonly planners: Set<string>
  /** The last time with no planner or more than one, on the clock of the fleet, in ms. */
  unsettledUntil: number
}

/** Time of a store call, in ms. */
const callTime = 4

/** The records of leaders in the simulated store, as one gateway accesses them. */
class ModelLeaders extends Leaders {
  readonly #clock: ManualClock
  readonly #records: Map<string, Leader>
  readonly #canReach: () => boolean

  constructor (clock: ManualClock, records: Map<string, Leader>, canReach: () => boolean) {
    super()
    this.#clock = clock
    this.#records = records
    this.#canReach = canReach
  }

  async read (service: string): Promise<Result<Leader, string>> {
    await this.#call()
    return this.#canReach() ? Ok(this.#records.get(service) ?? noLeader) : Err('not reached')
  }

  async elect (service: string, id: string, { id: currentLeader, term }: Leader): Promise<Result<number, WriteFailure>> {
    await this.#call()
    if (!this.#canReach()) return Err('unknown')
    if (currentLeader === id) return Ok(term)
    if ((this.#records.get(service) ?? noLeader).term !== term) return Err('conflict')
    this.#records.set(service, { id, term: term + 1 })
    return Ok(term + 1)
  }

  async #call (): Promise<void> {
    await new Promise<void>(resolve => { this.#clock.after(callTime, resolve) })
  }
}

/** A fleet of simulated gateways. */
export class Fleet {
  readonly clock = new ManualClock()
  readonly network: Network
  readonly members = new Map<string, Member>()
  /** Whether a gateway can reach the store. */
  reachesStore: (id: string) => boolean = () => true
  observed: PlannerObservation = { maxAtOnce: 0, planners: new Set(), unsettledUntil: 0 }
  readonly #random: Random
  readonly #leaders = new Map<string, Leader>()
  readonly #registered = new Map<string, PeerAddress>()

  constructor (seed: number) {
    this.#random = seeded(seed)
    this.network = new Network(seeded(seed + 1))
  }

  /**
   * Starts gateways, each at a random time.
   * @param first whether the whole system starts for the first time
   * @param spread time within which all have started, in ms
   */
  async start (ids: readonly string[], { first = false, spread = 300 } = {}): Promise<void> {
    await Promise.all(ids.map(async id => await this.#startGateway(id, first, this.#random() * spread)))
  }

  /** Creates a fleet that has started and has one planner. */
  static async started (size: number, seed = size): Promise<Fleet> {
    const fleet = new Fleet(seed)
    await fleet.start(Fleet.ids(size), { first: true })
    await fleet.run(4000)
    return fleet
  }

  /** Returns the ids of a fleet with the given size. */
  static ids (size: number): string[] {
    return Array.from({ length: size }, (_each, index) => `g${index}`)
  }

  async #startGateway (id: string, first: boolean, after: number): Promise<void> {
    const { clock } = this
    this.kill(id)
    const board = gatewayBoard()
    const outage = new Outage(clock)
    const pauses = new Pauses(clock)
    const log = new Log({ level: 'error', sink: () => {}, fields: {} })
    const datagrams = new ModelDatagrams(this.network, `${id}:1`)
    const heartbeat = (): Heartbeat => ({ id, revision: 1, canPlan: leadership.eligible, canWatch: leadership.canWatch, inFlight: {}, suspects: [], offeredByModel: {}, served: true, loads: {}, terms: leadership.terms })
    let peers: Peers
    let leadership: Leadership
    clock.after(after, () => {
      peers = new Peers({ clock, id, address: `${id}:1`, datagrams, heartbeat, interval: 250, timeout: 1000, urgent: () => leadership.isUrgent })
      leadership = new Leadership({ clock, log, board, outage, pauses, peers, id, isFirstStart: first, leaders: new ModelLeaders(clock, this.#leaders, () => this.reachesStore(id)) })
      pauses.start()
      this.members.set(id, { id, dataCentre: Number(id.slice(1)) % dataCentres, board, outage, peers, leadership, listedAt: -Infinity })
      peers.start().catch(error => { throw error })
    })
    clock.after(after + startTime + this.#random() * startSpread, () => this.#reachStore(id))
  }

  /** Makes the first store calls of a process and repeats them until the store is reachable. */
  #reachStore (id: string): void {
    const member = this.members.get(id)
    if (member === undefined) return
    if (!this.reachesStore(id)) {
      this.clock.after(step, () => this.#reachStore(id))
      return
    }
    this.#registered.set(id, { id, address: `${id}:1` })
    member.outage.recordAnswer()
    member.board.write('store', true)
    member.board.write('upstreamsFrom', 'store')
    this.#list(member)
  }

  #list (member: Member): void {
    member.listedAt = this.clock.now()
    member.board.write('listed', true)
    member.peers.setAddresses([...this.#registered.values()])
  }

  kill (id: string): void {
    this.members.get(id)?.peers.stop()
    this.members.delete(id)
  }

  /** Advances the clock and runs the checks of all gateways. */
  async run (span: number): Promise<void> {
    const end = this.clock.now() + span
    while (this.clock.now() < end) {
      this.clock.advance(step)
      for (const member of this.members.values()) this.#poll(member)
      await new Promise(resolve => setImmediate(resolve))
      this.#observe()
    }
  }

  /** Resets what has been observed of the planners. */
  resetObservations (): void {
    this.observed = { maxAtOnce: 0, planners: new Set(), unsettledUntil: this.clock.now() }
  }

  /**
   * Runs the fleet for `span` ms. Returns the time after which there was exactly one planner until the end, in ms.
   */
  async timeToSettle (span: number): Promise<number> {
    this.resetObservations()
    const begun = this.clock.now()
    await this.run(span)
    return this.observed.unsettledUntil - begun
  }

  planners (): string[] {
    return [...this.members.values()].filter(each => each.leadership.isPlanning(service)).map(each => each.id)
  }

  watchers (): string[] {
    return [...this.members.values()].filter(each => each.leadership.isFollowed).map(each => each.id)
  }

  followers (): string[] {
    return [...this.members.values()].filter(each => each.leadership.isFollowing).map(each => each.id)
  }

  /** Whether one gateway plans, two watch the store, and every other one follows a gateway that watches. */
  agrees (): boolean {
    const watchers = new Set(this.watchers())
    if (this.planners().length !== 1 || watchers.size !== 2) return false
    return [...this.members.values()].every(({ id, leadership }) => watchers.has(id) || leadership.sources.some(each => watchers.has(each.id)))
  }

  #observe (): void {
    const planners = this.planners()
    const { observed } = this
    observed.maxAtOnce = Math.max(observed.maxAtOnce, planners.length)
    for (const each of planners) observed.planners.add(each)
    if (planners.length !== 1) observed.unsettledUntil = this.clock.now()
  }

  /** Does what the watches, the upstream feed and the periodic tasks of a real gateway do. */
  #poll (member: Member): void {
    const { board, outage, leadership, id } = member
    if (!board.read('listed')) return
    const reached = this.reachesStore(id)
    if (reached && !board.read('store')) outage.recordAnswer()
    if (!reached) outage.recordFailure(this.clock.now())
    board.write('store', reached)
    if (!reached) return
    if (leadership.isFollowing) {
      board.write('followed', true)
      board.write('upstreamsFrom', 'peer')
      if (leadership.sources.some(each => this.members.has(each.id))) board.write('upstreamsAt', this.clock.now())
    } else if (board.read('upstreamsFrom') === 'peer') {
      if (board.read('followed')) outage.resume(board.read('upstreamsAt'))
      board.write('followed', false)
      board.write('upstreamsFrom', 'store')
    }
    if (!leadership.isSpared && this.clock.now() - member.listedAt >= listInterval) this.#list(member)
  }
}

/**
 * Asserts that no two gateways have planned at once since `resetObservations`, and that `planners` gateways have
 * planned.
 */
export function assertOnePlannerAtOnce (t: ExecutionContext, fleet: Fleet, planners: number): void {
  t.true(fleet.observed.maxAtOnce <= 1, `${fleet.observed.maxAtOnce} gateways planned at once`)
  t.is(fleet.observed.planners.size, planners)
}
