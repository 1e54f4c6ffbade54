/**
 * Keeps the list of blocked requests the same at all gateways. A gateway that has just started has an empty list, and a
 * report of a crash may have been lost. Each heartbeat carries a digest of the sender's list; if it differs from the
 * local digest, the sender's list is requested.
 * All gateways reach the same decisions. One of them stores each blocked request, in case all gateways are killed. Owns
 * only the state of its request to another gateway; `Crashes` holds the blocked requests.
 */
import { createHash } from 'node:crypto'
import { type Clock } from '@eiderwind/clock'
import { type BlockedRequest, type Crashes } from '@eiderwind/crashes'
import { ranked } from '@eiderwind/hash'
import { type PeerAddress, type Peers } from '@eiderwind/peers'
import { ask, type Connections } from '@eiderwind/wire'
import { type Blocks } from './blocks.js'
import { decodeBlocked, paths } from './messages.js'

/** Dependencies of `Blocklist`. */
export interface BlocklistOptions {
  readonly clock: Clock
  /** This gateway's id. */
  readonly id: string
  readonly peers: Peers
  readonly blocks: Blocks
  readonly crashes: Crashes
  readonly connections: Connections
}

/** How long an answer may take, in ms. */
const answerTimeout = 500

/** Length of a digest, in hexadecimal digits. */
const digestDigits = 16

/** The list of blocked requests, synchronized with the other gateways. */
export class Blocklist {
  readonly #options: BlocklistOptions
  #isRequesting = false

  constructor (options: BlocklistOptions) {
    this.#options = options
  }

  /** Digest of the blocked requests; undefined if there are none. */
  get digest (): string | undefined {
    const { blocked } = this.#options.crashes
    if (blocked.length === 0) return undefined
    const names = blocked.map(({ request }) => request).sort()
    return createHash('sha256').update(names.join()).digest('hex').slice(0, digestDigits)
  }

  /** Loads the requests that were stored before this process began. */
  start (): void {
    this.#options.blocks.read(blocked => this.#options.crashes.block(blocked))
  }

  /**
   * Stores a request that was blocked by a decision of this gateway, unless another gateway is responsible for storing
   * it.
   */
  add (request: string): void {
    const { id, peers, blocks } = this.#options
    const [writer] = ranked(request, [id, ...peers.live.map(each => each.id)])
    if (writer === id) blocks.write(request)
  }

  /** Compares another gateway's digest with the local one. If they differ, that gateway's list is requested. */
  receiveDigest (digest: string | undefined, peer: PeerAddress): void {
    if (digest === undefined || this.#isRequesting || digest === this.digest) return
    this.#isRequesting = true
    this.#requestBlocked(peer).then(blocked => this.#options.crashes.block(blocked), () => {
      // On failure, the next heartbeat of any gateway brings a digest again.
    }).finally(() => { this.#isRequesting = false })
  }

  async #requestBlocked ({ address }: PeerAddress): Promise<BlockedRequest[]> {
    const { clock, connections } = this.#options
    const call = { origin: `http://${address}`, path: paths.blocked, method: 'GET', headers: {}, body: undefined }
    const { body } = await ask(connections, clock, call, answerTimeout)
    return decodeBlocked(body.toString())
  }
}
