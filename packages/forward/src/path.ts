/**
 * The way of an admitted request to its answer: wait for an upstream with room, attempt, perhaps attempt again, conclude.
 * Owns the order of these steps; the rules are in `@eiderwind/dispatch`. Relies on `CallerRequest` to end the request
 * when its deadline passes or its caller leaves; after that a path does nothing more.
 */
import { decideRetry, refusals, waitForRoom, type AttemptResult } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { type Upstream } from '@eiderwind/roster'
import { sendAnswer } from './answers.js'
import { type Context } from './context.js'
import { type CallerRequest } from './request.js'

/** Serves one request. Subclasses differ in how an upstream is chosen and what is done with its answer. */
export abstract class Path {
  protected readonly context: Context
  protected readonly request: CallerRequest

  constructor (context: Context, request: CallerRequest) {
    this.context = context
    this.request = request
  }

  /** Serves the request. Resolves when it has ended. */
  async serve (): Promise<void> {
    const { request } = this
    let result: AttemptResult | undefined
    let latest: AttemptResult
    do {
      const upstream = await this.#findUpstream()
      if (request.ended) return
      if (upstream === undefined) break
      latest = await this.attempt(upstream)
      if (request.ended) return
      request.endAttempt(upstream.id, latest, this.lastEvent)
      result = this.prefer(result, latest)
    } while (this.#sendsAgain(latest))
    this.conclude(result)
  }

  protected abstract readonly kind: 'plain' | 'stream'

  /** Id of the last event that the caller has, on a stream. */
  protected abstract readonly lastEvent: number | undefined

  /** How many upstreams serve what is asked for, whether they have room or not. */
  protected abstract get upstreams (): number

  /** An upstream that has room now. */
  protected abstract choose (): Upstream | undefined

  /** Sends the request to an upstream. Resolves when that attempt has ended. */
  protected abstract attempt (upstream: Upstream): Promise<AttemptResult>

  /** The one of two results that the caller should get. */
  protected abstract prefer (before: AttemptResult | undefined, latest: AttemptResult): AttemptResult

  /** The refusal when the request certainly did not run. */
  protected abstract refusal (result: AttemptResult | undefined): Fault

  /** Ends the request with the result of its attempts; without one if no attempt was made. */
  protected conclude (result: AttemptResult | undefined): void {
    const { request } = this
    if (result?.kind === 'answered') return sendAnswer(request, result)
    if (result?.kind === 'lost') return request.refuse(refusals.lost(result.why))
    request.refuse(this.refusal(result))
  }

  #findUpstream (): Promise<Upstream | undefined> {
    const { request, kind, upstreams } = this
    const { priority, offered, timeLeft, route: { objective } } = request
    const time = waitForRoom({ path: kind, offered, upstreams, objective, timeLeft })
    return this.context.queue.wait(priority, time, () => this.choose(), cancel => request.cancelWith(cancel))
  }

  #sendsAgain (result: AttemptResult): boolean {
    const { service, repeatable, hasAttemptsLeft } = this.request
    const decision = decideRetry({ result, repeatable, hasAttemptsLeft })
    return decision === 'free' || (decision === 'budgeted' && this.context.retryBudget(service).take())
  }
}
