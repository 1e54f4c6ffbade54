/**
 * Serves callers: listens, reads each request with its body, admits or refuses it, and passes admitted requests to a
 * `PlainPath` or `StreamPath`. Owns the HTTP server and the set of requests that are not answered yet. Relies on the
 * board for the configuration in force. Admission is decided in `admission.ts`; everything after it in `forward` and
 * `dispatch`.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Random } from '@eiderwind/clock'
import { type Pauses } from '@eiderwind/detect'
import { refusals } from '@eiderwind/dispatch'
import { type UsualMaxWaits } from '@eiderwind/fairness'
import { Fault } from '@eiderwind/fault'
import { CallerRequest, PlainPath, StreamPath, type Context, type Deliveries } from '@eiderwind/forward'
import { pickShare } from '@eiderwind/traffic'
import { closeIdleConnections, header, listen, readBody, refuse, untilQuiet } from '@eiderwind/wire'
import { admit, type Admission } from './admission.js'
import { type Bodies } from './bodies.js'
import { type GatewayBoard, type ConfigurationInForce } from './facts.js'
import { NewConnections } from './newconnections.js'

/** Dependencies of `Callers`. */
export interface CallersOptions {
  readonly context: Context
  readonly board: GatewayBoard
  /** The pauses of this process. */
  readonly pauses: Pauses
  /** `host:port` on which callers connect. */
  readonly address: string
  /** Maximum age of the newest confirmation of the configuration where a recent one is needed, in ms. */
  readonly maxConfirmationAge: number
  /** Whether requests with known keys need a recent confirmation. */
  readonly strictKeys: boolean
  /** Chooses the service of a request if its route is split between several. */
  readonly random: Random
  /**
   * The maximum waits that callers of each route usually name. Absent if it does not matter whether a request is a
   * retry.
   */
  readonly usualMaxWaits: UsualMaxWaits | undefined
  /** How long new connections may queue without a break before some are closed unread, in ms. Undefined: for any time. */
  readonly maxConnectionWait: number | undefined
  /** The bodies of requests that have not ended. */
  readonly bodies: Bodies
  /** Writes answers to callers as fast as they read. */
  readonly deliveries: Deliveries
  /** Called for each new connection that is closed unread under overload. */
  readonly connectionClosed: () => void
  /** Called with the code of each request that is refused before a service is chosen for it. */
  readonly refused: (code: string) => void
  /** Called once for each admitted request, with its outcome. */
  readonly ended: (request: CallerRequest, outcome: string) => void
}

/**
 * Maximum size of a header section that is read at all, in bytes. It is far above the configuration's limit, so the
 * configuration's limit determines the refusal.
 */
const maxHeadBytes = 64 * 1024

/** Interval between checks for connections that send slowly, in ms. The limits of these connections are in seconds. */
const checkInterval = 500

/** Bytes that each raw header name or value takes in addition to its own length: `: ` or the line break. */
const headerSeparator = 2

/** Serves callers. */
export class Callers {
  readonly #options: CallersOptions
  readonly #server: Server
  readonly #connections: NewConnections
  readonly #open = new Set<CallerRequest>()
  #isRefusing = false
  #requests = 0
  /** Requests whose answers are not complete. */
  #unanswered = 0

