/**
 * Membership of the gateways by heartbeats over UDP, without a reply or a retry. `Peers` owns the newest
 * heartbeat of each peer and the list of addresses; it relies on the caller for that list (the store's) and for what
 * to say. What peers say only steers choices: no decision that must be safe depends on it.
 * Each sends to all others, so that all have the same view but for a moment: who watches the store is ranked over it. In large fleets each
 * sends less often, so that what one sends and receives in a second stays bounded, and says how often: the silence after which it counts
 * as gone grows alike. The few whose loss has to be known soon send at the full rate in fleets of any size.
 * Nobody waits for regular heartbeats to learn who is there: one that finds others in the list asks them, and they answer at once.
 * A gateway that restarts while the store is away has no list, but hears its peers within one interval, since they go on
 * sending to its address; it answers those that it hears. So one that joins needs to read the list only once.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { UdpDatagrams, type Datagrams } from './datagrams.js'
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
  /** Default: UDP at that address. */
  readonly datagrams?: Datagrams
  /** Gives the heartbeat to send now. */
  readonly heartbeat: () => Heartbeat
  /** Time between two heartbeats, in a fleet in which `sendRate` allows it. */
  readonly interval: number
  /** Silence after which a peer no longer counts as alive, where heartbeats come each `interval`. */
  readonly timeout: number
  /** Called with each heartbeat that comes. Default: nothing. */
  readonly heard?: (heartbeat: Heartbeat, from: PeerAddress) => void
  /** Called with each datagram that is no heartbeat, and the `host:port` that it came from. Default: it is dropped. */
  readonly other?: (message: Buffer, from: string) => void
  /** Whether the others have to know soon that this gateway is gone: it then sends each `interval` in a fleet of any size. Default: never. */
  readonly urgent?: () => boolean
}

/**
 * Heartbeats that one gateway sends in a second at most, and so receives: what bounds processor time and bytes in fleets of any size.
 * Fleets of up to 41 gateways send at the full rate with an interval of 250 ms.
 */
const sendRate = 160

/**
 * Peers that were heard but are not listed are sent to for this many time-outs of silence: the list may be read before they enter it.
 * A gateway that never got a list goes on for ever: one that restarts just now has nobody else to hear of it.
 */
const unlistedTimeouts = 20

interface Receipt {
  readonly heartbeat: Heartbeat
  /** When it arrived, and until when its sender counts as alive without another one, on `Clock.now`. */
  readonly at: number
  readonly aliveUntil: number
  /** `host:port` that it came from, which is also where its sender listens. */
  readonly address: string
}

/** Sends this gateway's heartbeat to its peers and keeps the newest one of each peer. */
export class Peers {
  readonly #options: PeersOptions
  readonly #datagrams: Datagrams
  readonly #received = new Map<string, Receipt>()
  #addresses: readonly PeerAddress[] = []
  #hasList = false
  /** Intervals since the last regular heartbeat. */
  #skipped = 0
  #timer: Subscription | undefined
  /** The live peers as they were found last, and until when they all are without another heartbeat: they are asked for many times meanwhile. */
  #live: { readonly heartbeats: Heartbeat[], readonly until: number } | undefined

  constructor (options: PeersOptions) {
    this.#options = options
    this.#datagrams = options.datagrams ?? new UdpDatagrams(options.address)
  }

  /** The peers that are alive, each as its newest heartbeat. */
  get live (): Heartbeat[] {
    const now = this.#options.clock.now()
    if (this.#live === undefined || now > this.#live.until) this.#live = this.#alive(now)
    return this.#live.heartbeats
  }

  #alive (now: number): { readonly heartbeats: Heartbeat[], readonly until: number } {
    const alive = [...this.#received.values()].filter(each => now <= each.aliveUntil)
    return { heartbeats: alive.map(each => each.heartbeat), until: Math.min(...alive.map(each => each.aliveUntil)) }
  }

  /** Silence after which the sender of a heartbeat no longer counts as alive, in ms: as many of its own intervals as `timeout` has. */
  #silence ({ interval = this.interval }: Heartbeat): number {
    return interval * this.#options.timeout / this.#options.interval
  }

