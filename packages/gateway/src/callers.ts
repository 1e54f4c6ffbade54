/**
 * The callers' side: listens, reads each request with its body, has it admitted or refused, and hands it to its path.
 * Owns the HTTP server and the set of requests that are not answered yet. Relies on the board for the configuration in
 * force; who is admitted is decided in `admission.ts`, everything after that in `forward` and `dispatch`.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Random } from '@eiderwind/clock'
import { refusals } from '@eiderwind/dispatch'
import { type UsualPatience } from '@eiderwind/fairness'
import { Fault } from '@eiderwind/fault'
import { CallerRequest, PlainPath, StreamPath, type Context, type Deliveries } from '@eiderwind/forward'
import { pickShare } from '@eiderwind/traffic'
import { header, listen, readBody, refuse } from '@eiderwind/wire'
import { admit, type Admission } from './admission.js'
import { type GatewayBoard, type InForce } from './facts.js'

/** Dependencies of `Callers`. */
export interface CallersOptions {
  readonly context: Context
  readonly board: GatewayBoard
  /** `host:port` for callers. */
  readonly address: string
  /** How old the newest confirmation of the configuration may be where a fresh one is needed, in ms. */
  readonly freshness: number
  /** Whether requests with keys need a fresh confirmation. */
  readonly strictKeys: boolean
  /** Draws the service of a request whose route is split between several. */
  readonly random: Random
  /** What callers of each route usually say they wait; absent where it does not matter who came back. */
  readonly patience: UsualPatience | undefined
  /** What brings answers to callers as they read. */
  readonly deliveries: Deliveries
  /** Called with the code of each request that is refused before anything is chosen for it. */
  readonly refused: (code: string) => void
  /** Called once for each admitted request, with its outcome. */
  readonly ended: (request: CallerRequest, outcome: string) => void
}

/** Longest head of a request that is read at all, in bytes: far above the configuration's limit, which then names the refusal. */
const headLimit = 64 * 1024

/** Time between two checks of connections that are slow to send, in ms: their limits are seconds. */
const checkInterval = 500

/** Bytes that each raw header name or value takes beside itself: `: ` or the line break. */
const headerSeparator = 2

/** Serves callers. */
export class Callers {
  readonly #options: CallersOptions
  readonly #server: Server
  readonly #open = new Set<CallerRequest>()
  #connections = 0
  #refusing = false
  #served = false

  constructor (options: CallersOptions) {
    this.#options = options
    this.#server = createServer({ maxHeaderSize: headLimit, connectionsCheckingInterval: checkInterval, requestTimeout: 0, noDelay: true })
    this.#server.on('request', (request, response) => this.#take(request, response))
    this.#server.on('connection', socket => {
      this.#connections++
      socket.once('close', () => { this.#connections-- })
    })
    options.board.listen('inForce', inForce => { if (inForce !== undefined) this.#limit(inForce) })
  }

  /** Whether a request ever came. */
  get served (): boolean {
    return this.#served
  }

  /** How many admitted requests are not answered yet. */
  get open (): number {
    return this.#open.size
  }

  /** Callers' connections. */
  get connections (): number {
    return this.#connections
  }

  /** Whether requests with keys are served now. */
  get servesKeys (): boolean {
    return !this.#options.strictKeys || this.#fresh
  }

  get #fresh (): boolean {
    const { context, board, freshness } = this.#options
    return context.clock.bootNow() - board.read('confirmedAt') <= freshness
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

  #limit ({ traffic }: InForce): void {
    this.#server.keepAliveTimeout = traffic.limits.idleTime
    this.#server.headersTimeout = traffic.limits.headerTime
  }

  #take (incoming: IncomingMessage, response: ServerResponse): void {
    this.#handle(incoming, response).catch(error => {
      this.#options.context.log.write('request-failed', { cause: String((error as Error).stack) })
      response.destroy()
    })
  }

  async #handle (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const { context, board } = this.#options
    const arrivedAt = context.clock.now()
    this.#served = true
    if (board.read('stopping')) response.setHeader('connection', 'close')
    const inForce = board.read('inForce')
    if (inForce === undefined) return this.#refuse(incoming, response, refusals.behind())
    const body = await readBody(incoming, inForce.traffic.limits.body)
    if (response.destroyed) return
    if (body.isErr()) return this.#refuse(incoming, response, body.error)
    const admission = this.#admit(incoming, inForce)
    if (admission instanceof Fault) return this.#refuse(incoming, response, admission)
    const request = this.#request(incoming, response, body.value, admission, arrivedAt)
    if (request instanceof Fault) return this.#refuse(incoming, response, request)
    this.#open.add(request)
    context.retryBudget(request.service).request()
    await this.#serve(request, inForce)
  }

  /** @param inForce the configuration of the moment at which the request arrived */
  #admit (incoming: IncomingMessage, inForce: InForce): Admission | Fault {
    const { context, strictKeys } = this.#options
    const arrival = {
      host: incoming.headers.host ?? '',
      target: incoming.url ?? '/',
      headSize: headSize(incoming),
      key: header(incoming, context.names.key) ?? ''
    }
    return admit(arrival, { inForce, listed: context.roster.hasList, fresh: this.#fresh, strictKeys, refusing: this.#refusing, keyHeader: context.names.key })
  }

  /** The request of an admitted caller; a fault where its own headers are not in order. */
  #request (incoming: IncomingMessage, response: ServerResponse, body: Buffer, { route, team }: Admission, arrivedAt: number): CallerRequest | Fault {
    const { context, random, ended, patience, deliveries } = this.#options
    const { names, clock } = context
    const id = header(incoming, names.request)
    if (id === undefined) return refusals.badRequest(`The header ${names.request} is missing.`)
    const given = header(incoming, names.deadline)
    const span = given === undefined ? route.timeout : Number(given)
    if (!Number.isFinite(span) || span <= 0) return refusals.badRequest(`The header ${names.deadline} takes milliseconds above 0.`)
    return new CallerRequest({
      clock,
      id,
      incoming,
      response,
      body: body.length > 0 ? body : undefined,
      route,
      service: pickShare(route.shares, random()),
      team,
      arrivedAt,
      endsAt: arrivedAt + Math.min(span, route.timeout),
      spent: patience?.spent(route.name, span, arrivedAt),
      idHeader: names.request,
      deliveries,
      onEnd: (request, outcome) => {
        this.#open.delete(request)
        ended(request, outcome)
      }
    })
  }

  async #serve (request: CallerRequest, { traffic }: InForce): Promise<void> {
    const { context } = this.#options
    const engine = traffic.services.find(each => each.name === request.service)?.engine
    const model = header(request.incoming, context.names.model) ?? ''
    if (request.route.kind === 'stream' || engine !== undefined) await new StreamPath(context, request, { model, engine }).serve()
    else await new PlainPath(context, request).serve()
  }

  #refuse (incoming: IncomingMessage, response: ServerResponse, fault: Fault): void {
    const { context, board, refused } = this.#options
    const id = header(incoming, context.names.request)
    const confirmed = Math.round(context.clock.bootNow() - board.read('confirmedAt'))
    refused(fault.code)
    if (id !== undefined) response.setHeader(context.names.request, id)
    context.log.write('request-refused', { request: id, code: fault.code, status: fault.status, confirmed })
    refuse(response, fault, context.clock)
  }
}

function headSize ({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, each) => sum + each.length + headerSeparator, 0)
}
