/**
 * Membership of the gateways by heartbeats over UDP, without a reply or a retry. `Peers` owns the socket, the newest
 * heartbeat of each peer and the list of addresses; it relies on the caller for that list (the store's) and for what
 * to say. What peers say only steers choices: no decision that must be safe depends on it.
 * A gateway that restarts while the store is away has no list, but hears its peers within one interval, since they go on
 * sending to its address; until it gets a list it answers those that it hears.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { ranked } from '@eiderwind/hash'
import { splitAddress } from '@eiderwind/wire'
import { decode, encode, type Heartbeat } from './heartbeat.js'

/** Where a gateway listens for other gateways, under the id that it has in the store. */
export interface PeerAddress {
  readonly id: string
  /** `host:port`, for heartbeats over UDP and for calls over TCP. */
  readonly address: string
}

/** Dependencies and settings of `Peers`. Spans are in ms. */
export interface PeersOptions {
  readonly clock: Clock
  /** This gateway's id. Heartbeats that carry it are ignored. */
  readonly id: string
  /** `host:port` on which heartbeats are received. */
  readonly address: string
  /** Gives the heartbeat to send now. */
  readonly heartbeat: () => Heartbeat
  /** Time between two heartbeats. */
  readonly interval: number
  /** Silence after which a peer no longer counts as alive. */
  readonly timeout: number
}

/**
 * Peers that one gateway sends its heartbeats to at most, so that the messages of a large fleet grow with its size and
 * not with its square. Chosen, not measured; in a fleet of up to 13 gateways each sends to all others.
 */
const fanOut = 12

interface Receipt {
  readonly heartbeat: Heartbeat
  /** When it arrived, on `Clock.now`. */
  readonly at: number
  /** `host:port` that it came from, which is also where its sender listens. */
  readonly address: string
}

/** Sends this gateway's heartbeat to its peers and keeps the newest one of each peer. */
export class Peers {
  readonly #options: PeersOptions
  readonly #received = new Map<string, Receipt>()
  #addresses: readonly PeerAddress[] = []
  #recipients: readonly PeerAddress[] = []
  #hasList = false
  #socket: Socket | undefined
  #timer: Subscription | undefined

  constructor (options: PeersOptions) {
    this.#options = options
  }

  /** The peers that are alive, each as its newest heartbeat. */
  get live (): Heartbeat[] {
    return this.heardWithin(this.#options.timeout)
  }

  /** The newest heartbeat of each peer that was heard within a time, alive or not. @param time in ms */
  heardWithin (time: number): Heartbeat[] {
    const since = this.#options.clock.now() - time
    return [...this.#received.values()].filter(each => each.at >= since).map(each => each.heartbeat)
  }

  /** The other gateways that the store lists, alive or not. */
  get addresses (): readonly PeerAddress[] {
    return this.#addresses
  }

  /** Addresses of the gateways that are live: listed ones in the order of the list, then those that were only heard. */
  get liveAddresses (): PeerAddress[] {
    const live = new Set(this.live.map(each => each.id))
    const listed = new Set(this.addresses.map(each => each.id))
    const unlisted = [...live].filter(id => !listed.has(id)).map(id => ({ id, address: this.#received.get(id)?.address as string }))
    return [...this.addresses.filter(({ id }) => live.has(id)), ...unlisted]
  }

  /** Ids of the live peers that may plan replicas. */
  get planners (): string[] {
    return this.live.filter(each => each.canPlan).map(each => each.id)
  }

  /** Takes the store's list of all gateways, this one included or not. */
  setAddresses (gateways: readonly PeerAddress[]): void {
    this.#hasList = true
    this.#addresses = gateways.filter(each => each.id !== this.#options.id)
    const byId = new Map(this.#addresses.map(each => [each.id, each]))
    this.#recipients = ranked(this.#options.id, [...byId.keys()]).slice(0, fanOut).map(id => byId.get(id) as PeerAddress)
  }

  /** Binds the socket and begins to send. Rejects where the address cannot be bound. */
  async start (): Promise<void> {
    const { clock, address, interval } = this.#options
    const socket = createSocket('udp4')
    const { host, port } = splitAddress(address)
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject)
      socket.bind(port, host, resolve)
    })
    // A lost datagram needs no handling: the next follows within `interval`, and `timeout` decides who is alive.
    socket.on('error', () => {})
    socket.on('message', (message, sender) => this.#receive(message, sender))
    this.#socket = socket
    this.#timer = clock.every(interval, () => this.send())
  }

  /** Whoever was heard, also long ago: one that restarts just now has nobody else to hear of it. */
  get #heard (): PeerAddress[] {
    return [...this.#received].slice(0, fanOut).map(([id, { address }]) => ({ id, address }))
  }

  /** Sends a heartbeat now, in addition to the regular ones. */
  send (): void {
    const message = encode(this.#options.heartbeat())
    for (const { address } of this.#hasList ? this.#recipients : this.#heard) {
      const { host, port } = splitAddress(address)
      // Failures are ignored for the same reason as the socket's errors in `start`.
      this.#socket?.send(message, port, host, () => {})
    }
  }

  stop (): void {
    this.#timer?.cancel()
    this.#socket?.close()
    this.#socket = undefined
  }

  /**
   * Keeps a heartbeat as its sender's newest. A datagram that does not fit the schema is dropped without a line: anything
   * may reach the port, and a sender whose heartbeats never fit counts as not alive, as it would if it sent none.
   */
  #receive (message: Buffer, { address, port }: RemoteInfo): void {
    const heartbeat = decode(message)
    if (heartbeat === undefined || heartbeat.id === this.#options.id) return
    this.#received.set(heartbeat.id, { heartbeat, at: this.#options.clock.now(), address: `${address}:${port}` })
  }
}
