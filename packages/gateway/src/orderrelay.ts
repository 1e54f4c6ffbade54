/**
 * Relays an order that ends the service of a replica, to close or to leave, through other gateways if the engine does
 * not answer this one. The link may be cut for this gateway only, and the members of a replica are not free until its
 * head is known not to serve. Owns nothing. Relies on `RelayCalls` to ask the other gateways.
 */
import { Orders, type Order, type OrderResult } from '@eiderwind/forming'
import { decodeResult, encodeOrder, paths } from './messages.js'
import { type RelayCalls } from './relaycalls.js'

/**
 * How long a relayed order may take, in ms: the 700 ms for which the other gateway waits for the engine, plus the round
 * trip.
 */
const answerTimeout = 900

/** Sends orders to engines, and relays orders to close and to leave. */
export class OrderRelay extends Orders {
  readonly #orders: Orders
  readonly #relayCalls: RelayCalls

  /** @param orders sends orders from this gateway */
  constructor (orders: Orders, relayCalls: RelayCalls) {
    super()
    this.#orders = orders
    this.#relayCalls = relayCalls
  }

  async send (order: Order): Promise<OrderResult> {
    const result = await this.#orders.send(order)
    if (result !== 'unanswered' || (order.kind !== 'close' && order.kind !== 'leave')) return result
    return await this.#relayCalls.send<OrderResult>(order.node, {
      path: paths.order,
      body: encodeOrder(order),
      timeout: answerTimeout,
      decode: decodeResult,
      unanswered: 'unanswered'
    })
  }
}
