import { createSocket, type Socket } from 'node:dgram'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { ranked } from '@eiderwind/hash'
import { splitAddress } from '@eiderwind/wire'
import { Beat } from './beat.js'

/** Another entry: its id and the address of its datagrams. */
export interface PeerAddress {
  readonly id: string
  readonly address: string
}

/** What an entry's part in the exchange stands on. Spans are in ms. */
export interface PeersOptions {
  readonly clock: Clock
  readonly id: string
  /** `host:port` on which it listens. */
  readonly address: string
  /** What it tells of itself now. */
  readonly beat: () => Beat
  /** Time between two beats. */
  readonly interval: number
  /** Silence after which another entry counts as gone. */
  readonly patience: number
}

/** Entries that one entry tells; in a larger fleet each tells only some. */
const fanOut = 12

interface Heard {
  readonly beat: Beat
  readonly at: number
}

/** Tells other entries by datagrams what this one has, and keeps what they tell. All of it only steers. */
export class Peers {
  readonly #options: PeersOptions
  readonly #heard = new Map<string, Heard>()
  #addresses: readonly PeerAddress[] = []
  #told: readonly PeerAddress[] = []
  #socket: Socket | undefined
  #timer: Subscription | undefined

  constructor (options: PeersOptions) {
    this.#options = options
  }

  /** What each entry told last that was heard of lately. */
  get live (): Beat[] {
    const since = this.#options.clock.now() - this.#options.patience
    return [...this.#heard.values()].filter(each => each.at >= since).map(each => each.beat)
  }

  /** The other entries that the platform lists. */
  get addresses (): readonly PeerAddress[] {
    return this.#addresses
  }

  /** Ids of the other entries that are there and able to act. */
  get able (): string[] {
    return this.live.filter(each => each.able).map(each => each.id)
  }

  /** Takes the list of all entries. */
  list (entries: readonly PeerAddress[]): void {
    this.#addresses = entries.filter(each => each.id !== this.#options.id)
    const byId = new Map(this.#addresses.map(each => [each.id, each]))
    this.#told = ranked(this.#options.id, [...byId.keys()]).slice(0, fanOut).map(id => byId.get(id) as PeerAddress)
  }

  async start (): Promise<void> {
    const { clock, address, interval } = this.#options
    const socket = createSocket('udp4')
    const { host, port } = splitAddress(address)
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject)
      socket.bind(port, host, resolve)
    })
    socket.on('error', () => {})
    socket.on('message', message => this.#take(message))
    this.#socket = socket
    this.#timer = clock.every(interval, () => this.tell())
  }

  /** Tells the others now, beside the interval. */
  tell (): void {
    const message = JSON.stringify(this.#options.beat())
    for (const { address } of this.#told) {
      const { host, port } = splitAddress(address)
      this.#socket?.send(message, port, host, () => {})
    }
  }

  stop (): void {
    this.#timer?.cancel()
    this.#socket?.close()
    this.#socket = undefined
  }

  #take (message: Buffer): void {
    const beat = read(message)
    if (beat !== undefined && beat.id !== this.#options.id) this.#heard.set(beat.id, { beat, at: this.#options.clock.now() })
  }
}

function read (message: Buffer): Beat | undefined {
  try {
    return Beat.safeParse(JSON.parse(message.toString())).data
  } catch {
    return undefined
  }
}
