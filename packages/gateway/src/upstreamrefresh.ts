/**
 * Asks other gateways for the changes of the upstreams when this gateway's list is getting old. An answer of the store
 * may have been lost, which is noticed only when its call times out, or the gateway that is followed may have lost the
 * store itself. Requests would then go to upstreams that have left.
 * Owns its timer and which gateways were asked. Relies on `UpstreamList` to ignore what is not newer.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type PeerAddress } from '@eiderwind/peers'
import { type GatewayBoard } from './facts.js'
import { type UpstreamsCall } from './upstreamcalls.js'
import { type UpstreamList } from './upstreamlist.js'

/** Dependencies of `UpstreamRefresh`. */
export interface UpstreamRefreshOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly upstreamList: UpstreamList
  /** The live gateways, the best to ask first. */
  readonly peers: () => readonly PeerAddress[]
  readonly call: UpstreamsCall
  /** Age of the list above which other gateways are asked, in ms. */
  readonly maxAge: number
}

/** Interval between checks of the list's age, in ms: short compared with the bounds on leaving upstreams. */
const checkInterval = 50

/** Time between the first rounds of questions, in ms. */
const roundInterval = 250

/** Number of these rounds. The time between later ones doubles, since in an outage of the store nobody knows more. */
const promptRounds = 4

/** Upper bound on the time between two rounds, in ms. */
const maxRoundInterval = 4000

/** Number of gateways asked in a round: two, so that one that hangs delays nothing. */
const peersPerRound = 2

/** How long an answer may take, in ms. */
const answerTimeout = 500

/** Asks other gateways while the list of upstreams is old. */
export class UpstreamRefresh {
  readonly #options: UpstreamRefreshOptions
  #timer: Subscription | undefined
  #askedAt = -Infinity
  /** Number of rounds since the list was recent. */
  #rounds = 0

  constructor (options: UpstreamRefreshOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.every(checkInterval, () => this.check())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** Begins a round if the list is old and none was begun lately. */
  check (): void {
    const { clock, board, upstreamList, peers, maxAge } = this.#options
    // Before there is a list, `UpstreamFeed` takes that of another gateway.
    if (board.read('upstreamsFrom') === undefined) return
    if (upstreamList.age <= maxAge) {
      this.#rounds = 0
      return
    }
    if (clock.now() - this.#askedAt < this.#interval) return
    this.#askedAt = clock.now()
    for (const peer of this.#chosen(peers())) {
      // Without an answer, the next round asks other gateways, and the watch of the store goes on.
      this.#ask(peer).catch(() => {})
    }
    this.#rounds++
  }

  get #interval (): number {
    return Math.min(maxRoundInterval, roundInterval * 2 ** Math.max(0, this.#rounds - promptRounds))
  }

  /** The gateways of this round. Each round begins where the one before ended. */
  #chosen (peers: readonly PeerAddress[]): PeerAddress[] {
    if (peers.length <= peersPerRound) return [...peers]
    return Array.from({ length: peersPerRound }, (_each, index) => peers[(this.#rounds * peersPerRound + index) % peers.length])
  }

  async #ask ({ id, address }: PeerAddress): Promise<void> {
    const { clock, board, call, upstreamList } = this.#options
    const askedAt = clock.bootNow()
    const answer = await call(address, { life: '', after: 0, revision: board.read('upstreamsRevision'), wait: false }, answerTimeout)
    upstreamList.merge(id, answer, askedAt - (answer.age ?? Infinity))
  }
}
