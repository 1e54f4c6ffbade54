/**
 * Membership of the gateways by heartbeats over UDP, without acknowledgements or retries. `Peers` owns the newest
 * heartbeat of each peer and the list of addresses. It relies on the caller for that list, which comes from the store,
 * and for the fields of the heartbeat. Heartbeats serve only for choices that may be wrong: no decision that must be
 * safe depends on them.
 *
 * Each gateway sends to all others, so that all have the same view except for short differences. The gateways in this
 * view are ranked to choose the one that watches the store. In large fleets each gateway sends less often, so that the
 * number of heartbeats sent and received per second stays bounded. It also sends its interval, and the silence after
 * which it counts as gone grows by the same factor as its interval. The few gateways whose loss must be detected soon
 * send at the full rate in fleets of any size.
 *
 * A gateway need not wait for regular heartbeats to learn which peers are live. When it finds unknown peers in the
 * list, it requests a reply from them, and they answer at once. A gateway that restarts while the store is unreachable
 * has no list. It receives heartbeats from its peers within one interval, since they still send to its address, and it
 * sends its own to them. A gateway that joins therefore needs to read the list only once.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { UdpDatagrams, type Datagrams } from './datagrams.js'
import { decode, encode, type Heartbeat } from './heartbeat.js'

/** The address at which a gateway receives from other gateways, and its id in the store. */
export interface PeerAddress {
  readonly id: string
  /** `host:port`, for heartbeats over UDP and for calls over TCP. */
  readonly address: string
}

/** Dependencies and settings of `Peers`. Times are in ms. */
export interface PeersOptions {
  readonly clock: Clock
  /** This gateway's id. Heartbeats that carry it are ignored. */
  readonly id: string
  /** `host:port` on which heartbeats are received. */
  readonly address: string
  /** Default: UDP at `address`. */
  readonly datagrams?: Datagrams
  /** Returns the heartbeat to send now. */
  readonly heartbeat: () => Heartbeat
  /** Time between two heartbeats, in a fleet small enough for `maxSendRate`. */
  readonly interval: number
  /** Silence after which a peer that sends each `interval` no longer counts as live. */
  readonly timeout: number
  /** Called with each received heartbeat. Default: nothing. */
  readonly received?: (heartbeat: Heartbeat, from: PeerAddress) => void
  /** Called with each datagram that is not a heartbeat, and the `host:port` of its sender. Default: it is dropped. */
  readonly receivedOther?: (message: Buffer, from: string) => void
  /** Handles a datagram by calling `handle`, which may throw. Default: calls it. */
  readonly contain?: (handle: () => void) => void
  /**
   * Whether the loss of this gateway must be detected soon: it then sends each `interval` in a fleet of any size.
   * Default: never.
   */
  readonly urgent?: () => boolean
}

/**
 * Maximum number of heartbeats that one gateway sends per second, and so receives. It bounds processor time and bytes
 * in fleets of any size. Fleets of up to 41 gateways send at the full rate with an interval of 250 ms.
 */
const maxSendRate = 160

/**
 * How long after its last heartbeat an unlisted peer is still sent heartbeats, as a multiple of `timeout`. The list may
 * have been read before the peer was entered. A gateway that never got a list sends without this limit, since a peer
 * that is just restarting may receive from no other gateway.
 */
const unlistedRetention = 20

interface Receipt {
  readonly heartbeat: Heartbeat
  /** When it arrived, and until when its sender counts as live without another one, on `Clock.now`. */
  readonly at: number
  readonly liveUntil: number
  /** `host:port` from which it came. Its sender also receives there. */
  readonly address: string
}

/** Sends this gateway's heartbeat to its peers and stores the newest one of each peer. */
export class Peers {
  readonly #options: PeersOptions
  readonly #datagrams: Datagrams
  readonly #received = new Map<string, Receipt>()
  #addresses: readonly PeerAddress[] = []
  #hasList = false
  /** Intervals since the last regular heartbeat. */
  #intervalsSinceSend = 0
  #timer: Subscription | undefined
  /**
   * The live peers as last computed, and until when all of them stay live without another heartbeat. Cached because
   * they are read many times meanwhile.
   */
  #live: { readonly heartbeats: Heartbeat[], readonly until: number } | undefined

  constructor (options: PeersOptions) {
    this.#options = options
    this.#datagrams = options.datagrams ?? new UdpDatagrams(options.address)
  }

  /** The newest heartbeat of each live peer. */
  get live (): Heartbeat[] {
    const now = this.#options.clock.now()
    if (this.#live === undefined || now > this.#live.until) this.#live = this.#findLive(now)
    return this.#live.heartbeats
  }

  #findLive (now: number): { readonly heartbeats: Heartbeat[], readonly until: number } {
    const live = [...this.#received.values()].filter(each => now <= each.liveUntil)
    return { heartbeats: live.map(each => each.heartbeat), until: Math.min(...live.map(each => each.liveUntil)) }
  }

  /**
   * Silence after which the sender of a heartbeat no longer counts as live, in ms. It grows in proportion to the
   * interval that the sender announced: `timeout` for the configured `interval`, twice that for twice the interval.
   */
  #timeoutOf ({ interval = this.interval }: Heartbeat): number {
    return interval * this.#options.timeout / this.#options.interval
  }

