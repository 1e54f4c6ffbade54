import { type Clock } from '@eiderwind/clock'
import { Orders, type Order, type OrderResult } from '@eiderwind/forming'
import { type Peers } from '@eiderwind/peers'
import { ask, type Connections } from '@eiderwind/wire'
import { orderPath } from './confirmations.js'

/** What relayed orders stand on. */
export interface RelayedOptions {
  readonly clock: Clock
  readonly orders: Orders
  readonly peers: Peers
  readonly connections: Connections
}

/** Other entries that are asked, and how long their answer may take, in ms. */
const asked = 3
const answerTime = 900

/** Orders to close that an engine does not answer are given through other entries too: it may be cut off from this one alone. */
export class RelayedOrders extends Orders {
  readonly #options: RelayedOptions

  constructor (options: RelayedOptions) {
    super()
    this.#options = options
  }

  async give (order: Order): Promise<OrderResult> {
    const result = await this.#options.orders.give(order)
    if (result !== 'unanswered' || order.kind !== 'close') return result
    const live = new Set(this.#options.peers.live.map(each => each.id))
    const peers = this.#options.peers.addresses.filter(each => live.has(each.id)).slice(0, asked)
    const results = await Promise.all(peers.map(async each => await this.#relay(each.address, order)))
    return results.find(each => each !== 'unanswered') ?? 'unanswered'
  }

  async #relay (address: string, order: Order): Promise<OrderResult> {
    const { clock, connections } = this.#options
    const call = { origin: `http://${address}`, path: orderPath, method: 'POST', headers: {}, body: Buffer.from(JSON.stringify(order)) }
    try {
      return (JSON.parse((await ask(connections, clock, call, answerTime)).body.toString()) as { result: OrderResult }).result
    } catch {
      return 'unanswered'
    }
  }
}
