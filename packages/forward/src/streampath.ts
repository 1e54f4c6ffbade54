/**
 * Serves a stream or any request to a model service. The answer is forwarded as it arrives. A stream that breaks off or
 * stalls is resumed at another upstream after the last event that the caller received, if its route permits that. This
 * module owns the progress of the stream over all attempts; the steps are those of `Path`, and `Handover` decides which
 * attempt of a stream that moves goes on.
 */
import { mayMove, refusals, type AttemptResult } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { roomOf, type Room } from '@eiderwind/places'
import { type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { expectedFirstEventTime, requestTokens, workOf, type RequestTokens } from '@eiderwind/work'
import { type MoveCause } from './attempt.js'
import { type Context } from './context.js'
import { Handover, isWholeAnswer } from './handover.js'
import { lastEventName } from './names.js'
import { Path } from './path.js'
import { type CallerRequest } from './request.js'
import { Run, type KeptRun, type Outcome } from './run.js'
import { Progress } from './streamattempt.js'

/** The load of an idle head and the pace of a typical model. The latest start of a request is computed with them. */
const idleHead = { inFlight: 0, unread: 0 }
const usualModelPace = 1

/** The requested model and its engine. */
export interface Target {
  /** Empty if the request names no model. */
  readonly model: string
  /** Undefined if the service is plain. */
  readonly engine: Engine | undefined
}

/** Serves a request whose answer is forwarded as it arrives. */
export class StreamPath extends Path {
  protected readonly kind = 'stream'
  readonly #target: Target
  readonly #progress: Progress
  readonly #handover = new Handover<Run>(() => this.cancelSearch())

  constructor (context: Context, request: CallerRequest, target: Target) {
    super(context, request)
    this.#target = target
    const lastEvent = Number(request.incoming.headers[lastEventName] ?? NaN)
    this.#progress = new Progress(Number.isFinite(lastEvent) ? lastEvent : undefined)
  }

  protected get lastEvent (): number | undefined {
    return this.#progress.lastEvent
  }

  protected get upstreams (): readonly Upstream[] {
    const { roster } = this.context
    const { service } = this.request
    const { model, engine } = this.#target
    return engine === undefined ? roster.available(service) : roster.heads(service, model)
  }

  protected override get room (): Room | undefined {
    const { model, engine } = this.#target
    return engine === undefined ? undefined : roomOf(this.request.service, model)
  }

  protected override get latestStart (): number {
    const { context: { clock }, request: { route: { gap } } } = this
    if (this.#progress.started) return clock.now() + gap
    const { engine } = this.#target
    return super.latestStart - (engine === undefined ? 0 : expectedFirstEventTime(engine.prompt, idleHead, engine, usualModelPace))
  }

  protected override get work (): number {
    const { engine } = this.#target
    return engine === undefined ? 1 : workOf(this.#tokens(engine), engine)
  }

  protected choose (avoided: ReadonlySet<string>): Upstream | undefined {
    const { choice } = this.context
    const { service } = this.request
    const { model, engine } = this.#target
    return engine === undefined ? choice.plain(service, avoided) : choice.head(service, model, engine, avoided)
  }

  protected attempt (upstream: Upstream): Promise<Outcome> {
    const { context, request, lastEvent, trial } = this
    const { model } = this.#target
    const isFirst = !request.attempted
    const markPromptRead = this.#recordExpectation(upstream)
    const run: Run = new Run({
      context,
      request,
      upstream,
      model,
      lastEvent,
      newConnection: false,
      trial,
      mayBegin: () => this.mayBegin(),
      progress: this.#progress,
      onEvent: () => this.#handover.sent(run),
      onFirst: () => {
        markPromptRead?.()
        if (isFirst) this.#recordForecastError()
      },
      onMove: (why, cause) => this.#move(run, why, cause),
      onEnd: result => {
        markPromptRead?.()
        this.#ended(run, result)
      }
    })
    this.#handover.begin(run)
    const outcome = run.next()
    run.start()
    return outcome
  }

  /** Moves the stream of an attempt, if it may move. The attempt is kept until the next one has sent an event. */
  #move (run: Run, why: string, cause: MoveCause): boolean {
    const isPlanned = cause === 'planned'
    if (!this.#handover.mayMove(run, isPlanned) || !this.#shouldMove()) return false
    this.#handover.keep(run, isPlanned)
    run.move(why)
    return true
  }

  #ended (run: Run, result: AttemptResult): void {
    const isObsolete = this.#handover.ended(run, isWholeAnswer(result, this.#progress.started))
    if (isObsolete && !this.request.ended) this.recordEnd(run, result)
  }

  protected override get isServed (): boolean {
    return this.#handover.isKeptChosen
  }

  protected override fallBack (): KeptRun | undefined {
    return this.#handover.takeKept()
  }

  /**
   * Forecasts when the first event arrives from a head. Counts the prompt as unread there until the returned function
   * is called. The request is already counted as in flight there.
   */
  #recordExpectation ({ id, dataCentre }: Upstream): (() => void) | undefined {
    const { request, context: { choice, forecast, availability, dataCentre: own } } = this
    const { model, engine } = this.#target
    if (forecast === undefined || engine === undefined) return undefined
    const subject = { service: request.service, model, prompt: this.#tokens(engine).prompt }
    const head = { inFlight: Math.max(0, choice.load(id) - 1), unread: forecast.unread.of(id) }
    if (!request.attempted) request.timing.expect({ ...subject, ...head, ...forecast.expect(subject, head, engine), limited: availability.isLimited(id), remote: dataCentre !== own })
    return forecast.unread.add(id, subject.prompt)
  }

  /** Records the error of the forecast for the first event. */
  #recordForecastError (): void {
    const { expectation, error } = this.request.timing
    if (expectation !== undefined && error !== undefined) this.context.forecast?.learn(expectation, error)
  }

  #tokens (engine: Engine): RequestTokens {
    const { request, context: { names } } = this
    return requestTokens(request.header(names.tokens), request.header(names.length), engine)
  }

  /** The latest attempt has the state of the stream. */
  protected prefer (_before: AttemptResult | undefined, latest: AttemptResult): AttemptResult {
    return latest
  }

  protected override conclude (result: AttemptResult | undefined): void {
    const { request } = this
    const { delivery } = request
    if (result?.kind === 'passed') {
      delivery.end()
      return request.finish('answered 200')
    }
    if (this.#progress.started) {
      // The answer can't be completed. Its connection is closed so that the answer does not look complete.
      delivery.cut()
      return request.finish('cut')
    }
    if (result === undefined && request.spent === 0) this.#countRefused()
    super.conclude(result)
  }

  /**
   * Counts the refused request as offered load of its model. Only configured models count; otherwise callers could fill
   * heartbeats with arbitrary names.
   */
  #countRefused (): void {
    const { model, engine } = this.#target
    if (engine?.models.some(({ name }) => name === model) === true) this.context.offered?.countRefused(model)
  }

  protected refusal (): Fault {
    return refusals.noRoom(this.upstreams.length)
  }

  /**
   * Whether to move a stream whose upstream may have stalled or is being evacuated. The stream must be movable, and
   * another upstream must have free capacity. Its retry is taken at once, so that several streams that are moved in one
   * turn do not count on the same retry.
   */
  #shouldMove (): boolean {
    const { hasAttemptsLeft, retries, request: { service, repeatable, tried } } = this
    const retriesLeft = this.context.retryBudget(service).left
    return mayMove({ repeatable, hasAttemptsLeft, retriesLeft }) && this.choose(tried) !== undefined && retries.take()
  }
}
