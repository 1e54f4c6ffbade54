/**
 * A model of a fleet's membership, without a network: many gateways with the real `Peers` and `Leadership` on one manual clock, whose
 * datagrams are lost or cut off, and else arrive at once; a store that lists them as they register and can be away. Gateways
 * start as processes do: each at its own moment, with what the list holds then.
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
import { Leaders, nobody, type Leader } from '../src/leaders.js'
import { ModelDatagrams, Network } from './network.js'

export const service = 'chat'
export const dataCentres = 5

/** Time for which a fleet is watched after an event, in ms: far above what any gateway waits for. */
export const watched = 8000

/**
 * Time within which another gateway plans after one that is alone concerned is gone, in ms: a second of silence, a look, and the two calls of
 * an election.
 */
export const takeover = 1200

/**
 * A first start and a restart, until one plans, in ms: a gateway that starts waits 1.1 s to hear the others; one that is no first start 2.6 s
 * until the store's list is complete.
 */
export const firstStart = 1700
export const restart = 2600 + 1100

/** Time between two looks of a gateway at what it should do, in ms, as in the real ones. */
const step = 50

/** Time from a process's start until it has registered and read its lists, in ms, and how much that varies. */
const startTime = 50
const startSpread = 150

/** Time between two readings of the list of gateways, in ms. */
const listInterval = 1000

/** One gateway of the model. */
export interface Member {
  readonly id: string
  readonly dataCentre: number
  readonly board: GatewayBoard
  readonly outage: Outage
  readonly peers: Peers
  readonly leadership: Leadership
  listedAt: number
}

/** What was seen of the planners since the last `observe`. */
export interface Observed {
  /** Most gateways that planned at the same moment. */
  most: number
  /** Ids of all that planned. */
  readonly planners: Set<string>
  /** When there last was no or more than one planner, in ms since the beginning. */
  unsettledUntil: number
}

/** Time that a call of the store takes, in ms. */
const callTime = 4

/** The records of leaders in the store of the model, for one gateway. */
class ModelLeaders extends Leaders {
  readonly #clock: ManualClock
  readonly #records: Map<string, Leader>
  readonly #reached: () => boolean

  constructor (clock: ManualClock, records: Map<string, Leader>, reached: () => boolean) {
    super()
    this.#clock = clock
    this.#records = records
    this.#reached = reached
  }

  async read (service: string): Promise<Result<Leader, string>> {
    await this.#call()
    return this.#reached() ? Ok(this.#records.get(service) ?? nobody) : Err('not reached')
  }

