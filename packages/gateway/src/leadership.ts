/**
 * Which gateway plans the replicas of a service, which ones poll the store for confirmations of the configuration, and, in
 * a large fleet, which two watch the store's upstreams for all others.
 * Nothing is agreed: each gateway ranks the ids it has heard lately by rendezvous hashing, so for a moment two may act while their
 * views differ. That is safe, because a placement is written under its version and engines refuse lower
 * epochs; it is only wasteful, hence the waits below.
 * Owns which services this gateway plans, for the log. Relies on heartbeats (`Peers`) and on the board.
 */
import { type Clock } from '@eiderwind/clock'
import { type Pauses } from '@eiderwind/detect'
import { ranked } from '@eiderwind/hash'
import { type Log } from '@eiderwind/log'
import { type PeerAddress, type Peers } from '@eiderwind/peers'
import { type Outage } from '@eiderwind/roster'
import { type GatewayBoard } from './facts.js'

/** Dependencies of `Leadership`. */
export interface LeadershipOptions {
  readonly clock: Clock
  readonly log: Log
  readonly board: GatewayBoard
  readonly outage: Outage
  readonly pauses: Pauses
  readonly peers: Peers
  /** This gateway's id. */
  readonly id: string
  /** Whether the whole system starts for the first time. */
  readonly firstStart: boolean
}

/**
 * A gateway that has started, or resumed after a pause, plans once it has heard every other one: after the silence for which a peer
 * counts as alive (`Peers.timeout`), and this margin, in ms. Without the wait two planned at once after a restart (docs/INCIDENTS.md,
 * soak 140). The margin was chosen, not measured.
 */
const settleMargin = 100

/**
 * Gateways that poll the store for confirmations, and in a large fleet also watch its upstreams; the others ask these. Two, so that the
 * loss of one delays nothing. Calls to confirm stay at two a second for the whole fleet (docs/design/platform.md, "Freshness").
 */
const pollers = 2

/**
 * Gateways up to which each watches the store's upstreams for itself. In larger fleets two watch, and the others follow them. Two
 * watchers have to ask some 5 to 10 times a second each, so that followers know soon that the watchers' own way to the store has
 * failed; a gateway for itself asks 0.7 to 3 times. So up to about 6 gateways following saves no calls.
 */
const smallFleet = 6

/**
 * How long a gateway that is no longer heard counts for the size of the fleet, in ms: a fleet is not small because many restart, or because
 * this process was paused. Chosen, not measured.
 */
const fleetMemory = 10_000

/** The key under which gateways are ranked for polling. Part of the behaviour: gateways of all builds must rank alike. */
const pollingKey = 'confirmers'

/** Decides what this gateway does for the whole fleet. */
export class Leadership {
  readonly #options: LeadershipOptions
  readonly #startedAt: number
  readonly #services = new Set<string>()

  constructor (options: LeadershipOptions) {
    this.#options = options
    this.#startedAt = options.clock.now()
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

  /** Whether this gateway could watch the store for others, as far as it knows; other gateways read it in its heartbeat. */
  get canWatch (): boolean {
    const { board } = this.#options
    return this.#isLarge && this.#isSettled && board.read('store') && board.read('listed') && !board.read('stopping')
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
    return this.canWatch && this.#watchers.includes(this.#options.id)
  }

  /** Whether others watch the store for this gateway, be it that it follows them or that it cannot reach the store. */
  get isSpared (): boolean {
    if (!this.#isLarge || !this.#hasHeardAll(this.#startedAt)) return false
    return this.#options.board.read('listed') && !this.isFollowed
  }

  /** Gateways that were heard lately, this one included. */
  get fleet (): number {
    return this.#options.peers.heardWithin(fleetMemory).length + 1
  }

  /** Ids of the gateways that other ones should ask first: they learn from the store itself what is new. */
  get informed (): string[] {
    return this.#isLarge ? this.#watchers : ranked(pollingKey, this.#options.peers.planners).slice(0, pollers)
  }

  /** Whether this gateway plans any service now. */
  get planning (): boolean {
    return this.#services.size > 0
  }

  /** Whether this gateway plans the replicas of a service now: it leads, and has the store's own list. Logs each change of who leads. */
  plans (service: string): boolean {
    const { id, log, board } = this.#options
    const candidates = this.#candidates
    const leads = this.eligible && ranked(service, candidates)[0] === id
    if (leads !== this.#services.has(service)) {
      log.write(leads ? 'planner-acts' : 'planner-rests', { service, able: candidates.length })
      if (leads) this.#services.add(service)
      else this.#services.delete(service)
    }
    return leads && board.read('upstreamsFrom') === 'store'
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
    return !this.eligible || ranked(pollingKey, this.#candidates).slice(0, pollers).includes(this.#options.id)
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
    return clock.now() - since > peers.timeout + settleMargin
  }

  /** Ids of the gateways that watch the store for all others, this one included where it is one of them. */
  get #watchers (): string[] {
    const { id, peers } = this.#options
    const candidates = this.canWatch ? [id, ...peers.watchCandidates] : peers.watchCandidates
    return ranked(pollingKey, candidates).slice(0, pollers)
  }

  /** Ids of the gateways that may plan, as far as this one has heard lately. */
  get #candidates (): string[] {
    const { id, peers } = this.#options
    return this.eligible ? [id, ...peers.planners] : peers.planners
  }
}
