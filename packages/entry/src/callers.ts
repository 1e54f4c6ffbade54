/**
 * Handles the requests of callers: parses and checks each request, and passes it to the path of its service. Owns the
 * count of open requests. Relies on the board and the current configuration.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault, asFault } from '@eiderwind/fault'
import { type Service, type Team } from '@eiderwind/schema'
import { callerHeaders, header, readBody, refuse } from '@eiderwind/wire'
import { readCompletion, serviceOf } from './completion.js'
import { type Context } from './context.js'
import { type Exchange } from './exchange.js'
import { type EntryBoard } from './facts.js'
import { serveModel } from './modelpath.js'
import { accountForEarlierTries } from './outcome.js'
import { isDeclaredNotRepeatable, servePlain } from './plainpath.js'
import { type Teams } from './teams.js'

/** Paths of completions and of the list of models, and the path prefix of plain services. */
const completionsPath = '/v1/chat/completions'
const modelsPath = '/v1/models'
const servicesPrefix = '/services/'

/** Path at which the platform's balancer checks whether this entry takes requests. */
const healthPath = '/healthz'

/** Dependencies of the callers' side. */
export interface CallersOptions {
  readonly context: Context
  readonly board: EntryBoard
  readonly teams: Teams
  /** Id of this entry. */
  readonly entry: string
  /** Maximum size of a body, in bytes. */
  readonly bodyLimit: number
  /** Deadline of a request that gives none, and upper bound of the others, in ms. */
  readonly deadline: number
}

/** The callers' side of an entry: parses and checks each request, and passes it to the path of its service. */
export class Callers {
  readonly #options: CallersOptions
  #openRequests = 0
  #lastAnsweredAt = -Infinity

  constructor (options: CallersOptions) {
    this.#options = options
  }

  /** Number of requests without a complete answer. */
  get openRequests (): number {
    return this.#openRequests
  }

  /** Time since the last request was answered, in ms. 0 while a request is open. */
  get idleTime (): number {
    return this.#openRequests > 0 ? 0 : this.#options.context.clock.now() - this.#lastAnsweredAt
  }

