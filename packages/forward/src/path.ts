/**
 * The steps from an admitted request to its answer: wait for an upstream with free capacity, attempt, possibly retry,
 * conclude. This module owns the order of the steps; the rules of each step are in `@eiderwind/dispatch`. It relies on
 * `CallerRequest` to end the request when its deadline passes or its caller disconnects. A path does nothing more after
 * that.
 */
import { type Trial } from '@eiderwind/crashes'
import { decideRetry, refusals, waitForRoom, type AttemptResult, type QueuedRequest } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { type Claim } from '@eiderwind/limits'
import { type Upstream } from '@eiderwind/roster'
import { sendAnswer } from './answers.js'
import { type Context } from './context.js'
import { orderingInputs } from './ordering.js'
import { PlaceSearch } from './placesearch.js'
import { type CallerRequest, type EmptySearch } from './request.js'
import { RetryCharge } from './retrycharge.js'
import { type KeptRun, type Outcome } from './run.js'
import { type Target } from './target.js'
import { UpstreamSearch } from './upstreamsearch.js'
import { UpstreamWait } from './upstreamwait.js'

/** Why a request that has crashed its upstreams is not sent to another one. */
const crashedUpstreamsReason = 'each upstream that began to run this request has crashed'

/** What came of a search and its attempt. Undefined if no attempt was made. */
type Next = Outcome | 'blocked' | undefined

/** Serves one request. Its target chooses the upstreams; subclasses handle their answers. */
export abstract class Path {
  protected readonly context: Context
  protected readonly request: CallerRequest
  protected readonly target: Target
  /** The trial that the next attempt belongs to, if the request is suspected of crashing its upstreams. */
  protected trial: Trial | undefined
  /** Whether the current attempt was not sent because requests are held. */
  protected wasHeld = false
  readonly #upstreamSearch: UpstreamSearch
  /** The current or last search for a place, where places may be issued. */
  #placeSearch: PlaceSearch | undefined
  /** The charge of the retries to the budget of the service. */
  protected readonly retries: RetryCharge
  /** The result that the caller gets if no further attempt is made. Undefined before the end of the first attempt. */
  #result: AttemptResult | undefined
  readonly #wait: UpstreamWait
  /** Releases the reservation at the upstream of the next attempt. */
  #releaseReservation: (() => void) | undefined

  constructor (context: Context, request: CallerRequest, target: Target) {
    this.context = context
    this.request = request
    this.target = target
    this.retries = new RetryCharge(context.clock, () => context.retryBudget(request.service))
    this.#wait = new UpstreamWait(context, request)
    this.#upstreamSearch = new UpstreamSearch(context, request, () => this.target.upstreams)
  }

  /** Serves the request. Resolves when the request has ended. */
  async serve (): Promise<void> {
    const { request } = this
    let next: Next
    do {
      next = await this.#attemptNext()
      if (request.ended) return
      const kept = next === 'moving' ? undefined : this.fallBack()
      if (kept !== undefined) next = await this.#await(kept)
      if (request.ended) return
      if (next === 'blocked') return this.#concludeBlocked()
    } while (next === 'moving' || (next !== undefined && this.#shouldRetry(next)))
    this.conclude(this.#result)
  }

  /** Sends the request to the next upstream. Returns undefined if there is none, or if the request needs none any more. */
  async #attemptNext (): Promise<Next> {
    const { request } = this
    const opened = this.context.sendGate?.opened
    if (opened !== undefined) await opened
    if (request.ended || this.isServed) return undefined
    const upstream = await this.#findUpstream()
    if (request.ended || this.isServed) return this.#abandon()
    if (upstream === 'blocked') return upstream
    if (upstream === undefined || upstream === 'closed' || upstream === 'denied') return undefined
    const attempt = this.attempt(upstream)
    this.#releaseReservation?.()
    const outcome = await this.#await({ upstream, next: () => attempt })
    if (!request.ended && outcome !== 'moving') this.#forgetHeld(upstream)
    return outcome
  }

  /** Waits until an attempt has ended or its stream moves. */
  async #await (run: KeptRun): Promise<Outcome> {
    const outcome = await run.next()
    if (outcome === 'moving') this.retries.require()
    else if (!this.request.ended) this.recordEnd(run, outcome)
    return outcome
  }

  /** Records the end of an attempt. */
  protected recordEnd ({ upstream, note }: KeptRun, result: AttemptResult): void {
    this.request.endAttempt(upstream.id, result, this.lastEvent, note)
    if (result.kind !== 'cancelled') this.#result = this.prefer(this.#result, result)
  }

  /** An attempt that was held says nothing about its upstream, which may be the only one. */
  #forgetHeld ({ id }: Upstream): void {
    if (this.wasHeld) this.request.forgetAttempt(id)
    this.wasHeld = false
  }

