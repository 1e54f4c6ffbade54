import { type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Order, type OrderResult, type Orders } from '@eiderwind/forming'
import { type Peers } from '@eiderwind/peers'
import { Traffic } from '@eiderwind/traffic'
import { ask, listen, makeServer, readBody, type Connections } from '@eiderwind/wire'
import { confirm, enforce, type GatewayBoard } from './facts.js'

/** What is needed to pass confirmations on and to ask for them. */
export interface ConfirmationsOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly peers: Peers
  readonly connections: Connections
  /** `host:port` on which other entries ask. */
  readonly address: string
  /** Gives the orders that other entries pass on. */
  readonly orders: Orders
}

/** Confirmations that are older than this are asked for at other entries, this often, at this many; in ms. */
const oldAge = 1100
const interval = 400
const askedEntries = 2

/** How long an answer may take, in ms. */
const answerTime = 500

/** Where other entries ask. */
const path = '/confirmation'

/** Where other entries pass an order on. */
export const orderPath = '/order'

/** Longest order that is passed on, in bytes. */
const orderLimit = 65_536

/** What an entry answers: how old its newest confirmation is, and its configuration where that is newer than the asker's. */
interface Confirmation {
  readonly revision: number
  readonly age: number
  readonly traffic?: unknown
}

/**
 * Passes confirmations of the configuration on between entries, so that one that cannot reach the store goes on as long as
 * another can. A confirmation counts from when it was first asked for: the asker takes the time at which it asked,
 * less the age that it is told.
 */
export class Confirmations {
  readonly #options: ConfirmationsOptions
  readonly #server: Server
  #timer: Subscription | undefined

  constructor (options: ConfirmationsOptions) {
    this.#options = options
    this.#server = makeServer({
      handler: (request, response) => {
        if (request.url === orderPath) return this.#pass(request, response)
        const revision = Number(new URL(request.url ?? '/', 'http://entry').searchParams.get('revision') ?? 0)
        response.setHeader('content-type', 'application/json')
        response.end(JSON.stringify(this.#answer(revision)))
      }
    })
  }

  async start (): Promise<void> {
    const { clock, address } = this.#options
    await listen(this.#server, address)
    this.#timer = clock.every(interval, () => this.#look())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #pass (request: IncomingMessage, response: ServerResponse): void {
    this.#give(request).then(result => response.end(JSON.stringify({ result })), () => response.destroy())
  }

  async #give (request: IncomingMessage): Promise<OrderResult> {
    const body = await readBody(request, orderLimit)
    return body.isErr() ? 'unanswered' : await this.#options.orders.give(JSON.parse(body.value.toString()) as Order)
  }

  #answer (revision: number): Confirmation {
    const { clock, board } = this.#options
    const traffic = board.read('inForce')?.traffic
    const age = clock.now() - board.read('confirmedAt')
    const own = traffic?.revision ?? 0
    return { revision: own, age: Number.isFinite(age) ? age : 1e9, traffic: own > revision ? traffic : undefined }
  }

  #look (): void {
    const { clock, board, peers } = this.#options
    const revision = board.read('inForce')?.traffic.revision ?? 0
    const old = clock.now() - board.read('confirmedAt') > oldAge
    const ahead = new Set(peers.live.filter(each => each.revision > revision).map(each => each.id))
    if (!old && ahead.size === 0) return
    const live = new Set(peers.live.map(each => each.id))
    const there = peers.addresses.filter(({ id }) => ahead.has(id) || live.has(id)).sort((a, b) => Number(ahead.has(b.id)) - Number(ahead.has(a.id)))
    for (const { address } of there.slice(0, askedEntries)) this.#ask(address, revision).catch(() => {})
  }

  async #ask (address: string, revision: number): Promise<void> {
    const { clock, board, connections } = this.#options
    const askedAt = clock.now()
    const call = { origin: `http://${address}`, path: `${path}?revision=${revision}`, method: 'GET', headers: {}, body: undefined }
    const { body } = await ask(connections, clock, call, answerTime)
    const told = JSON.parse(body.toString()) as Confirmation
    if (told.traffic !== undefined) enforce(board, Traffic.parse(told.traffic), clock.now())
    const own = board.read('inForce')?.traffic.revision ?? 0
    if (own === told.revision) confirm(board, askedAt - told.age)
  }
}