  /** Time between two regular heartbeats of most gateways of a fleet of this size, in ms. */
  get interval (): number {
    return this.#options.interval * this.#slowness
  }

  /**
   * Time after which a gateway that has begun to listen has heard every other one, in ms: those that it asks answer at once, and those that
   * must not be missed send at the full rate.
   */
  get settleTime (): number {
    return this.#options.timeout
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

  /** How old a peer's newest heartbeat is on average, in ms. */
  get staleness (): number {
    return this.interval / 2
  }

  /** Ids of the live peers that could watch the store for others. */
  get watchCandidates (): string[] {
    return this.live.filter(each => each.canPlan || each.canWatch === true).map(each => each.id)
  }

  /** Takes the store's list of all gateways, this one included or not, and asks those that were not heard yet for their heartbeats. */
  setAddresses (gateways: readonly PeerAddress[]): void {
    this.#hasList = true
    this.#addresses = gateways.filter(each => each.id !== this.#options.id)
    const live = new Set(this.live.map(each => each.id))
    this.#sendTo(this.#addresses.filter(each => !live.has(each.id)), true)
  }

  /** Binds the address and begins to send. Rejects where the address cannot be bound. */
  async start (): Promise<void> {
    const { clock, interval } = this.#options
    await this.#datagrams.start((message, from) => this.#receive(message, from))
    this.#timer = clock.every(interval, () => this.#sendRegularly())
  }

  /** How many times more slowly than at each interval a fleet of this size sends. */
  get #slowness (): number {
    const sent = this.#recipients.length * 1000 / this.#options.interval
    return Math.max(1, Math.ceil(sent / sendRate))
  }

  /** Listed peers, alive or not, and those that were only heard. */
  get #recipients (): PeerAddress[] {
    const since = this.#hasList ? this.#options.clock.now() - unlistedTimeouts * this.#options.timeout : -Infinity
    const listed = new Set(this.#addresses.map(each => each.id))
    const heard = [...this.#received].filter(([id, { at }]) => !listed.has(id) && at >= since)
    return [...this.#addresses, ...heard.map(([id, { address }]) => ({ id, address }))]
  }

  #sendRegularly (): void {
    this.#skipped++
    if (this.#skipped < this.#pace) return
    this.#skipped = 0
    this.send()
  }

  /** How many intervals there are between two regular heartbeats of this gateway. */
  get #pace (): number {
    return this.#options.urgent?.() === true ? 1 : this.#slowness
  }

  /** Sends a heartbeat to all now, in addition to the regular ones. */
  send (): void {
    this.#sendTo(this.#recipients, false)
  }

  #sendTo (peers: readonly PeerAddress[], asks: boolean): void {
    if (peers.length === 0) return
    const message = encode({ ...this.#options.heartbeat(), interval: this.#options.interval * this.#pace, asks })
    for (const { address } of peers) this.#datagrams.send(message, address)
  }

  stop (): void {
    this.#timer?.cancel()
    this.#datagrams.stop()
  }

  /** Sends another message than a heartbeat. It may be lost. @param to the id of a gateway that is live, or the `host:port` that a message of it came from */
  post (to: string, message: string): void {
    this.#datagrams.send(message, this.#received.get(to)?.address ?? to)
  }

  /**
   * Keeps a heartbeat as its sender's newest. A datagram that does not fit the schema is passed on, and dropped without a line by whoever else cannot read it: anything
   * may reach the port, and a sender whose heartbeats never fit counts as not alive, as it would if it sent none.
   */
  #receive (message: Buffer, address: string): void {
    const heartbeat = decode(message)
    if (heartbeat === undefined) return this.#options.other?.(message, address)
    if (heartbeat.id === this.#options.id) return
    const at = this.#options.clock.now()
    this.#received.set(heartbeat.id, { heartbeat, at, aliveUntil: at + this.#silence(heartbeat), address })
    this.#live = undefined
    this.#options.heard?.(heartbeat, { id: heartbeat.id, address })
    if (heartbeat.asks === true) this.#sendTo([{ id: heartbeat.id, address }], false)
  }
}
