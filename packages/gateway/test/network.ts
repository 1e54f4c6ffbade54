/** Carries datagrams between the gateways of a test in memory, with loss, delay and partitions. */
import { type Clock, type Random } from '@eiderwind/clock'
import { Datagrams, type Receiver } from '@eiderwind/peers'

/** Default share of the datagrams that are lost. */
const defaultLoss = 0.02

/** Delay and loss of datagrams. */
export interface Delivery {
  readonly clock: Clock
  /** Time in transit, in ms. */
  readonly delay: number
  /** Share of the datagrams that are lost. */
  readonly loss: number
}

/** The network of a fleet. Datagrams are lost at random and wherever `isCut` returns true. */
export class Network {
  /** Receivers by address. */
  readonly receivers = new Map<string, Receiver>()
  /** Whether no datagram passes from one address to another. */
  isCut: (from: string, to: string) => boolean = () => false
  /** Number of datagrams sent. */
  sent = 0
  /** Their total length, in bytes. */
  bytes = 0
  readonly #random: Random
  readonly #delivery: Delivery | undefined

  /** @param delivery by default datagrams arrive without delay and the default share is lost */
  constructor (random: Random, delivery?: Delivery) {
    this.#random = random
    this.#delivery = delivery
  }

  send (message: string, from: string, to: string): void {
    this.sent++
    this.bytes += message.length
    if (this.#random() < (this.#delivery?.loss ?? defaultLoss) || this.isCut(from, to)) return
    if (this.#delivery === undefined) return this.#arrive(message, from, to)
    this.#delivery.clock.after(this.#delivery.delay, () => this.#arrive(message, from, to))
  }

  #arrive (message: string, from: string, to: string): void {
    this.receivers.get(to)?.(Buffer.from(message), from)
  }
}

/** A network that delivers datagrams in the order of sending when `deliver` is called, without a timer for each. */
export class SteppedNetwork extends Network {
  /** Number of datagrams about places. */
  placeDatagrams = 0
  #pending: Array<() => void> = []

  override send (message: string, from: string, to: string): void {
    if (message.startsWith('{"place":')) this.placeDatagrams++
    this.#pending.push(() => super.send(message, from, to))
  }

  /** Delivers all datagrams sent so far. */
  deliver (): void {
    const pending = this.#pending
    this.#pending = []
    for (const arrive of pending) arrive()
  }
}

/** The `Datagrams` of one gateway over a `Network`. */
export class ModelDatagrams extends Datagrams {
  readonly #network: Network
  readonly #address: string

  constructor (network: Network, address: string) {
    super()
    this.#network = network
    this.#address = address
  }

  async start (receive: Receiver): Promise<void> {
    this.#network.receivers.set(this.#address, receive)
  }

  send (message: string, address: string): void {
    this.#network.send(message, this.#address, address)
  }

  stop (): void {
    this.#network.receivers.delete(this.#address)
  }
}
