import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Random } from '@eiderwind/clock'
import { refusals } from '@eiderwind/dispatch'
import { Fault } from '@eiderwind/fault'
import { CallerRequest, PlainPath, StreamPath, type Context } from '@eiderwind/forward'
import { pickShare, type Route, type Team } from '@eiderwind/traffic'
import { header, listen, readBody, refuse } from '@eiderwind/wire'
import { type GatewayBoard, type InForce } from './facts.js'

/** What the callers' side is given. */
export interface CallersOptions {
  readonly context: Context
  readonly board: GatewayBoard
  /** `host:port` for callers. */
  readonly address: string
  /** How old the newest confirmation of the configuration may be for a request with a key, in ms. */
  readonly freshness: number
  /** Draws the service of a request whose route is split between several. */
  readonly random: Random
  /** Told the code of each request that is refused before anything is chosen for it. */
  readonly refused: (code: string) => void
  /** Told of each request's end. */
  readonly ended: (exchange: CallerRequest, outcome: string) => void
}

/** Longest request head that is read at all, in bytes; the configuration's limit is checked after. */
const mostHeader = 64 * 1024

/** Time between two checks of connections that are slow to send, in ms. */
const checkInterval = 500

/** What a request is allowed to be. */
interface Pass {
  readonly route: Route
  readonly team: Team | undefined
}

/** Takes callers' requests, checks them by the configuration in force, and hands them on. */
export class Callers {
  readonly #options: CallersOptions
  readonly #server: Server
  readonly #open = new Set<CallerRequest>()
  #refusing = false
  #served = false

  constructor (options: CallersOptions) {
    this.#options = options
    this.#server = createServer({ maxHeaderSize: mostHeader, connectionsCheckingInterval: checkInterval, requestTimeout: 0, noDelay: true })
    this.#server.on('request', (request, response) => this.#take(request, response))
    options.board.listen('inForce', inForce => { if (inForce !== undefined) this.#limit(inForce) })
  }

  /** Whether a request ever came. */
  get served (): boolean {
    return this.#served
  }

  /** Requests that are not answered yet. */
  get open (): number {
    return this.#open.size
  }

  async start (): Promise<void> {
    await listen(this.#server, this.#options.address)
  }

  /** Refuses new requests from now on. */
  refuse (): void {
    this.#refusing = true
    this.#server.closeIdleConnections()
  }

  /** Takes no new connections and ends the idle ones. */
  close (): void {
    this.#server.close()
    this.#server.closeIdleConnections()
  }

  /** Whether the newest confirmation is young enough for requests with keys. */
  get fresh (): boolean {
    const { context, board, freshness } = this.#options
    return context.clock.now() - board.read('confirmedAt') <= freshness
  }

  #limit ({ traffic }: InForce): void {
    this.#server.keepAliveTimeout = traffic.limits.idleTime
    this.#server.headersTimeout = traffic.limits.headerTime
  }

  #take (request: IncomingMessage, response: ServerResponse): void {
    this.#handle(request, response).catch(error => {
      this.#options.context.log.write('request-failed', { cause: String((error as Error).stack) })
      response.destroy()
    })
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { context, board } = this.#options
    const arrivedAt = context.clock.now()
    this.#served = true
    if (board.read('stopping')) response.setHeader('connection', 'close')
    const inForce = board.read('inForce')
    const body = await readBody(request, inForce?.traffic.limits.body ?? 0)
    if (response.destroyed) return
    const pass = body.isErr() ? body.error : this.#check(request, inForce)
    if (pass instanceof Fault || body.isErr()) return this.#refuse(request, response, pass as Fault)
    const exchange = this.#exchange(request, response, body.value, pass, arrivedAt)
    if (exchange instanceof Fault) return this.#refuse(request, response, exchange)
    this.#open.add(exchange)
    context.retryBudget(exchange.service).request()
    await this.#serve(exchange, inForce as InForce)
  }

  /** Whether a request may be served, and how. The configuration is that of the moment when its body was read. */
  #check (request: IncomingMessage, inForce: InForce | undefined): Pass | Fault {
    const { context } = this.#options
    if (inForce === undefined || !context.roster.hasList) return refusals.behind()
    if (this.#refusing) return refusals.leaving()
    if (headerSize(request) > inForce.traffic.limits.header) return refusals.headerTooLarge()
    const route = inForce.routes.find(request.headers.host ?? '', request.url ?? '/')
    if (route === undefined) {
      // Without a fresh confirmation a route that is not known here may have been added meanwhile.
      return this.fresh ? refusals.unknownPath() : refusals.behind()
    }
    if (route.open || inForce.teams === undefined) return { route, team: undefined }
    if (!this.fresh) return refusals.behind('The configuration was not confirmed lately, so no key can be trusted.')
    const team = inForce.teams.find(header(request, context.names.key) ?? '')
    return team === undefined ? refusals.badKey(context.names.key) : { route, team }
  }

  #exchange (request: IncomingMessage, response: ServerResponse, body: Buffer, { route, team }: Pass, arrivedAt: number): CallerRequest | Fault {
    const { context, random, ended } = this.#options
    const id = header(request, context.names.request)
    if (id === undefined) return refusals.badRequest(`The header ${context.names.request} is missing.`)
    const given = header(request, context.names.deadline)
    const span = given === undefined ? route.timeout : Number(given)
    if (!Number.isFinite(span) || span <= 0) return refusals.badRequest(`The header ${context.names.deadline} takes milliseconds above 0.`)
    return new CallerRequest({
      clock: context.clock,
      id,
      incoming: request,
      response,
      body: body.length > 0 ? body : undefined,
      route,
      service: pickShare(route.shares, random()),
      team,
      arrivedAt,
      endsAt: arrivedAt + Math.min(span, route.timeout),
      idHeader: context.names.request,
      onEnd: (exchange, outcome) => {
        this.#open.delete(exchange)
        ended(exchange, outcome)
      }
    })
  }

  async #serve (exchange: CallerRequest, { traffic }: InForce): Promise<void> {
    const { context } = this.#options
    const engine = traffic.services.find(each => each.name === exchange.service)?.engine
    const model = header(exchange.incoming, context.names.model) ?? ''
    if (exchange.route.kind === 'stream' || engine !== undefined) await new StreamPath(context, exchange, { model, engine }).serve()
    else await new PlainPath(context, exchange).serve()
  }

  #refuse (request: IncomingMessage, response: ServerResponse, fault: Fault): void {
    const { context, board } = this.#options
    const id = header(request, context.names.request)
    this.#options.refused(fault.code)
    if (id !== undefined) response.setHeader(context.names.request, id)
    context.log.write('request-refused', { request: id, code: fault.code, status: fault.status, confirmed: Math.round(context.clock.now() - board.read('confirmedAt')) })
    refuse(response, fault, context.clock)
  }
}

function headerSize (request: IncomingMessage): number {
  return request.rawHeaders.reduce((sum, each) => sum + each.length + 2, 0)
}
