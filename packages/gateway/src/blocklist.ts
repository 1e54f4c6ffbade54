/**
 * Keeps the blocked requests of all gateways alike: one that has just started knows of none, and a report of a crash may have been lost. Each heartbeat
 * carries a digest of the sender's list; where it differs from this gateway's, the list is asked for. All gateways give the same verdicts, and one of
 * them stores each, for the case that all are killed. Owns the question under way; the requests are kept by `Crashes`.
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
const answerTime = 500

/** Digits of a digest, in hexadecimal. */
const digestDigits = 16

/** The list of blocked requests, kept like those of the other gateways. */
export class Blocklist {
  readonly #options: BlocklistOptions
  #asking = false

  constructor (options: BlocklistOptions) {
    this.#options = options
  }

  /** Digest of the blocked requests; undefined where there are none. */
  get digest (): string | undefined {
    const { blocked } = this.#options.crashes
    if (blocked.length === 0) return undefined
    const names = blocked.map(({ request }) => request).sort()
    return createHash('sha256').update(names.join()).digest('hex').slice(0, digestDigits)
  }

  /** Takes the requests that were stored before this process began. */
  start (): void {
    this.#options.blocks.read(blocked => this.#options.crashes.block(blocked))
  }

  /** Records that a request was blocked by a verdict given here. */
  add (request: string): void {
    const { id, peers, blocks } = this.#options
    const [writer] = ranked(request, [id, ...peers.live.map(each => each.id)])
    if (writer === id) blocks.write(request)
  }

  /** Takes the digest of another gateway: where it has others blocked than this one, its list is asked for. */
  heard (digest: string | undefined, peer: PeerAddress): void {
    if (digest === undefined || this.#asking || digest === this.digest) return
    this.#asking = true
    this.#ask(peer).then(blocked => this.#options.crashes.block(blocked), () => {
      // The next heartbeat of any gateway brings the digest again.
    }).finally(() => { this.#asking = false })
  }

  async #ask ({ address }: PeerAddress): Promise<BlockedRequest[]> {
    const { clock, connections } = this.#options
    const call = { origin: `http://${address}`, path: paths.blocked, method: 'GET', headers: {}, body: undefined }
    const { body } = await ask(connections, clock, call, answerTime)
    return decodeBlocked(body.toString())
  }
}
