/**
 * Which gateway plans the replicas of a service, which ones poll the store for confirmations of the configuration, and, in
 * a large fleet, which two watch the store's upstreams for all others.
 * Who plans is elected (`election.ts`). The rest is not agreed: each gateway ranks the ids it has heard lately by rendezvous hashing, so
 * for a moment more may watch or poll while their views differ, which costs calls of the store.
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
import { FleetView, type View } from './fleetview.js'
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
  readonly firstStart: boolean
}

/**
 * A gateway that has started, or resumed after a pause, plans once it has heard every other one: after `Peers.settleTime`, and this
 * margin, in ms. A gateway that has heard few others takes the fleet for small and itself for the one to watch.
 */
const settleMargin = 100

/**
 * Gateways that poll the store for confirmations, and in a large fleet also watch its upstreams; the others ask these. Two, so that the
 * loss of one delays nothing. Calls to confirm stay at two a second for the whole fleet (docs/design/platform.md, "Freshness").
 */
const pollers = 2

/**
 * Gateways that would take the place of those that watch. Like these they send heartbeats at the full rate, so that one that is gone
 * already is not taken for the next.
 */
const successors = 2

/**
 * Gateways up to which each watches the store's upstreams for itself. In larger fleets two watch, and the others follow them. Two
 * watchers have to ask some 5 to 10 times a second each, so that followers know soon that the watchers' own way to the store has
 * failed; a gateway for itself asks 0.7 to 3 times. So up to about 6 gateways following saves no calls.
 */
const smallFleet = 6

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

  /** Whether this gateway may plan at all; other gateways read it in its heartbeat. */
  get eligible (): boolean {
    const { board, outage, firstStart } = this.#options
    if (!board.read('store') || !board.read('listed') || board.read('stopping')) return false
    // It cannot know whether an outage of the store has just ended: upstreams that lapsed may still be missing from its first list.
    const isFirstList = firstStart && !outage.resumed
    if (!isFirstList && !outage.listComplete) return false
    return this.#isSettled && !this.follows
  }

  /**
   * Whether this gateway could watch the store for others, as far as it knows; other gateways read it in its heartbeat. It need not have
   * heard all others for that: if each said so only once it had, all would do so at the same moment, and each would take itself for the only one.
   */
  get canWatch (): boolean {
    const { board, pauses } = this.#options
    return this.#hasHeardAll(pauses.resumedAt) && board.read('store') && board.read('listed') && !board.read('stopping')
  }

  /**
   * Whether this gateway takes the upstreams from those that watch the store, although it reaches the store itself. A pause of its own
   * does not end that: only one that watched and may be behind leaves it to the others for a while.
   */
  get follows (): boolean {
    const { board, id } = this.#options
    if (!this.#isLarge || !this.#hasHeardAll(this.#startedAt)) return false
    if (!board.read('store') || !board.read('listed') || board.read('upstreamsFrom') === undefined) return false
    return !(this.canWatch && this.#watchers.includes(id))
  }

  /** Whether other gateways take the upstreams from this one. */
  get isFollowed (): boolean {
    return this.#isLarge && this.canWatch && this.#watchers.includes(this.#options.id)
  }

  /** Whether the others have to know soon that this gateway is gone: it watches the store for them, or would if those that do were gone. */
  get isUrgent (): boolean {
    return this.#isLarge && this.canWatch && this.#watchCandidates.slice(0, pollers + successors).includes(this.#options.id)
  }

  /** Whether others watch the store for this gateway, be it that it follows them or that it cannot reach the store. */
  get isSpared (): boolean {
    if (!this.#isLarge || !this.#hasHeardAll(this.#startedAt)) return false
    return this.#options.board.read('listed') && !this.isFollowed
  }

  /** Gateways that were heard lately, this one included. */
  get fleet (): number {
    return this.#view.fleet
  }

  /** Ids of the gateways that other ones should ask first: they learn from the store itself what is new. */
  get informed (): readonly string[] {
    return this.#isLarge ? this.#watchers : this.#fleetView.order(this.#options.peers.planners).slice(0, pollers)
  }

  /** Whether this gateway plans any service now. */
  get planning (): boolean {
    return this.#elections.leading
  }

  /** Whether this gateway plans the replicas of a service now: it leads, and has the store's own list. */
  plans (service: string): boolean {
    return this.#elections.leads(service) && this.#options.board.read('upstreamsFrom') === 'store'
  }

  /** The services that this gateway leads, each with its term. */
  get terms (): Record<string, number> {
    return this.#elections.terms
  }

  /** Another gateway has changed what this one plans: it may have been replaced. */
  async contested (service: string): Promise<void> {
    await this.#elections.contested(service)
  }

  /** Gives up every service, at a planned stop. */
  resign (): void {
    this.#elections.resign()
  }

  /**
   * The gateways whose changes of the upstreams this one takes, the best first: those that watch or poll the store, or any that lives
   * where this one has no list yet. None in a small fleet where it reaches the store itself, and none where it watches for others.
   */
  get sources (): PeerAddress[] {
    const { id, board, peers } = this.#options
    if (board.read('store') && !this.follows) return []
    const informed = this.informed.filter(each => each !== id)
    const sources = board.read('upstreamsFrom') === undefined ? [...informed, ...peers.live.map(each => each.id)] : informed
    const addresses = new Map(peers.liveAddresses.map(each => [each.id, each]))
    return ranked(id, [...new Set(sources)].filter(each => addresses.has(each))).map(each => addresses.get(each) as PeerAddress)
  }

  /**
   * Whether this gateway polls the store for confirmations. One that is not eligible is in no ranking, so it polls for itself, unless
   * others watch the store for it.
   */
  get polls (): boolean {
    if (this.#isLarge) return !this.isSpared
    return !this.eligible || this.#candidates.slice(0, pollers).includes(this.#options.id)
  }

  get #isLarge (): boolean {
    return this.fleet > smallFleet
  }

  /** Whether this gateway has heard every other one since it started or resumed after a pause. */
  get #isSettled (): boolean {
    return this.#hasHeardAll(Math.max(this.#startedAt, this.#options.pauses.resumedAt))
  }

  /** Whether there was time to hear every other gateway since a moment. @param since on `Clock.now` */
  #hasHeardAll (since: number): boolean {
    const { clock, peers } = this.#options
    return clock.now() - since > peers.settleTime + settleMargin
  }

  /** Ids of the gateways that watch the store for all others, this one included where it is one of them. */
  get #watchers (): readonly string[] {
    return this.#watchCandidates.slice(0, pollers)
  }

  /**
   * Ids of the gateways that could watch the store for all others, the first ones before those that would follow them. Those that lead come
   * first: they have to watch anyway.
   */
  get #watchCandidates (): readonly string[] {
    const { watchCandidates, leaders } = this.#view
    const leading = new Set(leaders.map(each => each.id))
    if (this.#elections.elected) leading.add(this.#options.id)
    if (leading.size === 0) return watchCandidates
    return [...watchCandidates.filter(each => leading.has(each)), ...watchCandidates.filter(each => !leading.has(each))]
  }

  get #view (): View {
    return this.#fleetView.now(this.canWatch ? this.#options.id : undefined)
  }

  /** Ids of the gateways that may plan, as far as this one has heard lately, in the order of their ranking. */
  get #candidates (): readonly string[] {
    if (this.#isLarge) return this.#watchers
    const { id, peers } = this.#options
    return this.#fleetView.order(this.eligible ? [id, ...peers.planners] : peers.planners)
  }
}