  constructor (options: CallersOptions) {
    this.#options = options
    this.#server = createServer({
      maxHeaderSize: maxHeadBytes,
      connectionsCheckingInterval: checkInterval,
      requestTimeout: 0,
      noDelay: true
    })
    closeIdleConnections(this.#server)
    this.#server.on('request', (request, response) => this.#accept(request, response))
    const { context: { clock, log }, pauses, maxConnectionWait: maxWait, connectionClosed: closed } = options
    this.#connections = new NewConnections({ clock, log, server: this.#server, pauses, maxWait, closed })
    options.board.listen('inForce', inForce => { if (inForce !== undefined) this.#applyLimits(inForce) })
  }

  /** Whether any request has arrived yet. */
  get served (): boolean {
    return this.#requests > 0
  }

  /** Number of requests that have arrived. */
  get requests (): number {
    return this.#requests
  }

  /** Number of admitted requests that are not answered yet. */
  get open (): number {
    return this.#open.size
  }

  /** Number of callers' connections. */
  get connections (): number {
    return this.#connections.open
  }

  /** Whether requests with keys are served now. */
  get servesKeys (): boolean {
    return !this.#options.strictKeys || this.#isFresh
  }

  get #isFresh (): boolean {
    const { context, board, maxConfirmationAge } = this.#options
    return context.clock.bootNow() - board.read('confirmedAt') <= maxConfirmationAge
  }

  async start (): Promise<void> {
    await listen(this.#server, this.#options.address)
    this.#connections.start()
  }

  /**
   * Refuses new requests from now on, and closes idle connections unless requests arrive all the time.
   * @param until how long to wait for a moment without any, on `Clock.now`
   */
  async refuse (until: number): Promise<void> {
    this.#isRefusing = true
    const isQuiet = await untilQuiet(this.#server, { clock: this.#options.context.clock, until, isAnswered: () => true })
    if (isQuiet) this.#server.closeIdleConnections()
  }

  /**
   * Refuses what arrives until all requests that were sent are read and answered. Then accepts no new connections, and
   * closes idle ones.
   * @param until when it closes in any case, on `Clock.now`
   */
  async close (until: number): Promise<void> {
    const { clock, log } = this.#options.context
    const begunAt = clock.now()
    const requestsBefore = this.#requests
    this.#isRefusing = true
    const quiet = await untilQuiet(this.#server, { clock, until, isAnswered: () => this.#unanswered === 0 })
    this.#connections.stop()
    // Closes idle connections too.
    this.#server.close()
    log.write('callers-closed', { drained: Math.round(clock.now() - begunAt), requests: this.#requests - requestsBefore, quiet })
  }

  #applyLimits ({ traffic }: ConfigurationInForce): void {
    this.#server.keepAliveTimeout = traffic.limits.idleTime
    this.#server.headersTimeout = traffic.limits.headerTime
  }

  #accept (incoming: IncomingMessage, response: ServerResponse): void {
    this.#unanswered++
    whenOver(response, () => { this.#unanswered-- })
    this.#handle(incoming, response).catch(error => this.#fail(incoming, response, error))
  }

  /** Ends a request that was not handled to its end. Its caller gets a 500, unless an answer has begun. */
  #fail (incoming: IncomingMessage, response: ServerResponse, error: unknown): void {
    const { log, names } = this.#options.context
    log.write('request-failed', { request: header(incoming, names.request), cause: error instanceof Error ? error.stack : String(error) })
    if (response.writableEnded) return
    if (!response.headersSent) response.setHeader('connection', 'close')
    const request = [...this.#open].find(each => each.response === response)
    const fault = refusals.internal(request?.attempted === true)
    try {
      if (request === undefined) this.#refuse(incoming, response, fault)
      else request.refuse(fault)
    } catch {
      // The error that led here is logged. If refusing fails too, nothing more can be sent on this connection.
      response.destroy()
    }
  }

  async #handle (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const { context, board, bodies } = this.#options
    const arrivedAt = context.clock.now()
    this.#requests++
    if (board.read('stopping')) response.setHeader('connection', 'close')
    const inForce = board.read('inForce')
    if (inForce === undefined) return this.#refuse(incoming, response, refusals.behind())
    const held = bodies.open()
    whenOver(response, () => held.release())
    const body = await readBody(incoming, inForce.traffic.limits.body, held)
    if (response.destroyed) return
    if (body.isErr()) return this.#refuse(incoming, response, body.error)
    const admission = this.#admit(incoming, inForce)
    if (admission instanceof Fault) return this.#refuse(incoming, response, admission)
    const request = this.#request(incoming, response, body.value, admission, arrivedAt)
    if (request instanceof Fault) return this.#refuse(incoming, response, request)
    this.#open.add(request)
    context.retryBudget(request.service).countRequest()
    await this.#serve(request, inForce)
  }

  /** @param inForce the configuration that was in force when the request arrived */
  #admit (incoming: IncomingMessage, inForce: ConfigurationInForce): Admission | Fault {
    const { context, strictKeys } = this.#options
    const arrival = {
      host: incoming.headers.host ?? '',
      target: incoming.url ?? '/',
      headSize: headSize(incoming),
      key: header(incoming, context.names.key) ?? ''
    }
    return admit(arrival, {
      inForce,
      listed: context.roster.hasList,
      fresh: this.#isFresh,
      strictKeys,
      refusing: this.#isRefusing,
      keyHeader: context.names.key
    })
  }

  /** Makes the request of an admitted caller, or returns a fault if its headers are invalid. */
  #request (incoming: IncomingMessage, response: ServerResponse, body: Buffer, { route, team }: Admission, arrivedAt: number): CallerRequest | Fault {
    const { context, random, ended, usualMaxWaits, deliveries } = this.#options
    const { names, clock } = context
    const id = header(incoming, names.request)
    if (id === undefined) return refusals.badRequest(`The header ${names.request} is missing.`)
    const deadlineHeader = header(incoming, names.deadline)
    const allowedTime = deadlineHeader === undefined ? route.timeout : Number(deadlineHeader)
    if (!Number.isFinite(allowedTime) || allowedTime <= 0) return refusals.badRequest(`The header ${names.deadline} must be a number of milliseconds above 0.`)
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
      endsAt: arrivedAt + Math.min(allowedTime, route.timeout),
      spent: usualMaxWaits?.spent(route.name, allowedTime, arrivedAt),
      names,
      deliveries,
      onEnd: (request, outcome) => {
        this.#open.delete(request)
        ended(request, outcome)
      }
    })
  }

  async #serve (request: CallerRequest, { traffic }: ConfigurationInForce): Promise<void> {
    const { context } = this.#options
    const engine = traffic.services.find(each => each.name === request.service)?.engine
    const model = header(request.incoming, context.names.model) ?? ''
    // The service determines what serves the request; the route alone determines whether its answer is a stream.
    const requested = { model, engine }
    const path = request.route.kind === 'stream' ? new StreamPath(context, request, requested) : new PlainPath(context, request, requested)
    await path.serve()
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

/**
 * Calls `done` once, when a response is complete or its connection is gone. A response that waits behind another one on
 * its connection never had that connection, and so reports no close of its own.
 */
function whenOver (response: ServerResponse, done: () => void): void {
  const { socket } = response.req
  const end = (): void => {
    response.off('close', end)
    socket.off('close', end)
    done()
  }
  response.once('close', end)
  socket.once('close', end)
}