  /** Time between two regular heartbeats of most gateways in a fleet of this size, in ms. */
  get interval (): number {
    return this.#options.interval * this.#intervalFactor
  }

  /**
   * Time within which a gateway that starts receives a heartbeat from every other one, in ms. Peers answer its request
   * for a reply at once, and peers that must not be missed send at the full rate.
   */
  get settleTime (): number {
    return this.#options.timeout
  }

  /** The newest heartbeat of each peer from which one arrived within a time, live or not. @param time in ms */
  seenWithin (time: number): Heartbeat[] {
    const since = this.#options.clock.now() - time
    return [...this.#received.values()].filter(each => each.at >= since).map(each => each.heartbeat)
  }

  /** The other gateways that the store lists, live or not. */
  get addresses (): readonly PeerAddress[] {
    return this.#addresses
  }

  /** Addresses of the live gateways: listed ones in the order of the list, then unlisted ones. */
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

  /** Average age of a peer's newest heartbeat, in ms. */
  get staleness (): number {
    return this.interval / 2
  }

  /** Ids of the live peers that could watch the store for others. */
  get watchCandidates (): string[] {
    return this.live.filter(each => each.canPlan || each.canWatch === true).map(each => each.id)
  }

  /**
   * Sets the store's list of all gateways, which may include this one. Requests a reply from those that are not live
   * here.
   */
  setAddresses (gateways: readonly PeerAddress[]): void {
    this.#hasList = true
    this.#addresses = gateways.filter(each => each.id !== this.#options.id)
    const live = new Set(this.live.map(each => each.id))
    this.#sendTo(this.#addresses.filter(each => !live.has(each.id)), true)
  }

  /** Binds the address and starts to send. Rejects if the address cannot be bound. */
  async start (): Promise<void> {
    const { clock, interval, contain = handle => handle() } = this.#options
    await this.#datagrams.start((message, from) => contain(() => this.#receive(message, from)))
    this.#timer = clock.every(interval, () => this.#sendRegularly())
  }

  /** Factor by which a fleet of this size stretches the interval between heartbeats. */
  get #intervalFactor (): number {
    const sent = this.#recipients.length * 1000 / this.#options.interval
    return Math.max(1, Math.ceil(sent / maxSendRate))
  }

  /** Listed peers, live or not, and unlisted peers from which heartbeats were received. */
  get #recipients (): PeerAddress[] {
    const since = this.#hasList ? this.#options.clock.now() - unlistedRetention * this.#options.timeout : -Infinity
    const listed = new Set(this.#addresses.map(each => each.id))
    const unlisted = [...this.#received].filter(([id, { at }]) => !listed.has(id) && at >= since)
    return [...this.#addresses, ...unlisted.map(([id, { address }]) => ({ id, address }))]
  }

  #sendRegularly (): void {
    this.#intervalsSinceSend++
    if (this.#intervalsSinceSend < this.#intervalsPerHeartbeat) return
    this.#intervalsSinceSend = 0
    this.send()
  }

  /** Number of intervals between two regular heartbeats of this gateway. */
  get #intervalsPerHeartbeat (): number {
    return this.#options.urgent?.() === true ? 1 : this.#intervalFactor
  }

  /** Sends a heartbeat to all peers now, in addition to the regular ones. */
  send (): void {
    this.#sendTo(this.#recipients, false)
  }

  #sendTo (peers: readonly PeerAddress[], wantsReply: boolean): void {
    if (peers.length === 0) return
    const message = encode({ ...this.#options.heartbeat(), interval: this.#options.interval * this.#intervalsPerHeartbeat, wantsReply })
    for (const { address } of peers) this.#datagrams.send(message, address)
  }

  stop (): void {
    this.#timer?.cancel()
    this.#datagrams.stop()
  }

  /**
   * Sends a message that is not a heartbeat. It may be lost.
   * @param to the id of a gateway from which a heartbeat was received, or the `host:port` from which a message came
   */
  post (to: string, message: string): void {
    this.#datagrams.send(message, this.#received.get(to)?.address ?? to)
  }

  /**
   * Stores a heartbeat as its sender's newest. A datagram that does not fit the schema is passed to `receivedOther`. If
   * it can't be read there either, it is dropped without a log line, since any process may send to the port. A sender
   * whose heartbeats never fit counts as not live, as if it sent none.
   */
  #receive (message: Buffer, address: string): void {
    const heartbeat = decode(message)
    if (heartbeat === undefined) return this.#options.receivedOther?.(message, address)
    if (heartbeat.id === this.#options.id) return
    const at = this.#options.clock.now()
    this.#received.set(heartbeat.id, { heartbeat, at, liveUntil: at + this.#timeoutOf(heartbeat), address })
    this.#live = undefined
    this.#options.received?.(heartbeat, { id: heartbeat.id, address })
    if (heartbeat.wantsReply === true) this.#sendTo([{ id: heartbeat.id, address }], false)
  }
}
