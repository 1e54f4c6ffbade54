/**
 * Serves a stream, or any request to a model service: the answer is passed on as it arrives. A stream that breaks off or
 * stalls is resumed at another upstream after the last event that the caller has, if its route allows that. Owns the
 * progress of the stream over all attempts; the steps are those of `Path`.
 */
import { mayMove, refusals, type AttemptResult } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { type Context } from './context.js'
import { lastEventName } from './names.js'
import { Path } from './path.js'
import { type CallerRequest } from './request.js'
import { Progress, StreamAttempt } from './streamattempt.js'

/** What is asked for. */
export interface Target {
  /** Empty if the request names none. */
  readonly model: string
  /** Undefined if the service is plain. */
  readonly engine: Engine | undefined
}

/** Serves a request whose answer is passed on as it arrives. */
export class StreamPath extends Path {
  protected readonly kind = 'stream'
  readonly #target: Target
  readonly #progress: Progress

  constructor (context: Context, request: CallerRequest, target: Target) {
    super(context, request)
    this.#target = target
    const lastEvent = Number(request.incoming.headers[lastEventName] ?? NaN)
    this.#progress = new Progress(Number.isFinite(lastEvent) ? lastEvent : undefined)
  }

  protected get lastEvent (): number | undefined {
    return this.#progress.lastEvent
  }

  protected override get room (): string {
    return `${this.request.service} ${this.#target.model}`
  }

  protected get upstreams (): readonly Upstream[] {
    const { roster } = this.context
    const { service } = this.request
    const { model, engine } = this.#target
    return engine === undefined ? roster.available(service) : roster.heads(service, model)
  }

  protected choose (avoided: ReadonlySet<string>): Upstream | undefined {
    const { choice } = this.context
    const { service } = this.request
    const { model, engine } = this.#target
    return engine === undefined ? choice.plain(service, avoided) : choice.head(service, model, engine, avoided)
  }

  protected attempt (upstream: Upstream): Promise<AttemptResult> {
    const { context, request, lastEvent, trial } = this
    const { model } = this.#target
    return new Promise(resolve => {
      const attempt = new StreamAttempt({
        context,
        request,
        upstream,
        model,
        lastEvent,
        newConnection: false,
        trial,
        progress: this.#progress,
        onStall: () => { if (this.#moves()) attempt.abort('the upstream stalled') },
        onEnd: resolve
      })
      attempt.start()
    })
  }

  /** The state of a stream is that of its latest attempt. */
  protected prefer (_before: AttemptResult | undefined, latest: AttemptResult): AttemptResult {
    return latest
  }

  protected override conclude (result: AttemptResult | undefined): void {
    const { request } = this
    const { response } = request
    if (result?.kind === 'passed') {
      response.end()
      return request.finish('answered 200')
    }
    if (this.#progress.started) {
      // The answer can't be completed: its connection is cut, so that it does not seem complete.
      response.destroy()
      return request.finish('cut')
    }
    super.conclude(result)
  }

  protected refusal (): Fault {
    return refusals.noRoom(this.upstreams.length)
  }

  /** Whether a stream whose upstream is suspected of having stalled is moved: it may be, and another upstream has room. */
  #moves (): boolean {
    const { service, repeatable, hasAttemptsLeft, tried } = this.request
    const retriesLeft = this.context.retryBudget(service).left
    return mayMove({ repeatable, hasAttemptsLeft, retriesLeft }) && this.choose(tried) !== undefined
  }
}