  /** Handles one request. */
  async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === healthPath) return this.#health(response)
    this.#openRequests++
    response.once('close', () => {
      this.#openRequests--
      this.#lastAnsweredAt = this.#options.context.clock.now()
    })
    try {
      const fault = await this.#route(request, response)
      if (fault !== undefined) this.#refuse(request, response, fault)
    } catch (error) {
      this.#refuse(request, response, asFault(error, 'lost'))
    }
  }

  #refuse (request: IncomingMessage, response: ServerResponse, fault: Fault): void {
    refuse(response, accountForEarlierTries(fault, header(request, callerHeaders.key)), this.#options.context.clock)
  }

  get #isLeaving (): boolean {
    const { board, context, entry } = this.#options
    return board.read('stopping') || context.current.configuration.leaving.includes(entry)
  }

  /** Whether this entry has a configuration and knows of no later one in force. */
  get #isCurrent (): boolean {
    const { board, context } = this.#options
    return context.current.revision > 0 && !board.read('behind')
  }

  #health (response: ServerResponse): void {
    response.statusCode = this.#isCurrent && !this.#isLeaving ? 200 : 503
    response.end()
  }

  async #route (request: IncomingMessage, response: ServerResponse): Promise<Fault | undefined> {
    const { teams } = this.#options
    if (this.#isLeaving) {
      response.setHeader('connection', 'close')
      return new Fault('leaving')
    }
    if (!this.#isCurrent) return new Fault('behind')
    const team = teams.find(request.headers.authorization)
    if (team === undefined) return new Fault('bad-key')
    const [path] = (request.url ?? '/').split('?')
    if (path === modelsPath) return this.#models(response)
    if (path === completionsPath && request.method === 'POST') return await this.#complete(request, response, team)
    if (path.startsWith(servicesPrefix)) return await this.#plain(request, response, team, path.slice(servicesPrefix.length))
    return new Fault('unknown-path', { detail: `There is no endpoint ${request.method ?? ''} ${path}.` })
  }

  #models (response: ServerResponse): undefined {
    const { services } = this.#options.context.current.configuration
    const names = services.flatMap(each => each.kind === 'model' ? [each.name, ...each.adapters] : [])
    const data = names.map(id => ({ id, object: 'model', created: 0, owned_by: 'eiderwind' }))
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify({ object: 'list', data }))
  }

  async #complete (request: IncomingMessage, response: ServerResponse, team: Team): Promise<Fault | undefined> {
    const body = await readBody(request, this.#options.bodyLimit)
    if (body.isErr()) return body.error
    const completion = readCompletion(body.value)
    if (completion.isErr()) return completion.error
    const { context } = this.#options
    const service = serviceOf(completion.value.model, context.current.configuration)
    if (service === undefined) return new Fault('unknown-service', { detail: `There is no model ${completion.value.model}.` })
    const exchange = this.#exchange(request, response, body.value, team, service)
    if (exchange.isErr()) return exchange.error
    if (request.headers[callerHeaders.lastEvent] !== undefined && completion.value.resume === undefined) {
      return new Fault('bad-request', { detail: 'A request with Last-Event-ID must give the text received so far, as resume.text in the body.' })
    }
    this.#recordMetrics(exchange.value)
    await serveModel(context, exchange.value, completion.value)
  }

  async #plain (request: IncomingMessage, response: ServerResponse, team: Team, remainder: string): Promise<Fault | undefined> {
    const { context, bodyLimit } = this.#options
    const name = remainder.split('/')[0]
    const service = context.current.configuration.services.find(each => each.name === name)
    if (service?.kind !== 'plain') return new Fault('unknown-service', { detail: `There is no plain service ${name}.` })
    const body = await readBody(request, bodyLimit)
    if (body.isErr()) return body.error
    const exchange = this.#exchange(request, response, body.value, team, service)
    if (exchange.isErr()) return exchange.error
    const servicePath = remainder.slice(name.length) || '/'
    const atMostOnce = !exchange.value.repeatable || exchange.value.key !== undefined || isDeclaredNotRepeatable(service, request.method ?? 'GET', servicePath)
    request.url = (request.url ?? '/').slice(servicesPrefix.length + name.length) || '/'
    if (!request.url.startsWith('/')) request.url = `/${request.url}`
    this.#recordMetrics(exchange.value)
    await servePlain(context, exchange.value, atMostOnce)
  }

  #exchange (request: IncomingMessage, response: ServerResponse, body: Buffer, team: Team, service: Service): Result<Exchange, Fault> {
    const { clock } = this.#options.context
    const span = this.#deadline(request)
    if (span.isErr()) return span
    const repeatable = header(request, callerHeaders.repeatable)
    if (repeatable !== undefined && repeatable !== 'true' && repeatable !== 'false') {
      return Err(new Fault('bad-request', { detail: `The header ${callerHeaders.repeatable} must be true or false.` }))
    }
    const now = clock.now()
    return Ok({
      request,
      response,
      body,
      team,
      service: service.name,
      deadline: now + span.value,
      startedAt: now,
      session: header(request, callerHeaders.session),
      repeatable: repeatable !== 'false',
      key: header(request, callerHeaders.key)
    })
  }

  #deadline (request: IncomingMessage): Result<number, Fault> {
    const given = header(request, callerHeaders.deadline)
    if (given === undefined) return Ok(this.#options.deadline)
    const span = Number(given)
    if (!Number.isFinite(span) || span <= 0) return Err(new Fault('bad-request', { detail: `The header ${callerHeaders.deadline} must be a number of milliseconds above 0.` }))
    return Ok(Math.min(span, this.#options.deadline))
  }

  #recordMetrics ({ response, service, team, startedAt }: Exchange): void {
    const { metric, clock } = this.#options.context
    response.once('close', () => {
      metric.count('request.count', { service, team: team.name, status: String(response.statusCode) })
      metric.timing('request.total_ms', clock.now() - startedAt, { service })
      if (response.getHeader(callerHeaders.outcome) === 'unknown') metric.count('request.unknown', { service })
    })
  }
}
