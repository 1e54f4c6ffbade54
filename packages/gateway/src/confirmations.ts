/**
 * Keeps this gateway's confirmation of the configuration recent, by asking other gateways if the store does not answer.
 * A revoked key must not be served for longer than a bound, so requests with keys need a recent confirmation. A gateway
 * that has lost only the store continues to serve with the confirmations of the others.
 * The age of a confirmation counts from the time at which the store was asked. The receiver computes it as the time of
 * its own request less the age in the answer. Owns only its timer; results go to the board.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type PeerAddress, type Peers } from '@eiderwind/peers'
import { ask, type Connections } from '@eiderwind/wire'
import { recordConfirmation, applyConfiguration, revisionInForce, type GatewayBoard } from './facts.js'
import { confirmationTarget, decodeConfirmation } from './messages.js'

/** Dependencies of `Confirmations`. */
export interface ConfirmationsOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly peers: Peers
  readonly connections: Connections
  /** Ids of the gateways that read changes from the store themselves. */
  readonly storeReaders: () => readonly string[]
}

/**
 * Age of the newest confirmation above which other gateways are asked, in ms. Gateways that poll the store get one each
 * second.
 */
const maxAge = 1100

/** Interval between checks, in ms: well below the second within which a gateway without configuration should serve. */
const checkInterval = 100

/** Minimum time between two rounds of requests by a gateway that has a configuration, in ms. */
const requestInterval = 400

/** Number of gateways asked at each check: two, so that one that hangs delays nothing. */
const peersPerCheck = 2

/** How long an answer may take, in ms. */
const answerTimeout = 500

/** Asks other gateways for confirmations, and for a configuration that is newer than this gateway's. */
export class Confirmations {
  readonly #options: ConfirmationsOptions
  #timer: Subscription | undefined
  #requestedAt = -Infinity

  constructor (options: ConfirmationsOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.every(checkInterval, () => this.#check())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #check (): void {
    const { clock, board } = this.#options
    const revision = this.#revision
    const isOld = clock.bootNow() - board.read('confirmedAt') > maxAge
    const ahead = this.#peersAhead(revision)
    if (!isOld && ahead.size === 0) return
    if (board.read('inForce') !== undefined && clock.now() - this.#requestedAt < requestInterval) return
    this.#requestedAt = clock.now()
    for (const peer of this.#livePeers(ahead).slice(0, peersPerCheck)) {
      // Without an answer, others are asked at the next check. If none answers, `configuration-unconfirmed` is logged.
      this.#requestConfirmation(peer, revision).catch(() => {})
    }
  }

  /** Ids of the gateways with a later configuration than this one. */
  #peersAhead (revision: number): ReadonlySet<string> {
    return new Set(this.#options.peers.live.filter(each => each.revision > revision).map(each => each.id))
  }

  /** Live gateways: first those with a later configuration, then those that read changes from the store themselves. */
  #livePeers (ahead: ReadonlySet<string>): PeerAddress[] {
    const storeReaders = new Set(this.#options.storeReaders())
    const rank = ({ id }: PeerAddress): number => ahead.has(id) ? 0 : storeReaders.has(id) ? 1 : 2
    return this.#options.peers.liveAddresses.sort((a, b) => rank(a) - rank(b))
  }

  async #requestConfirmation ({ address }: PeerAddress, revision: number): Promise<void> {
    const { clock, board, connections } = this.#options
    const askedAt = clock.bootNow()
    const call = { origin: `http://${address}`, path: confirmationTarget(revision), method: 'GET', headers: {}, body: undefined }
    const { body } = await ask(connections, clock, call, answerTimeout)
    const { revision: peerRevision, age, traffic } = decodeConfirmation(body.toString())
    if (traffic !== undefined) applyConfiguration(board, traffic, clock.now())
    if (this.#revision === peerRevision) recordConfirmation(board, askedAt - age)
  }

  get #revision (): number {
    return revisionInForce(this.#options.board)
  }
}
