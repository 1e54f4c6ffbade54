/**
 * The way of an admitted request to its answer: wait for an upstream with room, attempt, perhaps attempt again, conclude.
 * Owns the order of these steps; the rules are in `@eiderwind/dispatch`. Relies on `CallerRequest` to end the request
 * when its deadline passes or its caller leaves; after that a path does nothing more.
 */
import { type Trial } from '@eiderwind/crashes'
import { decideRetry, refusals, waitForRoom, type AttemptResult, type Closure, type Seeker, type WaitHandlers } from '@eiderwind/dispatch'
import { type Waiting } from '@eiderwind/fairness'
import { type Fault } from '@eiderwind/fault'
import { type Claim } from '@eiderwind/limits'
import { type Room } from '@eiderwind/places'
import { type Upstream } from '@eiderwind/roster'
import { sendAnswer } from './answers.js'
import { type Context } from './context.js'
import { Placing } from './placing.js'
import { type CallerRequest } from './request.js'

/** Why a request that has crashed an upstream is not sent to another one. */
const crashesUpstreams = 'each upstream that began to run this request has crashed'

/** A caller that spent less than this before it came back did not wait as it was told, in ms: no refusal gives a shorter time. */
const earliestReturn = 200

/** No upstream. */
const none: ReadonlySet<string> = new Set()