  async elect (service: string, id: string, { id: present, term }: Leader): Promise<Result<number, WriteFailure>> {
    await this.#call()
    if (!this.#reached()) return Err('unknown')
    if (present === id) return Ok(term)
    if ((this.#records.get(service) ?? nobody).term !== term) return Err('conflict')
    this.#records.set(service, { id, term: term + 1 })
    return Ok(term + 1)
  }

  async #call (): Promise<void> {
    await new Promise<void>(resolve => { this.#clock.after(callTime, resolve) })
  }
}

/** A fleet of gateways. */
export class Fleet {
  readonly clock = new ManualClock()
  readonly network: Network
  readonly members = new Map<string, Member>()
  /** Whether the store can be reached by a gateway. */
  reaches: (id: string) => boolean = () => true
  observed: Observed = { most: 0, planners: new Set(), unsettledUntil: 0 }
  readonly #random: Random
  readonly #leaders = new Map<string, Leader>()
  readonly #registered = new Map<string, PeerAddress>()

  constructor (seed: number) {
    this.#random = seeded(seed)
    this.network = new Network(seeded(seed + 1))
  }

  /** Starts gateways together, each at its own moment. @param spread time within which all have started, in ms */
  async start (ids: readonly string[], { first = false, spread = 300 } = {}): Promise<void> {
    await Promise.all(ids.map(async id => await this.#startOne(id, first, this.#random() * spread)))
  }

  /** A fleet that has started and agrees. */
  static async started (size: number, seed = size): Promise<Fleet> {
    const fleet = new Fleet(seed)
    await fleet.start(Fleet.ids(size), { first: true })
    await fleet.run(4000)
    return fleet
  }

  /** Ids of a fleet of a size. */
  static ids (size: number): string[] {
    return Array.from({ length: size }, (_each, index) => `g${index}`)
  }

  async #startOne (id: string, first: boolean, after: number): Promise<void> {
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
      leadership = new Leadership({ clock, log, board, outage, pauses, peers, id, firstStart: first, leaders: new ModelLeaders(clock, this.#leaders, () => this.reaches(id)) })
      pauses.start()
      this.members.set(id, { id, dataCentre: Number(id.slice(1)) % dataCentres, board, outage, peers, leadership, listedAt: -Infinity })
      peers.start().catch(error => { throw error })
    })
    clock.after(after + startTime + this.#random() * startSpread, () => this.#reachStore(id))
  }

  /** The first calls of a process, repeated until the store is there. */
  #reachStore (id: string): void {
    const member = this.members.get(id)
    if (member === undefined) return
    if (!this.reaches(id)) {
      this.clock.after(step, () => this.#reachStore(id))
      return
    }
    this.#registered.set(id, { id, address: `${id}:1` })
    member.outage.answered()
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

  /** Lets time pass, with all that the gateways do meanwhile. */
  async run (span: number): Promise<void> {
    const end = this.clock.now() + span
    while (this.clock.now() < end) {
      this.clock.advance(step)
      for (const member of this.members.values()) this.#look(member)
      await new Promise(resolve => setImmediate(resolve))
      this.#observe()
    }
  }

  /** Begins to count anew what is seen of the planners. */
  observe (): void {
    this.observed = { most: 0, planners: new Set(), unsettledUntil: this.clock.now() }
  }

  /** Ms from `observe` until there was one planner for good. */
  async settled (span: number): Promise<number> {
    this.observe()
    const begun = this.clock.now()
    await this.run(span)
    return this.observed.unsettledUntil - begun
  }

  planners (): string[] {
    return [...this.members.values()].filter(each => each.leadership.plans(service)).map(each => each.id)
  }

  watchers (): string[] {
    return [...this.members.values()].filter(each => each.leadership.isFollowed).map(each => each.id)
  }

  followers (): string[] {
    return [...this.members.values()].filter(each => each.leadership.follows).map(each => each.id)
  }

  /** Whether two watch the store and every other one follows a gateway that does. */
  agrees (): boolean {
    const watchers = new Set(this.watchers())
    if (this.planners().length !== 1 || watchers.size !== 2) return false
    return [...this.members.values()].every(({ id, leadership }) => watchers.has(id) || leadership.sources.some(each => watchers.has(each.id)))
  }

  #observe (): void {
    const planners = this.planners()
    const { observed } = this
    observed.most = Math.max(observed.most, planners.length)
    for (const each of planners) observed.planners.add(each)
    if (planners.length !== 1) observed.unsettledUntil = this.clock.now()
  }

  /** What a real gateway's watches, its feed of upstreams and its tasks do. */
  #look (member: Member): void {
    const { board, outage, leadership, id } = member
    if (!board.read('listed')) return
    const reached = this.reaches(id)
    if (reached && !board.read('store')) outage.answered()
    if (!reached) outage.failed(this.clock.now())
    board.write('store', reached)
    if (!reached) return
    if (leadership.follows) {
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

/** Checks that there never were two planners at once since `observe`, and how many gateways planned. */
export function neverTwo (t: ExecutionContext, fleet: Fleet, planners: number): void {
  t.true(fleet.observed.most <= 1, `${fleet.observed.most} planned at once`)
  t.is(fleet.observed.planners.size, planners)
}
