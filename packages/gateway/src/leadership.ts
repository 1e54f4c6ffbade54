/**
 * Decides what this gateway does for the fleet: whether it plans the replicas of a service, whether it polls the store
 * for confirmations of the configuration, and whether, in a large fleet, it is one of the two that watch the store's
 * upstreams for all others.
 * The planner of a service is elected (`election.ts`). The other duties are not agreed upon: each gateway ranks the ids
 * whose heartbeats arrived recently by rendezvous hashing. While the views differ, more gateways than intended may
 * watch or poll for a moment, which only costs calls to the store.
 * Owns the elections (`elections.ts`). Relies on heartbeats (`Peers`) and on the board.
 */
import { type Clock } from '@eiderwind/clock'
import { type Pauses } from '@eiderwind/detect'
import { ranked } from '@eiderwind/hash'
import { type Log } from '@eiderwind/log'
import { type PeerAddress, type Peers } from '@eiderwind/peers'
import { type Outage } from '@eiderwind/roster'
import { Elections } from './elections.js'
import { type GatewayBoard } from './facts.js'
import { FleetView, type FleetState } from './fleetview.js'
import { type Leaders } from './leaders.js'

/** Dependencies of `Leadership`. */
export interface LeadershipOptions {
  readonly clock: Clock
  readonly log: Log
  readonly board: GatewayBoard
  readonly outage: Outage
  readonly pauses: Pauses
  readonly peers: Peers
  readonly leaders: Leaders
  /** This gateway's id. */
  readonly id: string
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean
}

/**
 * Margin added to `Peers.settleTime`, in ms. A gateway that has started, or resumed after a pause, plans only after
 * both times, so that every other gateway has had time to send a heartbeat. Otherwise it would take the fleet for
 * small, and itself for the gateway that should watch.
 */
const settleMargin = 100

/**
 * Number of gateways that poll the store for confirmations, and in a large fleet also watch its upstreams. The others
 * ask these. There are two, so that the loss of one delays nothing. Calls to confirm stay at two a second for the whole
 * fleet (docs/design/platform.md, "Freshness").
 */
const pollerCount = 2

/**
 * Number of gateways that are next in line for those that watch. Like the watchers, they send heartbeats at the full
 * rate, so that a successor that has gone is noticed before it would be chosen.
 */
const successorCount = 2

/**
 * Largest fleet in which each gateway watches the store's upstreams for itself. In larger fleets two gateways watch,
 * and the others follow them. Two watchers must call the store some 5 to 10 times a second each, so that followers
 * learn soon that the watchers have lost the store. A gateway that watches for itself calls 0.7 to 3 times a second. Up
 * to about 6 gateways, following therefore saves no calls.
 */
const maxSmallFleet = 6

/** Decides what this gateway does for the whole fleet. */
export class Leadership {
  readonly #options: LeadershipOptions
  readonly #startedAt: number
  readonly #elections: Elections
  readonly #fleetView: FleetView

