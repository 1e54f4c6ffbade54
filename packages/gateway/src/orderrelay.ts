/**
 * Relays an order to close through other gateways where the engine does not answer this one: the link may be cut for
 * this gateway alone, and the members of a replica are not free before its head is known not to serve.
 * Owns nothing; relies on heartbeats to know which gateways are live.
 */
import { type Clock } from '@eiderwind/clock'
import { Orders, type Order, type OrderResult } from '@eiderwind/forming'
import { type PeerAddress, type Peers } from '@eiderwind/peers'
import { ask, type Connections } from '@eiderwind/wire'
import { decodeResult, encodeOrder, paths } from './messages.js'

/** Dependencies of `OrderRelay`. */
export interface OrderRelayOptions {
  readonly clock: Clock
  /** Gives orders from this gateway. */
  readonly orders: Orders
  readonly peers: Peers
  readonly connections: Connections
}

/** Gateways that an order is relayed through at the same time: silence of all is evidence, see `detect`. */
const relays = 3

/** How long a relayed order may take, in ms: the 700 ms that the other gateway gives the engine, and the way there and back. */
const answerTime = 900

/** Orders to engines, with the relay. */
export class OrderRelay extends Orders {
  readonly #options: OrderRelayOptions

  constructor (options: OrderRelayOptions) {
    super()
    this.#options = options
  }

  async give (order: Order): Promise<OrderResult> {
    const result = await this.#options.orders.give(order)
    if (result !== 'unanswered' || order.kind !== 'close') return result
    const results = await Promise.all(this.#options.peers.liveAddresses.slice(0, relays).map(async peer => await this.#relay(peer, order)))
    return results.find(each => each !== 'unanswered') ?? 'unanswered'
  }

  async #relay ({ address }: PeerAddress, order: Order): Promise<OrderResult> {
    const { clock, connections } = this.#options
    const call = { origin: `http://${address}`, path: paths.order, method: 'POST', headers: {}, body: Buffer.from(encodeOrder(order)) }
    try {
      const { body } = await ask(connections, clock, call, answerTime)
      return decodeResult(body.toString())
    } catch {
      // The relay adds evidence; without it the order is what it was before, and its result is logged as such.
      return 'unanswered'
    }
  }
}
