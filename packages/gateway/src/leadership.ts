/**
 * Which gateway plans the replicas of a service, and which ones poll the store for confirmations of the configuration.
 * Nothing is agreed: each gateway ranks the ids it has heard lately by rendezvous hashing, so two may act while their
 * views differ: for a moment in fleets of up to 13 gateways, lastingly in larger ones, where each sends its heartbeat to 12 others.
 * That is safe, because a placement is written under its version and engines refuse lower
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
 * How long a gateway that has started, or resumed after a pause, waits before it plans, in ms: the 1000 ms (`heartbeatTimeout` in gateway.ts) after which a silent
 * gateway counts as gone, and a margin, so that it has heard every other one. Raised after soak 140 (docs/INCIDENTS.md).
 */
const settleTime = 1100

/**
 * Gateways that poll the store for confirmations; the others ask these. Two, so that the loss of one delays no confirmation. Calls to
 * confirm stay at two a second for the whole fleet (docs/design/platform.md, "Freshness").
 */
const pollers = 2

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
    const { clock, board, outage, pauses, firstStart } = this.#options
    if (!board.read('store') || !board.read('listed') || board.read('stopping')) return false
    // It cannot know whether an outage of the store has just ended: upstreams that lapsed may still be missing from its first list.
    if (!firstStart && !outage.listComplete) return false
    return clock.now() - Math.max(this.#startedAt, pauses.resumedAt) > settleTime
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
   * The gateways whose changes of the upstreams this one takes, the best first: those that poll the store, or any that lives where this
   * one has no list yet. None where it reaches the store itself: through another gateway, whose own way to the store may just have
   * failed unnoticed, it would hear too late which upstreams leave.
   */
  get sources (): PeerAddress[] {
    const { id, board, peers } = this.#options
    if (board.read('store')) return []
    const polling = ranked(pollingKey, peers.planners).slice(0, pollers)
    const sources = board.read('upstreamsFrom') === undefined ? [...polling, ...peers.live.map(each => each.id)] : polling
    const addresses = new Map(peers.liveAddresses.map(each => [each.id, each]))
    return ranked(id, [...new Set(sources)].filter(each => addresses.has(each))).map(each => addresses.get(each) as PeerAddress)
  }

  /** Whether this gateway polls the store for confirmations. One that is not eligible is in no ranking, so it polls for itself. */
  get polls (): boolean {
    return !this.eligible || ranked(pollingKey, this.#candidates).slice(0, pollers).includes(this.#options.id)
  }

  /** Ids of the gateways that may plan, as far as this one has heard lately. */
  get #candidates (): string[] {
    const { id, peers } = this.#options
    return this.eligible ? [id, ...peers.planners] : peers.planners
  }
}
