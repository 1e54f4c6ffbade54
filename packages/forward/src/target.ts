/**
 * What serves a request: the upstreams of a plain service, or the heads of the requested model of a model service. Owns
 * which upstreams these are, which one is chosen and what the request costs there. Whether the answer is forwarded as
 * it arrives or as a whole depends on the route alone and is up to the path (`PlainPath`, `StreamPath`), so each path
 * has either kind of target. Relies on `Choice` for the load of the upstreams.
 */
import { isSuccess, refusals, type AttemptResult } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { roomOf, type Room } from '@eiderwind/places'
import { type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { expectedFirstEventTime, requestTokens, workOf, type RequestTokens } from '@eiderwind/work'
import { type Context } from './context.js'
import { type CallerRequest } from './request.js'

/** The load of an idle head and the pace of a typical model. The latest start of a request is computed with them. */
const idleHead = { inFlight: 0, unread: 0 }
const usualModelPace = 1

/** The requested model and its engine. */
export interface RequestedModel {
  /** Empty if the request names no model. */
  readonly model: string
  /** Undefined if the service is plain. */
  readonly engine: Engine | undefined
}

/** What serves a request. */
export abstract class Target {
  protected readonly context: Context
  protected readonly request: CallerRequest

  constructor (context: Context, request: CallerRequest) {
    this.context = context
    this.request = request
  }

  /** The model that the request counts for while it is in flight; empty if its service has no models. */
  abstract readonly model: string

  /** The room that the request competes for with requests of all gateways. Undefined if there is none. */
  abstract readonly room: Room | undefined

  /** The upstreams that serve the request, with and without free capacity. */
  abstract get upstreams (): readonly Upstream[]

  /** The cost of the request, in units of the mean request of its service. */
  abstract get work (): number

  /** Time from the start of an attempt to the first part of its answer that is known in advance, in ms. */
  abstract get startTime (): number

  /** Chooses an upstream that has free capacity now and is not in `avoided`. */
  abstract choose (avoided: ReadonlySet<string>): Upstream | undefined

  /** The refusal for a request that certainly did not run. */
  abstract refusal (result: AttemptResult | undefined): Fault

  /** Records how an attempt has ended that says something about its upstream. @param time until its end, in ms */
  abstract observe (upstream: Upstream, result: AttemptResult, time: number): void

  /** Counts the refused request as offered load. */
  abstract countRefused (): void

  /**
   * Forecasts when the first event arrives from an upstream that an attempt is about to start at. Counts the prompt as
   * unread there until the returned function is called. Undefined if there is no forecast.
   */
  abstract expectFirstEvent (upstream: Upstream): (() => void) | undefined
}

/** Creates the target of a request. */
export function targetOf (context: Context, request: CallerRequest, { model, engine }: RequestedModel): Target {
  return engine === undefined ? new PlainTarget(context, request) : new ModelTarget(context, request, model, engine)
}

/** The upstreams of a plain service. */
class PlainTarget extends Target {
  readonly model = ''
  readonly room = undefined
  readonly work = 1
  readonly startTime = 0

  get upstreams (): readonly Upstream[] {
    return this.context.roster.available(this.request.service)
  }

  choose (avoided: ReadonlySet<string>): Upstream | undefined {
    return this.context.choice.plain(this.request.service, avoided)
  }

  refusal (result: AttemptResult | undefined): Fault {
    const { service, id } = this.request
    const detail = result?.kind === 'not-run' ? `${result.why}.` : `No upstream of ${service} takes requests (${this.context.names.request} ${id}).`
    return refusals.upstreamDown(detail)
  }

  observe ({ id }: Upstream, result: AttemptResult, time: number): void {
    const { availability, choice } = this.context
    // An upstream that asked for rest has named the end of the rest. If the refusal counted as a failure, the upstream
    // would be avoided long after that end.
    if (!availability.isResting(id)) choice.observe(id, time, !isSuccess(result))
  }

  countRefused (): void {}

  expectFirstEvent (): undefined {}
}

/** The heads of the requested model. */
class ModelTarget extends Target {
  readonly model: string
  readonly room: Room
  readonly #engine: Engine

  constructor (context: Context, request: CallerRequest, model: string, engine: Engine) {
    super(context, request)
    this.model = model
    this.room = roomOf(request.service, model)
    this.#engine = engine
  }

  get upstreams (): readonly Upstream[] {
    return this.context.roster.heads(this.request.service, this.model)
  }

  get work (): number {
    return workOf(this.#tokens, this.#engine)
  }

  get startTime (): number {
    return expectedFirstEventTime(this.#engine.prompt, idleHead, this.#engine, usualModelPace)
  }

  choose (avoided: ReadonlySet<string>): Upstream | undefined {
    return this.context.choice.head(this.request.service, this.model, this.#engine, avoided)
  }

  refusal (): Fault {
    return refusals.noRoom(this.upstreams.length)
  }

  /** The load of the heads decides among them, not how earlier requests ended. */
  observe (): void {}

  /** Only configured models count; otherwise callers could fill heartbeats with arbitrary names. */
  countRefused (): void {
    if (this.#engine.models.some(({ name }) => name === this.model)) this.context.offered?.countRefused(this.model)
  }

  /** The request is already counted as in flight at the head. */
  expectFirstEvent ({ id, dataCentre }: Upstream): (() => void) | undefined {
    const { request, context: { choice, forecast, availability, dataCentre: own } } = this
    if (forecast === undefined) return undefined
    const subject = { service: request.service, model: this.model, prompt: this.#tokens.prompt }
    const head = { inFlight: Math.max(0, choice.load(id) - 1), unread: forecast.unread.of(id) }
    if (!request.attempted) request.timing.expect({ ...subject, ...head, ...forecast.expect(subject, head, this.#engine), limited: availability.isLimited(id), remote: dataCentre !== own })
    return forecast.unread.add(id, subject.prompt)
  }

  get #tokens (): RequestTokens {
    const { request, context: { names } } = this
    return requestTokens(request.header(names.tokens), request.header(names.length), this.#engine)
  }
}