  constructor (options: LeadershipOptions) {
    const { clock, log, leaders, peers, id } = options
    this.#options = options
    this.#fleetView = new FleetView(peers)
    this.#startedAt = clock.now()
    this.#elections = new Elections({
      clock,
      log,
      leaders,
      id,
      eligible: () => this.eligible,
      candidates: () => this.#candidates,
      others: () => this.#view.leaders,
      changed: () => peers.send()
    })
  }

  /** Whether this gateway may plan at all. Other gateways read it in its heartbeat. */
  get eligible (): boolean {
    const { board, outage, isFirstStart } = this.#options
    if (!board.read('store') || !board.read('listed') || board.read('stopping')) return false
    // A gateway that has just started cannot know whether an outage of the store has just ended. Upstreams that lapsed
    // in the outage may still be missing from its first list. Only at the first start of the whole system is the first
    // list trusted.
    const isFirstList = isFirstStart && !outage.resumed
    if (!isFirstList && !outage.listComplete) return false
    return this.#isSettled && !this.isFollowing
  }

  /**
   * Whether this gateway could watch the store for others, as far as it knows. Other gateways read it in its heartbeat.
   * This does not require that all other gateways have sent a heartbeat since this one started. If it did, all gateways
   * would announce it at the same moment, and each would take itself for the only one.
   */
  get canWatch (): boolean {
    const { board, pauses } = this.#options
    return this.#hasSettledSince(pauses.resumedAt) && board.read('store') && board.read('listed') && !board.read('stopping')
  }

  /**
   * Whether this gateway takes the upstreams from the watchers although it can reach the store. A pause of this process
   * does not end the following. A watcher that was paused may be behind, so it follows the other watchers for a while.
   */
  get isFollowing (): boolean {
    const { board, id } = this.#options
    if (!this.#isLarge || !this.#hasSettledSince(this.#startedAt)) return false
    if (!board.read('store') || !board.read('listed') || board.read('upstreamsFrom') === undefined) return false
    return !(this.canWatch && this.#watchers.includes(id))
  }

  /** Whether other gateways take the upstreams from this one. */
  get isFollowed (): boolean {
    return this.#isLarge && this.canWatch && this.#watchers.includes(this.#options.id)
  }

  /**
   * Whether the others must learn quickly that this gateway is gone: it watches the store for them, or is next in line
   * to do so.
   */
  get isUrgent (): boolean {
    return this.#isLarge && this.canWatch && this.#watchCandidates.slice(0, pollerCount + successorCount).includes(this.#options.id)
  }

  /**
   * Whether others watch the store for this gateway, either because it follows them or because it cannot reach the
   * store.
   */
  get isSpared (): boolean {
    if (!this.#isLarge || !this.#hasSettledSince(this.#startedAt)) return false
    return this.#options.board.read('listed') && !this.isFollowed
  }

  /** Number of gateways whose heartbeats arrived recently, this one included. */
  get fleet (): number {
    return this.#view.fleet
  }

  /** Ids of the gateways that others should ask first, because they read changes from the store themselves. */
  get storeReaders (): readonly string[] {
    return this.#isLarge ? this.#watchers : this.#fleetView.rank(this.#options.peers.planners).slice(0, pollerCount)
  }

  /** The live gateways: first those that read changes from the store themselves. */
  get peersByKnowledge (): PeerAddress[] {
    const storeReaders = new Set(this.storeReaders)
    return this.#options.peers.liveAddresses.sort((a, b) => Number(storeReaders.has(b.id)) - Number(storeReaders.has(a.id)))
  }

  /** Whether this gateway plans any service now. */
  get isPlanningAny (): boolean {
    return this.#elections.isLeadingAny
  }

  /**
   * Whether this gateway plans the replicas of a service now: it leads, and its list of upstreams comes from the store.
   */
  isPlanning (service: string): boolean {
    return this.#elections.leads(service) && this.#options.board.read('upstreamsFrom') === 'store'
  }

  /** The services that this gateway leads, each with its term. */
  get terms (): Record<string, number> {
    return this.#elections.terms
  }

  /**
   * Checks the election after another gateway has changed a placement of this service: this gateway may have been
   * replaced.
   */
  async contested (service: string): Promise<void> {
    await this.#elections.contested(service)
  }

  /** Stops leading every service, at a planned stop. */
  resign (): void {
    this.#elections.resign()
  }

  /**
   * The gateways from which this one takes changes of the upstreams, the best first. These are the gateways that watch
   * or poll the store, and also any live gateway while this one has no list yet. Empty in a small fleet if this gateway
   * reaches the store itself, and empty if it watches for others.
   */
  get sources (): PeerAddress[] {
    const { id, board, peers } = this.#options
    if (board.read('store') && !this.isFollowing) return []
    const storeReaders = this.storeReaders.filter(each => each !== id)
    const sources = board.read('upstreamsFrom') === undefined ? [...storeReaders, ...peers.live.map(each => each.id)] : storeReaders
    const addresses = new Map(peers.liveAddresses.map(each => [each.id, each]))
    return ranked(id, [...new Set(sources)].filter(each => addresses.has(each))).map(each => addresses.get(each) as PeerAddress)
  }

  /**
   * Whether this gateway polls the store for confirmations. A gateway that is not eligible is in no ranking, so it
   * polls for itself unless others watch the store for it.
   */
  get isPolling (): boolean {
    if (this.#isLarge) return !this.isSpared
    return !this.eligible || this.#candidates.slice(0, pollerCount).includes(this.#options.id)
  }

  get #isLarge (): boolean {
    return this.fleet > maxSmallFleet
  }

  /** Whether every other gateway has had time to send a heartbeat since this one started or resumed after a pause. */
  get #isSettled (): boolean {
    return this.#hasSettledSince(Math.max(this.#startedAt, this.#options.pauses.resumedAt))
  }

  /** Whether every other gateway has had time to send a heartbeat since a moment. @param since on `Clock.now` */
  #hasSettledSince (since: number): boolean {
    const { clock, peers } = this.#options
    return clock.now() - since > peers.settleTime + settleMargin
  }

  /** Ids of the gateways that watch the store for all others. Includes this gateway if it is one of them. */
  get #watchers (): readonly string[] {
    return this.#watchCandidates.slice(0, pollerCount)
  }

  /**
   * Ids of the gateways that could watch the store for all others, in the order in which they would be chosen. Leaders
   * come first, since they have to watch anyway.
   */
  get #watchCandidates (): readonly string[] {
    const { watchCandidates, leaders } = this.#view
    const leading = new Set(leaders.map(each => each.id))
    if (this.#elections.isElectedAny) leading.add(this.#options.id)
    if (leading.size === 0) return watchCandidates
    return [...watchCandidates.filter(each => leading.has(each)), ...watchCandidates.filter(each => !leading.has(each))]
  }

  get #view (): FleetState {
    return this.#fleetView.current(this.canWatch ? this.#options.id : undefined)
  }

  /** Ids of the gateways that may plan, by the latest heartbeats, in the order of their ranking. */
  get #candidates (): readonly string[] {
    if (this.#isLarge) return this.#watchers
    const { id, peers } = this.#options
    return this.#fleetView.rank(this.eligible ? [id, ...peers.planners] : peers.planners)
  }
}
