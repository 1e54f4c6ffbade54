/**
 * One caller's request from admission to its answer: its deadline, a disconnect of its caller, its attempts, and its
 * single answer. This module owns the response and the deadline timer. It relies on the paths (`PlainPath`,
 * `StreamPath`) to register how to stop the current work.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { LazyIdentity, type RequestIdentity } from '@eiderwind/crashes'
import { refusals, type AttemptResult, type Shortage, type Unavailability } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { type Route, type Team } from '@eiderwind/traffic'
import { answerFault } from '@eiderwind/wire'
import { type Deliveries, type Delivery } from './delivery.js'
import { type HeaderNames } from './names.js'
import { Timing } from './timing.js'

/** An admitted request. Times are in ms, on `Clock.now`. */
export interface CallerRequestOptions {
  readonly clock: Clock
  readonly id: string
  readonly incoming: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer | undefined
  readonly route: Route
  readonly service: string
  readonly team: Team | undefined
  readonly arrivedAt: number
  /** The earlier of the caller's deadline and the end of the route's time limit. */
  readonly endsAt: number
  /** Time that the caller spent on earlier tries, in ms. 0 on the first try, or if it is not known. */
  readonly spent?: number
  /** The headers that the request is read from, and that returns its id on a refusal. */
  readonly names: Pick<HeaderNames, 'request' | 'model' | 'parts'>
  /** Delivers answers at the speed at which callers read. */
  readonly deliveries: Deliveries
  /** Called once with the outcome, when the request has ended. */
  readonly onEnd: (request: CallerRequest, outcome: string) => void
}

/** What a request without an upstream met at its last search. */
export interface EmptySearch {
  /** Number of upstreams that serve its target. */
  readonly upstreams: number
  /**
   * Why none of them took it. `trial`: the request is suspected of crashing upstreams and waits for its trial. Undefined
   * if they were full, or tried before.
   */
  readonly cause: Unavailability['cause'] | 'trial' | undefined
}

/** One caller's request. It is answered once. Its work stops when the caller disconnects or the deadline passes. */
export class CallerRequest {
  readonly id: string
  readonly incoming: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer | undefined
  readonly route: Route
  readonly service: string
  readonly team: Team | undefined
  readonly arrivedAt: number
  readonly endsAt: number
  readonly spent: number
  /** A line per ended attempt with upstream, kind of result and details, for the log. */
  readonly attempts: string[] = []
  /** How its time was spent. */
  readonly timing: Timing
  /** Sends the answer to the caller. */
  readonly delivery: Delivery
  /** What the request is recognized by when it, or a part of it, is sent again. */
  readonly identity: RequestIdentity
  /** Whether the request is blocked: it is not sent to any further upstream, because it crashes them. */
  blocked = false
  /** Why it found no room. Undefined if it did, or if the queue gave no reason. */
  shortage: Shortage | undefined
  /** Set if it is refused because no upstream took it. */
  emptySearch: EmptySearch | undefined
  /** Whether it was not sent to one more upstream because the retry budget of its service was used up. */
  retryDenied = false
  /** Age of the list of upstreams when it was written to an upstream last, in ms. Undefined if it was not. */
  listAge: number | undefined
  /** The gateway that refused it because the shared queue was too long. */
  queuedAt: string | undefined
  readonly #clock: Clock
  readonly #idHeader: string
  readonly #onEnd: (request: CallerRequest, outcome: string) => void
  readonly #timer: Subscription
  readonly #tried = new Set<string>()
  #lost = false
  /** Number of attempts that count against the route's limit: those that may have reached the upstream. */
  #sends = 0
  readonly #running = new Set<string>()
  readonly #cancels = new Set<() => void>()
  #ended = false

