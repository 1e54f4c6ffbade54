/**
 * Keeps this gateway's confirmation of the configuration young, by asking other gateways where the store does not answer
 * it. A key that was taken away must not be served for longer than a bound, so requests with keys need a confirmation that
 * is young enough; one that is cut off from the store alone serves on by what the others confirm.
 * A confirmation counts from when it was first asked for: the asker takes the time at which it asked, less the age that it
 * hears. Owns only its timer; what it learns goes to the board.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type PeerAddress, type Peers } from '@eiderwind/peers'
import { ask, type Connections } from '@eiderwind/wire'
import { confirm, enforce, revisionInForce, type GatewayBoard } from './facts.js'
import { confirmationTarget, decodeConfirmation } from './messages.js'

/** Dependencies of `Confirmations`. */
export interface ConfirmationsOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly peers: Peers
  readonly connections: Connections
  /** Ids of the gateways that learn from the store itself what is new. */
  readonly informed: () => readonly string[]
}

/** Age of the newest confirmation from which others are asked, in ms: those that poll get one each second. */
const oldAge = 1100

/** Time between two checks, in ms: well below the second within which a gateway without configuration should serve. */
const checkInterval = 100

/** Time between two times that others are asked by a gateway that has a configuration, in ms. */
const askInterval = 400

/** Gateways that are asked at each check: two, so that one that hangs delays nothing. */
const askedPeers = 2

/** How long an answer may take, in ms. */
const answerTime = 500

/** Asks other gateways for confirmations, and for a configuration that they have and this one lacks. */
export class Confirmations {
  readonly #options: ConfirmationsOptions
  #timer: Subscription | undefined
  #askedAt = -Infinity

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
    const old = clock.bootNow() - board.read('confirmedAt') > oldAge
    const ahead = this.#peersAhead(revision)
    if (!old && ahead.size === 0) return
    if (board.read('inForce') !== undefined && clock.now() - this.#askedAt < askInterval) return
    this.#askedAt = clock.now()
    for (const peer of this.#livePeers(ahead).slice(0, askedPeers)) {
      // Without an answer others are asked at the next check; that none answers shows as configuration-unconfirmed.
      this.#ask(peer, revision).catch(() => {})
    }
  }

  /** Ids of the gateways with a later configuration than this one. */
  #peersAhead (revision: number): ReadonlySet<string> {
    return new Set(this.#options.peers.live.filter(each => each.revision > revision).map(each => each.id))
  }

  /** Live gateways, those with a later configuration first, then those that learn from the store itself. */
  #livePeers (ahead: ReadonlySet<string>): PeerAddress[] {
    const informed = new Set(this.#options.informed())
    const rank = ({ id }: PeerAddress): number => ahead.has(id) ? 0 : informed.has(id) ? 1 : 2
    return this.#options.peers.liveAddresses.sort((a, b) => rank(a) - rank(b))
  }

  async #ask ({ address }: PeerAddress, revision: number): Promise<void> {
    const { clock, board, connections } = this.#options
    const askedAt = clock.bootNow()
    const call = { origin: `http://${address}`, path: confirmationTarget(revision), method: 'GET', headers: {}, body: undefined }
    const { body } = await ask(connections, clock, call, answerTime)
    const { revision: theirs, age, traffic } = decodeConfirmation(body.toString())
    if (traffic !== undefined) enforce(board, traffic, clock.now())
    if (this.#revision === theirs) confirm(board, askedAt - age)
  }

  get #revision (): number {
    return revisionInForce(this.#options.board)
  }
}