/** Serves one request. Subclasses differ in how an upstream is chosen and what is done with its answer. */
export abstract class Path {
  protected readonly context: Context
  protected readonly request: CallerRequest
  /** The trial of the attempt that comes next, where the request is suspected of crashing its upstreams. */
  protected trial: Trial | undefined
  /** What kept the request from the upstreams that may be tried when one was last looked for. */
  #closure: Closure | undefined
  /** The search for room that is under way, or the last one, where places may be issued. */
  #placing: Placing | undefined
  /** Ends the place that is kept at the upstream of the attempt that comes next. */
  #free: (() => void) | undefined

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
      if (request.ended) return this.#giveUp()
      if (upstream === 'blocked') return this.#concludeBlocked()
      if (upstream === undefined || upstream === 'closed') break
      const attempt = this.attempt(upstream)
      this.#free?.()
      latest = await attempt
      if (request.ended) return
      request.endAttempt(upstream.id, latest, this.lastEvent)
      result = this.prefer(result, latest)
    } while (this.#sendsAgain(latest))
    this.conclude(result)
  }

  /** The request has ended before the attempt that was about to begin. */
  #giveUp (): void {
    this.#free?.()
    this.trial?.end()
  }

  protected abstract readonly kind: 'plain' | 'stream'

  /** Id of the last event that the caller has, on a stream. */
  protected abstract readonly lastEvent: number | undefined

  /** The upstreams that serve what is asked for, whether they have room or not. */
  protected abstract get upstreams (): readonly Upstream[]

  /** The room for which the request competes with others at all gateways. By default none. */
  protected get room (): Room | undefined {
    return undefined
  }

  /** The latest start at which its next event still comes in time, on `Clock.now`. */
  protected get inTimeUntil (): number {
    const { arrivedAt, spent, route: { objective } } = this.request
    return arrivedAt - spent + objective
  }

  /** What the request takes of its upstream, in units of the mean request of its service. */
  protected get work (): number {
    return 1
  }

  /** An upstream that has room now and is none of those to avoid. */
  protected abstract choose (avoided: ReadonlySet<string>): Upstream | undefined

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
    request.refuse(this.#queuedRefusal() ?? this.#closedRefusal() ?? this.refusal(result))
  }

  /** A suspect waits like a request that was offered before: it may have to wait until another one of its kind has been tried. */
  async #findUpstream (): Promise<Upstream | 'blocked' | 'closed' | undefined> {
    const { request, context: { clock, intake, queue } } = this
    this.trial = undefined
    this.#closure = undefined
    const time = this.#wait
    const until = clock.now() + time
    const claim = intake.claim(request.priority, until)
    this.#placing = time > 0 ? this.#place(until) : undefined
    const found = await queue.wait(this.#seeker(until), () => this.#find(claim) ?? this.#hopeless(until), this.#waitHandlers)
    intake.release(claim)
    this.#placing?.end()
    return found
  }

  /** The request as one that looks for room. @param until on `Clock.now`, in ms */
  #seeker (until: number): Seeker {
    const { room, request: { service, offered } } = this
    return { ...this.#waiting(until), room: room?.key ?? service, offered, orderedElsewhere: this.#placing !== undefined }
  }

  /** What the order of the requests that wait depends on. @param until on `Clock.now`, in ms */
  #waiting (until: number): Waiting {
    const { work, request: { priority, team, arrivedAt, spent, offered } } = this
    const early = spent > 0 && spent < earliestReturn
    return { priority, team: team?.name ?? '', work, arrivedAt, inTimeUntil: offered ? until : this.inTimeUntil, until, again: spent > 0, early }
  }

  get #waitHandlers (): WaitHandlers {
    const { request } = this
    return { onWait: cancel => request.cancelWith(cancel), onShortage: shortage => { request.shortage = shortage } }
  }

  /** Longest wait for an upstream with room, in ms. */
  get #wait (): number {
    const { room, context: { places } } = this
    return this.#waitFor(room !== undefined && places?.isContended(room) === true)
  }

  /** @param shared whether it waits in a queue that is kept for all gateways */
  #waitFor (shared: boolean): number {
    const { request, kind, upstreams, context: { crashes } } = this
    const { timeLeft, route: { objective } } = request
    const offered = request.offered || crashes.standing(request) !== 'trusted'
    return waitForRoom({ path: kind, offered, upstreams: upstreams.length, closed: this.#closedFor, objective, timeLeft, shared })
  }

  /** Begins a search in which places may be asked for; none for a suspect, whose upstream depends on the trials here. */
  #place (until: number): Placing | undefined {
    const { request, room, context: { clock, places, intake, suspects, crashes } } = this
    if (room === undefined || places === undefined || crashes.standing(request) !== 'trusted') return undefined
    const { route: { objective }, tried } = request
    return new Placing({
      asker: places,
      intake,
      upstreams: () => this.upstreams,
      choose: besides => besides.size === 0 ? this.#choose('trusted') : this.choose(new Set([...tried, ...besides])),
      mayUse: ({ id }) => !tried.has(id) && !crashes.underTrial.has(id) && intake.has(id) && suspects.mayTry(id)
    }, { ...this.#waiting(until), room, aloneUntil: clock.now() + this.#waitFor(false), objective })
  }

  /** The refusal where the queue for all gateways is too long. */
  #queuedRefusal (): Fault | undefined {
    const refusal = this.#placing?.refusal
    if (refusal === undefined) return undefined
    this.request.queuedAt = refusal.by
    return refusal.due === 0 ? undefined : refusals.queued(refusal.due, this.context.random())
  }

  /** Says that waiting until a time, on `Clock.now`, is in vain, where none of those that may be tried takes a request before that. */
  #hopeless (until: number): 'closed' | undefined {
    this.#closure = this.#firstClosure
    const end = this.#closure?.end ?? -Infinity
    return end > until && end > this.context.clock.now() ? 'closed' : undefined
  }

  /** Time until the first upstream that may still be tried takes a request by its own word, in ms; 0 where one of them does, or it is not known. */
  get #closedFor (): number {
    const first = this.#firstClosure
    return first === undefined ? 0 : first.end - this.context.clock.now()
  }

  /** Why, and until when, none of the upstreams that may still be tried takes a request by its own word. */
  get #firstClosure (): Closure | undefined {
    const { tried, priority } = this.request
    return this.context.intake.first(this.upstreams, tried, priority)
  }

  /**
   * The refusal where no upstream takes a request by its own word, now or when one was last looked for: a token may have come since. When one takes requests again that
   * only refuses is not known.
   */
  #closedRefusal (): Fault | undefined {
    const { clock, intake, random } = this.context
    const first = intake.first(this.upstreams, none, this.request.priority) ?? this.#closure
    if (first === undefined || first.cause === 'pause') return undefined
    const time = first.end - clock.now()
    return first.cause === 'rest' ? refusals.resting(Math.max(0, time), random()) : refusals.limited(time > 0 ? time : undefined, random())
  }

  /** The upstream to send the request to now, by what is known of its crashes; undefined where it has to wait. What lacks nothing but a token is asked for one. */
  #find (claim: Claim | undefined): Upstream | 'blocked' | 'closed' | undefined {
    const { request, context: { crashes, intake } } = this
    const standing = crashes.standing(request)
    if (standing === 'blocked') return standing
    const mayBeSent = standing === 'trusted' || crashes.mayTry(request)
    const upstream = mayBeSent ? this.#seek(standing) : undefined
    if (upstream === 'closed') return upstream
    if (upstream !== undefined) this.#take(upstream, claim)
    else if (mayBeSent) intake.pursue(claim, this.upstreams, request.tried)
    return standing === 'suspected' ? this.#try(upstream) : upstream
  }

  /** Has a place and a token of an upstream count as taken from now on. */
  #take ({ id }: Upstream, claim: Claim | undefined): void {
    const { inFlight, intake } = this.context
    intake.take(id, claim)
    this.#free = inFlight.keep(id)
    this.#placing?.taken()
  }

  #seek (standing: 'trusted' | 'suspected'): Upstream | 'closed' | undefined {
    return standing === 'trusted' && this.#placing !== undefined ? this.#placing.find() : this.#choose(standing)
  }

  /** A suspect is sent to no upstream at which another one is tried; any other request only where there is no choice. */
  #choose (standing: 'trusted' | 'suspected'): Upstream | undefined {
    const { request: { tried }, context: { crashes: { underTrial } } } = this
    const avoided = underTrial.size === 0 ? tried : new Set([...tried, ...underTrial])
    const apart = this.choose(avoided)
    return apart === undefined && avoided !== tried && standing === 'trusted' ? this.choose(tried) : apart
  }

  /** Begins the trial at once, so that no other suspect that waits is sent to the same upstream. */
  #try (upstream: Upstream | undefined): Upstream | undefined {
    if (upstream !== undefined) this.trial = this.context.crashes.sent(this.request, upstream.id)
    return upstream
  }

  /** Ends a request that crashes its upstreams. One of which an attempt was lost in this very try may have run. */
  #concludeBlocked (): void {
    const { request, context: { crashes } } = this
    request.blocked = true
    if (request.lost) return this.conclude({ kind: 'lost', why: crashesUpstreams })
    request.refuse(refusals.crashing(crashes.blockedFor(request)))
  }

  #sendsAgain (result: AttemptResult): boolean {
    const { service, repeatable, hasAttemptsLeft } = this.request
    const decision = decideRetry({ result, repeatable, hasAttemptsLeft })
    if (decision === 'no') return false
    // A retry that no upstream takes would be taken from the budget for nothing.
    if (this.#closedFor > 0 && this.#wait === 0) return false
    return decision === 'free' || this.context.retryBudget(service).take()
  }
}