  /** Cleans up when the request has ended, or needs no further attempt, before the next attempt began. */
  #abandon (): undefined {
    this.#releaseReservation?.()
    this.trial?.end()
  }

  /** Whether an attempt that was kept goes on, so that no other one is needed. */
  protected get isServed (): boolean {
    return false
  }

  /** Returns to an attempt that was kept. Undefined if there is none. */
  protected fallBack (): KeptRun | undefined {
    return undefined
  }

  /** Ends the current search for an upstream without a result. */
  protected cancelSearch (): void {
    this.#wait.cancel()
  }

  protected abstract readonly kind: 'plain' | 'stream'

  /** Id of the last stream event that was sent to the caller. */
  protected abstract readonly lastEvent: number | undefined

  /** The latest time to start an attempt so that the next part of the answer arrives in time, on `Clock.now`. */
  protected get latestStart (): number {
    const { arrivedAt, spent, route: { objective } } = this.request
    return arrivedAt - spent + objective - this.target.startTime
  }

  /** Sends the request to an upstream. Resolves when the attempt has ended, or is kept while the request moves. */
  protected abstract attempt (upstream: Upstream): Promise<Outcome>

  /** Picks which of two results the caller gets. */
  protected abstract prefer (before: AttemptResult | undefined, latest: AttemptResult): AttemptResult

  /** Ends the request with the result of its attempts. The result is undefined if no attempt was made. */
  protected conclude (result: AttemptResult | undefined): void {
    const { request, target } = this
    if (result?.kind === 'answered') return sendAnswer(request, result)
    if (result?.kind === 'lost') return request.refuse(refusals.lost(result.why))
    if (result === undefined && request.spent === 0) target.countRefused()
    request.emptySearch = { upstreams: target.upstreams.length, cause: this.#emptySearchCause }
    request.refuse(this.#queuedRefusal() ?? this.#upstreamSearch.refusal ?? target.refusal(result))
  }

  get #emptySearchCause (): EmptySearch['cause'] {
    const { request, context: { crashes } } = this
    return crashes.standing(request.identity) === 'trusted' ? this.#upstreamSearch.cause : 'trial'
  }

  /**
   * Waits for an upstream. A suspected request has the same maximum wait as one that was already attempted, since it
   * may have to wait until the trial of another suspect has ended.
   */
  async #findUpstream (): Promise<Upstream | 'blocked' | 'closed' | 'denied' | undefined> {
    this.trial = undefined
    this.#upstreamSearch.begin()
    const time = this.#maxWait
    const until = this.context.clock.now() + time
    this.#placeSearch = time > 0 ? this.#beginPlaceSearch(until) : undefined
    const found = await this.#wait.run(this.#queuedRequest(until), claim => this.#find(claim) ?? this.#upstreamSearch.closedPast(until))
    this.#placeSearch?.end()
    return found
  }

  /** The request as an entry of the local queue. @param until the end of its wait on `Clock.now`, in ms */
  #queuedRequest (until: number): QueuedRequest {
    const { target: { room, work }, request, request: { service, attempted }, latestStart } = this
    return { ...orderingInputs({ request, work, latestStart, until }), room: room?.key ?? service, attempted, orderedElsewhere: this.#placeSearch !== undefined }
  }

  /** Maximum wait for an upstream with free capacity, in ms. */
  get #maxWait (): number {
    const { target: { room }, context: { places } } = this
    return this.#computeMaxWait(room !== undefined && places?.isContended(room) === true)
  }

  /** Computes the maximum wait, in ms. @param shared whether the request waits in a queue that all gateways share */
  #computeMaxWait (shared: boolean): number {
    const { request, kind, target: { upstreams }, context: { crashes } } = this
    const { timeLeft, route: { objective } } = request
    const attempted = request.attempted || crashes.standing(request.identity) !== 'trusted'
    return waitForRoom({ path: kind, attempted, upstreams: upstreams.length, timeUntilAvailable: this.#upstreamSearch.timeUntilAvailable, objective, timeLeft, shared })
  }

  /**
   * Begins a search that may request places. Returns undefined if no places are issued for this request. A suspected
   * request gets none, since its upstream depends on the trials.
   */
  #beginPlaceSearch (until: number): PlaceSearch | undefined {
    const { request, target, target: { room, work }, latestStart, context: { clock, places, availability, suspects, crashes } } = this
    if (room === undefined || places === undefined || crashes.standing(request.identity) !== 'trusted') return undefined
    const { route: { objective }, tried } = request
    return new PlaceSearch({
      placeClient: places,
      availability,
      upstreams: () => target.upstreams,
      choose: excluded => excluded.size === 0 ? this.#chooseLocally('trusted') : target.choose(new Set([...tried, ...excluded])),
      mayUse: ({ id }) => !tried.has(id) && !crashes.underTrial.has(id) && availability.isAvailable(id) && suspects.mayTry(id)
    }, { ...orderingInputs({ request, work, latestStart, until }), room, aloneUntil: clock.now() + this.#computeMaxWait(false), objective })
  }

  /** The refusal if the queue shared by all gateways is too long. */
  #queuedRefusal (): Fault | undefined {
    const refusal = this.#placeSearch?.refusal
    if (refusal === undefined) return undefined
    this.request.queuedAt = refusal.by
    return refusal.due === 0 ? undefined : refusals.queued(refusal.due, this.context.random())
  }

  /**
   * Finds the upstream to send the request to now, given the crashes that the request was part of. Returns undefined if
   * the request has to wait, and 'denied' if it is a retry for which the budget has nothing left. Requests a token if
   * only a token is missing.
   */
  #find (claim: Claim | undefined): Upstream | 'blocked' | 'closed' | 'denied' | undefined {
    const { request, context: { crashes, availability } } = this
    const standing = crashes.standing(request.identity)
    if (standing === 'blocked') return standing
    const mayBeSent = standing === 'trusted' || crashes.mayTry(request.identity)
    const upstream = mayBeSent ? this.#selectUpstream(standing) : undefined
    if (upstream === 'closed') return upstream
    if (this.retries.isDenied(upstream !== undefined)) return this.#deny()
    if (upstream !== undefined) this.#reserve(upstream, claim)
    else if (mayBeSent) availability.requestToken(claim, this.target.upstreams, request.tried)
    return standing === 'suspected' ? this.#beginTrial(upstream) : upstream
  }

  /** Reserves capacity and a token at an upstream. */
  #reserve ({ id }: Upstream, claim: Claim | undefined): void {
    const { inFlight, availability } = this.context
    availability.take(id, claim)
    this.#releaseReservation = inFlight.reserve(id)
    this.#placeSearch?.recordUse()
  }

  #selectUpstream (standing: 'trusted' | 'suspected'): Upstream | 'closed' | undefined {
    return standing === 'trusted' && this.#placeSearch !== undefined ? this.#placeSearch.find() : this.#chooseLocally(standing)
  }

  /**
   * Avoids upstreams that run a trial. A suspected request is never sent to one. Any other request is sent to one only
   * if no other upstream has free capacity.
   */
  #chooseLocally (standing: 'trusted' | 'suspected'): Upstream | undefined {
    const { target, request: { tried }, context: { crashes: { underTrial } } } = this
    const avoided = underTrial.size === 0 ? tried : new Set([...tried, ...underTrial])
    const withoutTrials = target.choose(avoided)
    return withoutTrials === undefined && avoided !== tried && standing === 'trusted' ? target.choose(tried) : withoutTrials
  }

  /** Begins the trial at once, so that no other waiting suspect is sent to the same upstream. */
  #beginTrial (upstream: Upstream | undefined): Upstream | undefined {
    if (upstream !== undefined) this.trial = this.context.crashes.beginTrial(this.request.identity, upstream.id)
    return upstream
  }

  /**
   * Ends a request that crashes its upstreams. If the answer of one of its own attempts was lost, the request may have
   * run.
   */
  #concludeBlocked (): void {
    const { request, context: { crashes } } = this
    request.blocked = true
    if (request.lost) return this.conclude({ kind: 'lost', why: crashedUpstreamsReason })
    request.refuse(refusals.crashing(crashes.blockedFor(request.identity)))
  }

  /** Whether the route allows one more attempt. Attempts whose upstream crashed under another request do not count. */
  protected get hasAttemptsLeft (): boolean {
    const { request, context: { crashes } } = this
    const crashed = [...request.tried].filter(each => crashes.wasCrashedByOthers(each, request.arrivedAt, request.identity))
    return request.hasAttemptsLeft(crashed.length)
  }

  #shouldRetry (result: AttemptResult): boolean {
    const { repeatable } = this.request
    const decision = decideRetry({ result, repeatable, hasAttemptsLeft: this.hasAttemptsLeft })
    if (decision === 'no') return false
    // Without room the request would wait for nothing.
    if (this.#upstreamSearch.timeUntilAvailable > 0 && this.#maxWait === 0) return false
    if (decision === 'budgeted') this.retries.require()
    return true
  }

  #deny (): 'denied' {
    this.request.retryDenied = true
    return 'denied'
  }

  /**
   * Whether the current attempt may be sent. It may not while requests are held, or if it is a retry whose grant is too
   * old and can't be renewed.
   */
  protected mayBegin (): boolean {
    this.wasHeld = this.context.sendGate?.isClosed === true
    return !this.wasHeld && this.retries.maySend()
  }
}
