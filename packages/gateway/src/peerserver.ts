/**
 * Answers other gateways over HTTP. It sends the age of this gateway's newest confirmation, with the whole
 * configuration if the requester's is older; its upstreams and their changes; and its blocks. It also sends engines the
 * orders that other gateways relay, probes engines that do not answer other gateways, and lifts a block on an operator's
 * order. Owns the TCP listener of the peers' address. The messages are in `messages.ts`.
 */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { type Crashes } from '@eiderwind/crashes'
import { type Probes } from '@eiderwind/detect'
import { type OrderResult, type Orders } from '@eiderwind/forming'
import { type TaskFailures } from '@eiderwind/life'
import { listen, makeServer, readBody } from '@eiderwind/wire'
import { type GatewayBoard } from './facts.js'
import { parseRequestedRevision, parseUpstreamsRequest, decodeOrder, decodeProbe, encodeBlocked, encodeConfirmation, encodeProbeAnswer, encodeResult, maxOrderBytes, parseLift, paths, type UpstreamsRequest } from './messages.js'
import { type UpstreamSync } from './upstreamsync.js'

/** The base that makes a request's target a URL. */
const base = 'http://gateway'

/** Statuses of the answer to an order to lift a block. */
const httpStatus = { ok: 200, notFound: 404 } as const

/** Dependencies of `PeerServer`. */
export interface PeerServerOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  /** Provides the upstreams and their changes. */
  readonly upstreams: UpstreamSync
  /** Provides the blocks, and lifts them. */
  readonly crashes: Crashes
  /** `host:port` on which other gateways connect. */
  readonly address: string
  /** Sends engines the orders that other gateways relay. */
  readonly orders: Orders
  /** Probes engines that do not answer other gateways. */
  readonly probes: Pick<Probes, 'report'>
  readonly failures: TaskFailures
}

/** The server for other gateways. */
export class PeerServer {
  readonly #options: PeerServerOptions
  readonly #server: Server

  constructor (options: PeerServerOptions) {
    this.#options = options
    this.#server = makeServer({
      // The gateway that asks counts a closed connection as no answer.
      handler: (request, response) => options.failures.run('message', () => this.#handle(request, response), () => response.destroy())
    })
  }

  async start (): Promise<void> {
    await listen(this.#server, this.#options.address)
  }

  stop (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #handle (request: IncomingMessage, response: ServerResponse): void {
    if (!URL.canParse(request.url ?? '/', base)) return this.#refuseTarget(response)
    if (request.url === paths.order) return this.#answerOrder(request, response)
    if (request.url === paths.probe) return this.#answerProbe(request, response)
    response.setHeader('content-type', 'application/json')
    if (request.url === paths.blocked) {
      response.end(encodeBlocked(this.#options.crashes))
      return
    }
    const lifted = request.method === 'POST' ? parseLift(request.url ?? '/') : undefined
    if (lifted !== undefined) return this.#lift(lifted, response)
    const upstreamsRequest = parseUpstreamsRequest(request.url ?? '/')
    if (upstreamsRequest !== undefined) return this.#answerUpstreams(upstreamsRequest, response)
    response.end(this.#confirmation(parseRequestedRevision(request.url ?? '/')))
  }

  /** Any process may send to the port, so a target that is none is no error of this program. */
  #refuseTarget (response: ServerResponse): void {
    response.statusCode = httpStatus.notFound
    response.end()
  }

  #lift (id: string, response: ServerResponse): void {
    const isLifted = this.#options.crashes.lift(id)
    response.statusCode = isLifted ? httpStatus.ok : httpStatus.notFound
    response.end(JSON.stringify({ lifted: isLifted }))
  }

  #answerOrder (request: IncomingMessage, response: ServerResponse): void {
    this.#relayOrder(request).then(result => response.end(encodeResult(result)), () => {
      // The gateway that relays counts a closed connection as "unanswered". An order that cannot be decoded gets no
      // other answer.
      response.destroy()
    })
  }

  #answerProbe (request: IncomingMessage, response: ServerResponse): void {
    // The gateway that asks counts a closed connection as no answer.
    this.#relayProbe(request).then(answers => response.end(encodeProbeAnswer(answers)), () => response.destroy())
  }

  /** If this gateway has no list, it closes the connection, and the requester asks another gateway. */
  #answerUpstreams (request: UpstreamsRequest, response: ServerResponse): void {
    // `answer` never rejects: it waits for a change, or for its own timer.
    this.#options.upstreams.answer(request).then(answer => {
      if (answer === undefined) response.destroy()
      else response.end(answer)
    }, () => response.destroy())
  }

  async #relayOrder (request: IncomingMessage): Promise<OrderResult> {
    const body = await readBody(request, maxOrderBytes)
    if (body.isErr()) return 'unanswered'
    return await this.#options.orders.send(decodeOrder(body.value.toString()))
  }

  async #relayProbe (request: IncomingMessage): Promise<boolean> {
    const body = await readBody(request, maxOrderBytes)
    return body.isOk() && await this.#options.probes.report(decodeProbe(body.value.toString())) !== undefined
  }

  #confirmation (requesterRevision: number): string {
    const { clock, board } = this.#options
    const traffic = board.read('inForce')?.traffic
    const localRevision = traffic?.revision ?? 0
    const age = clock.bootNow() - board.read('confirmedAt')
    return encodeConfirmation(localRevision, age, localRevision > requesterRevision ? traffic : undefined)
  }
}
