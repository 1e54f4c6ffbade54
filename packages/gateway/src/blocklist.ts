/**
 * Keeps the list of blocks the same at all gateways. A gateway that has just started has an empty list, and a report of
 * a crash may have been lost. Each heartbeat carries a digest of the sender's list; if it differs from the local digest,
 * the sender's list is requested, with the clearances that may lift a block here.
 * All gateways reach the same decisions. One of them stores each block, in case all gateways are killed. Owns only the
 * state of its request to another gateway; `Crashes` holds the blocks.
 */
import { createHash } from 'node:crypto'
import { type Clock } from '@eiderwind/clock'
import { blockId, type BlockChange, type Crashes } from '@eiderwind/crashes'
import { ranked } from '@eiderwind/hash'
import { type PeerAddress, type Peers } from '@eiderwind/peers'
import { ask, type Connections } from '@eiderwind/wire'
import { type Blocks } from './blocks.js'
import { decodeBlocked, paths, type BlockedList } from './messages.js'

/** Dependencies of `Blocklist`. */
export interface BlocklistOptions {
  readonly clock: Clock
  /** This gateway's id. */
  readonly id: string
  readonly peers: Peers
  readonly blocks: Blocks
  readonly crashes: Crashes
  readonly connections: Connections
  /** Called with the reason why a block in another gateway's answer is left out. */
  readonly invalid: (reason: string) => void
}

/** How long an answer may take, in ms. */
const answerTimeout = 500

/** Length of a digest, in hexadecimal digits. */
const digestDigits = 16

/** The list of blocks, synchronized with the other gateways. */
export class Blocklist {
  readonly #options: BlocklistOptions
  #isRequesting = false

  constructor (options: BlocklistOptions) {
    this.#options = options
  }

  /** Digest of the blocks; undefined if there are none. */
  get digest (): string | undefined {
    const { blocks } = this.#options.crashes
    if (blocks.length === 0) return undefined
    const ids = blocks.map(({ names }) => blockId(names)).sort()
    return createHash('sha256').update(ids.join()).digest('hex').slice(0, digestDigits)
  }

  /** Loads the blocks that were stored before this process began. */
  start (): void {
    this.#options.blocks.read(blocks => this.#options.crashes.block(blocks))
  }

  /** Stores a change of the blocks, unless another gateway is responsible for storing it. */
  store ({ names, replaces, upstreams }: BlockChange): void {
    const { crashes, blocks } = this.#options
    if (replaces !== undefined && this.#isWriter(replaces)) blocks.remove(replaces)
    const id = blockId(names)
    const block = crashes.blocks.find(each => blockId(each.names) === id)
    if (block !== undefined && this.#isWriter(id)) blocks.write(id, block, upstreams)
  }

  /** Whether this gateway stores the block with this id. */
  #isWriter (block: string): boolean {
    const { id, peers } = this.#options
    const [writer] = ranked(block, [id, ...peers.live.map(each => each.id)])
    return writer === id
  }

  /** Compares another gateway's digest with the local one. If they differ, that gateway's list is requested. */
  receiveDigest (digest: string | undefined, peer: PeerAddress): void {
    if (digest === undefined || this.#isRequesting || digest === this.digest) return
    this.#isRequesting = true
    this.#requestBlocked(peer).then(list => this.#add(list), () => {
      // On failure, the next heartbeat of any gateway brings a digest again.
    }).finally(() => { this.#isRequesting = false })
  }

  #add ({ blocks, clearances }: BlockedList): void {
    const { crashes } = this.#options
    crashes.addClearances(clearances)
    crashes.block(blocks)
  }

  async #requestBlocked ({ address }: PeerAddress): Promise<BlockedList> {
    const { clock, connections, invalid } = this.#options
    const call = { origin: `http://${address}`, path: paths.blocked, method: 'GET', headers: {}, body: undefined }
    const { body } = await ask(connections, clock, call, answerTimeout)
    return decodeBlocked(body.toString(), invalid)
  }
}
