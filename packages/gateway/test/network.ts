/** Datagrams between gateways of a test, in memory. */
import { type Clock, type Random } from '@eiderwind/clock'
import { Datagrams, type Receiver } from '@eiderwind/peers'

/** Share of the datagrams that is lost, unless a test says otherwise. */
const usualLoss = 0.02

/** How datagrams fare. */
export interface Delivery {
  readonly clock: Clock
  /** How long they take, in ms. */
  readonly time: number
  /** Share that is lost. */
  readonly loss: number
}

/** The network of a fleet: datagrams by address, lost at random and where `cut` says so. */
export class Network {
  readonly receivers = new Map<string, Receiver>()
  cut: (from: string, to: string) => boolean = () => false
  sent = 0
  bytes = 0
  readonly #random: Random
  readonly #delivery: Delivery | undefined

  /** @param delivery by default datagrams arrive at once, and some are lost */
  constructor (random: Random, delivery?: Delivery) {
    this.#random = random
    this.#delivery = delivery
  }

  send (message: string, from: string, to: string): void {
    this.sent++
    this.bytes += message.length
    if (this.#random() < (this.#delivery?.loss ?? usualLoss) || this.cut(from, to)) return
    if (this.#delivery === undefined) return this.#arrive(message, from, to)
    this.#delivery.clock.after(this.#delivery.time, () => this.#arrive(message, from, to))
  }

  #arrive (message: string, from: string, to: string): void {
    this.receivers.get(to)?.(Buffer.from(message), from)
  }
}

/** A network whose datagrams arrive when its test says so, all in the order in which they were sent: no timer for each. */
export class SteppedNetwork extends Network {
  /** Those of them that are about places. */
  aboutPlaces = 0
  #held: Array<() => void> = []

  override send (message: string, from: string, to: string): void {
    if (message.startsWith('{"place":')) this.aboutPlaces++
    this.#held.push(() => super.send(message, from, to))
  }

  /** Delivers what was sent until now. */
  deliver (): void {
    const held = this.#held
    this.#held = []
    for (const arrive of held) arrive()
  }
}

/** Datagrams over a `Network`. */
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
