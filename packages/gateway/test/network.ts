/** Datagrams between gateways of a test, in memory. */
import { type Random } from '@eiderwind/clock'
import { Datagrams, type Receiver } from '@eiderwind/peers'

/** Share of the datagrams that is lost. */
const loss = 0.02

/** The network of a fleet: datagrams by address, lost at random and where `cut` says so. */
export class Network {
  readonly receivers = new Map<string, Receiver>()
  cut: (from: string, to: string) => boolean = () => false
  sent = 0
  bytes = 0
  readonly #random: Random

  constructor (random: Random) {
    this.#random = random
  }

  send (message: string, from: string, to: string): void {
    this.sent++
    this.bytes += message.length
    if (this.#random() < loss || this.cut(from, to)) return
    this.receivers.get(to)?.(Buffer.from(message), from)
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
