/**
 * Answers other gateways over HTTP: with the age of this gateway's newest confirmation and, where the asker's is older,
 * the whole configuration; with its upstreams and their changes; with the requests that it has blocked; and gives engines the orders that other gateways relay.
 * Owns the TCP listener of the peers' address. The messages are in `messages.ts`.
 */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { type Crashes } from '@eiderwind/crashes'
import { type OrderResult, type Orders } from '@eiderwind/forming'
import { listen, makeServer, readBody } from '@eiderwind/wire'
import { type ChangeLog } from './changelog.js'
import { type GatewayBoard } from './facts.js'
import { askedRevision, askedUpstreams, decodeOrder, encodeBlocked, encodeConfirmation, encodeResult, encodeUpstreamChanges, orderLimit, paths, type UpstreamsAsked } from './messages.js'

/** Dependencies of `PeerServer`. */
export interface PeerServerOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  /** What it tells of the upstreams. */
  readonly changes: ChangeLog
  /** What it tells of blocked requests. */
  readonly crashes: Crashes
  /** `host:port` on which other gateways ask. */
  readonly address: string
  /** Gives engines the orders that others relay. */
  readonly orders: Orders
}

/** The server for other gateways. */
export class PeerServer {
  readonly #options: PeerServerOptions
  readonly #server: Server

  constructor (options: PeerServerOptions) {
    this.#options = options
    this.#server = makeServer({ handler: (request, response) => this.#handle(request, response) })
  }

  async start (): Promise<void> {
    await listen(this.#server, this.#options.address)
  }

  stop (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #handle (request: IncomingMessage, response: ServerResponse): void {
    if (request.url === paths.order) return this.#answerOrder(request, response)
    response.setHeader('content-type', 'application/json')
    if (request.url === paths.blocked) {
      response.end(encodeBlocked(this.#options.crashes.blocked))
      return
    }
    const asked = askedUpstreams(request.url ?? '/')
    if (asked !== undefined) return this.#answerUpstreams(asked, response)
    response.end(this.#confirmation(askedRevision(request.url ?? '/')))
  }

  #answerOrder (request: IncomingMessage, response: ServerResponse): void {
    this.#give(request).then(result => response.end(encodeResult(result)), () => {
      // A cut connection is "unanswered" to the gateway that relays; an order that does not decode deserves no more.
      response.destroy()
    })
  }

  /** A gateway that has no list itself cuts the connection: the asker asks another one. */
  #answerUpstreams (asked: UpstreamsAsked, response: ServerResponse): void {
    const { clock, board, changes } = this.#options
    const arrivedAt = clock.bootNow()
    if (board.read('upstreamsFrom') === undefined) {
      response.destroy()
      return
    }
    // It never rejects: it waits for a change, or for its own timer.
    changes.after(asked).then(answer => response.end(encodeUpstreamChanges({ ...answer, age: arrivedAt - board.read('upstreamsAt') })), () => response.destroy())
  }

  async #give (request: IncomingMessage): Promise<OrderResult> {
    const body = await readBody(request, orderLimit)
    if (body.isErr()) return 'unanswered'
    return await this.#options.orders.give(decodeOrder(body.value.toString()))
  }

  #confirmation (theirs: number): string {
    const { clock, board } = this.#options
    const traffic = board.read('inForce')?.traffic
    const own = traffic?.revision ?? 0
    const age = clock.bootNow() - board.read('confirmedAt')
    return encodeConfirmation(own, age, own > theirs ? traffic : undefined)
  }
}
