/**
 * Has a gateway that started while the store is away take the list of upstreams from another one, so that it serves within a
 * second of its start instead of refusing until the store returns. It goes on asking while there is no list of the store's, and
 * takes a list only if that shows a later state than the one it has. The store's own list replaces it.
 * Owns only its timer. Relies on `Peers` to hear other gateways without the store's list of them.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type PeerAddress, type Peers } from '@eiderwind/peers'
import { type Roster } from '@eiderwind/roster'
import { ask, type Connections } from '@eiderwind/wire'
import { type GatewayBoard } from './facts.js'
import { decodeUpstreams, paths } from './messages.js'

/** Dependencies of `RosterCopy`. */
export interface RosterCopyOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly roster: Roster
  readonly peers: Peers
  readonly connections: Connections
}

/** Time between two questions while there is no list at all, in ms. Chosen, not measured: well below the second that is aimed at. */
const firstInterval = 100

/** Time between two questions while the list of another gateway is used, in ms. Chosen, not measured. */
const laterInterval = 1000

/** Gateways that are asked at a time: two, so that one that hangs delays nothing. Chosen, not measured. */
const askedPeers = 2

/** How long an answer may take, in ms. Chosen, not measured. */
const answerTime = 500

/** Copies the list of upstreams from other gateways until the store's list is read. */
export class RosterCopy {
  readonly #options: RosterCopyOptions
  #timer: Subscription | undefined
  #askedAt = -Infinity

  constructor (options: RosterCopyOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.every(firstInterval, () => this.#check())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #check (): void {
    const { clock, board, peers } = this.#options
    const read = board.read('upstreamsRead')
    if (read?.from === 'store') return this.stop()
    if (read !== undefined && clock.now() - this.#askedAt < laterInterval) return
    this.#askedAt = clock.now()
    for (const peer of peers.liveAddresses.slice(0, askedPeers)) {
      // Without an answer others are asked at the next check; until then this gateway is not ready.
      this.#ask(peer).catch(() => {})
    }
  }

  async #ask ({ address }: PeerAddress): Promise<void> {
    const { clock, board, roster, connections } = this.#options
    const askedAt = clock.now()
    const call = { origin: `http://${address}`, path: paths.upstreams, method: 'GET', headers: {}, body: undefined }
    const { body } = await ask(connections, clock, call, answerTime)
    const { age, upstreams } = decodeUpstreams(body.toString())
    const read = board.read('upstreamsRead')
    if (read?.from === 'store' || (read !== undefined && read.asOf >= askedAt - age)) return
    board.write('upstreamsRead', { from: 'peer', asOf: askedAt - age })
    roster.replace(upstreams)
  }
}
