/**
 * Serves a request whose route is a stream, at a plain or a model service. The answer is forwarded as it arrives. A
 * stream that breaks off or stalls is resumed at another upstream after the last event that the caller received, if its
 * route permits that. This module owns the progress of the stream over all attempts; the steps are those of `Path`, and
 * `Handover` decides which attempt of a stream that moves goes on.
 */
import { mayMove, type AttemptResult } from '@eiderwind/dispatch'
import { type Upstream } from '@eiderwind/roster'
import { type MoveCause } from './attempt.js'
import { type Context } from './context.js'
import { Handover, isWholeAnswer } from './handover.js'
import { lastEventName } from './names.js'
import { Path } from './path.js'
import { type CallerRequest } from './request.js'
import { Run, type KeptRun, type Outcome } from './run.js'
import { Progress } from './streamattempt.js'
import { targetOf, type RequestedModel } from './target.js'

/** Serves a request whose answer is forwarded as it arrives. */
export class StreamPath extends Path {
  protected readonly kind = 'stream'
  readonly #progress: Progress
  readonly #handover = new Handover<Run>(() => this.cancelSearch())

  constructor (context: Context, request: CallerRequest, requested: RequestedModel) {
    super(context, request, targetOf(context, request, requested))
    const lastEvent = Number(request.incoming.headers[lastEventName] ?? NaN)
    this.#progress = new Progress(Number.isFinite(lastEvent) ? lastEvent : undefined)
  }

  protected get lastEvent (): number | undefined {
    return this.#progress.lastEvent
  }

  protected override get latestStart (): number {
    const { context: { clock }, request: { route: { gap } } } = this
    return this.#progress.started ? clock.now() + gap : super.latestStart
  }

  protected attempt (upstream: Upstream): Promise<Outcome> {
    const { context, request, lastEvent, trial, target } = this
    const { model } = target
    const { clock } = context
    const startedAt = clock.now()
    const isFirst = !request.attempted
    const markPromptRead = target.expectFirstEvent(upstream)
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
        // An attempt that is cancelled because another one went on says nothing about its upstream.
        if (result.kind !== 'cancelled' && !this.wasHeld) target.observe(upstream, result, clock.now() - startedAt)
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

  /** Records the error of the forecast for the first event. */
  #recordForecastError (): void {
    const { expectation, error } = this.request.timing
    if (expectation !== undefined && error !== undefined) this.context.forecast?.learn(expectation, error)
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
    super.conclude(result)
  }

  /**
   * Whether to move a stream whose upstream may have stalled or is being evacuated. The stream must be movable, and
   * another upstream must have free capacity. Its retry is taken at once, so that several streams that are moved in one
   * turn do not count on the same retry.
   */
  #shouldMove (): boolean {
    const { hasAttemptsLeft, retries, target, request: { service, repeatable, tried } } = this
    const retriesLeft = this.context.retryBudget(service).left
    return mayMove({ repeatable, hasAttemptsLeft, retriesLeft }) && target.choose(tried) !== undefined && retries.take()
  }
}