  constructor (options: CallerRequestOptions) {
    this.id = options.id
    this.incoming = options.incoming
    this.response = options.response
    this.body = options.body
    this.route = options.route
    this.service = options.service
    this.team = options.team
    this.arrivedAt = options.arrivedAt
    this.timing = new Timing(options.arrivedAt)
    this.endsAt = options.endsAt
    this.spent = options.spent ?? 0
    this.#clock = options.clock
    this.#idHeader = options.names.request
    this.identity = this.#identify(options.names)
    this.#onEnd = options.onEnd
    this.delivery = options.deliveries.open(options.response, options.id, () => this.finish('stalled'))
    this.#timer = options.clock.after(Math.max(0, options.endsAt - options.clock.now()), () => this.#expire())
    this.response.once('close', () => this.#close())
  }

  /** Ids of the upstreams that an attempt was started at. */
  get tried (): ReadonlySet<string> {
    return this.#tried
  }

  /** Ids of the upstreams of the attempts under way: two while a stream moves. */
  get currentUpstreams (): readonly string[] {
    return [...this.#running]
  }

  /** Whether an attempt was started. An upstream may then have begun to run the request. */
  get attempted (): boolean {
    return this.#tried.size > 0
  }

  /** The value of a header that occurs once. Undefined also if the header has no name here. */
  header (name: string | undefined): string | undefined {
    const value = name === undefined ? undefined : this.incoming.headers[name]
    return typeof value === 'string' ? value : undefined
  }

  /** Whether the answer of an attempt was lost. The request may then have run. */
  get lost (): boolean {
    return this.#lost
  }

  /** Whether it was answered, refused or cut off, or its caller has disconnected. */
  get ended (): boolean {
    return this.#ended
  }

  /** Time until the deadline, in ms. */
  get timeLeft (): number {
    return this.endsAt - this.#clock.now()
  }

  /** 0 is the most urgent. The priority of the team takes precedence over that of the route. */
  get priority (): number {
    return this.team?.priority ?? this.route.priority
  }

  /** Whether it may run more than once. */
  get repeatable (): boolean {
    return this.route.kind === 'repeatable' || (this.route.kind === 'stream' && this.route.resumable)
  }

  /** Whether the route allows one more attempt. @param uncounted number of attempts that do not count */
  hasAttemptsLeft (uncounted: number): boolean {
    return this.#sends - uncounted < this.route.attempts
  }

  /** Records that an attempt is being started. */
  beginAttempt (upstream: string): void {
    this.#tried.add(upstream)
    this.#sends++
    this.#running.add(upstream)
    this.timing.sent(this.#clock.now())
  }

  /** Forgets an attempt that was not sent and says nothing about its upstream, so that it may be tried again. */
  forgetAttempt (upstream: string): void {
    this.#tried.delete(upstream)
  }

  /** Records that a part of the answer is sent to the caller now. */
  recordForwarded (): void {
    this.timing.passed(this.#clock.now())
  }

  /**
   * Records how an attempt ended. An attempt that was never sent does not count.
   * @param lastEvent id of the last stream event that was sent to the caller
   * @param note what happened to the attempt before, for the log
   */
  endAttempt (upstream: string, result: AttemptResult, lastEvent?: number, note?: string): void {
    if ('sent' in result && !result.sent) this.#sends--
    if (result.kind === 'lost') this.#lost = true
    this.#running.delete(upstream)
    const at = Math.round(this.#clock.now() - this.arrivedAt)
    const how = result.kind === 'answered' ? String(result.status) : result.kind
    const reasons = [...'why' in result ? [result.why] : [], ...note === undefined ? [] : [note]]
    const why = reasons.length === 0 ? '' : ` (${reasons.join(', ')})`
    const after = lastEvent === undefined ? '' : ` after event ${lastEvent}`
    this.attempts.push(`${upstream} ${how}${why}${after} at ${at} ms`)
  }

  /**
   * Adds a function that stops work for this request. It is called when the request ends, or at once if it has ended.
   * Returns a function that removes it.
   */
  cancelWith (cancel: () => void): () => void {
    this.#cancels.add(cancel)
    if (this.#ended) cancel()
    return () => this.#cancels.delete(cancel)
  }

  /** Answers with a refusal, or cuts the connection if an answer has begun. */
  refuse (fault: Fault): void {
    if (this.#ended) return
    if (!this.response.headersSent) this.response.setHeader(this.#idHeader, this.id)
    answerFault(this.response, fault)
    this.finish(`${fault.code} ${fault.status}`)
  }

  /** Ends the request, because its answer is complete or nothing more can be sent to its caller. */
  finish (outcome: string): void {
    if (this.#ended) return
    this.#ended = true
    this.#timer.cancel()
    for (const cancel of this.#cancels) cancel()
    this.#cancels.clear()
    this.#onEnd(this, outcome)
  }

  #identify (names: CallerRequestOptions['names']): RequestIdentity {
    const { incoming: { method = '', url = '', headers }, team, body } = this
    const prompt = { model: this.header(names.model) ?? '', parts: this.header(names.parts) }
    return new LazyIdentity({ method, host: headers.host ?? '', target: url, team: team?.name ?? '', body }, prompt)
  }

  #expire (): void {
    this.refuse(refusals.deadline(this.attempted))
  }

  #close (): void {
    this.finish(this.response.writableFinished ? 'answered' : 'caller left')
  }
}
