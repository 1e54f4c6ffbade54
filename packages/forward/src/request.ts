/**
 * The life of one caller's request: its deadline, its caller leaving, the attempts to have it served, and the one answer
 * that it gets. Owns the response and the timer of the deadline. Relies on the paths (`PlainPath`, `StreamPath`) to
 * register how the current work is stopped.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { fingerprint } from '@eiderwind/crashes'
import { refusals, type AttemptResult, type Shortage } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { type Route, type Team } from '@eiderwind/traffic'
import { answerFault } from '@eiderwind/wire'
import { type Deliveries, type Delivery } from './delivery.js'
import { Timing } from './timing.js'

/** A request that was read and admitted. Times are in ms, on `Clock.now`. */
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
  /** How much of its time its caller had spent before, on earlier tries; 0 on the first one, or where that is not known. */
  readonly spent?: number
  /** The header in which the request's id is returned on a refusal. */
  readonly idHeader: string
  /** What brings answers to callers as they read. */
  readonly deliveries: Deliveries
  /** Called once, when the request has ended, with its outcome. */
  readonly onEnd: (request: CallerRequest, outcome: string) => void
}

/** One caller's request. It is answered once, and its work stops when its caller leaves or its deadline passes. */
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
  /** One line for each attempt that has ended: upstream, kind of result, details. Written to the log. */
  readonly attempts: string[] = []
  /** Where its time went. */
  readonly timing: Timing
  /** How its caller gets the answer. */
  readonly delivery: Delivery
  /** Whether it is sent to no upstream any more, since it crashes them. */
  blocked = false
  /** Why it found no room, if it did not and the queue says so. */
  shortage: Shortage | undefined
  /** The gateway in whose queue it had no prospect of a place in time. */
  queuedAt: string | undefined
  readonly #clock: Clock
  readonly #idHeader: string
  readonly #onEnd: (request: CallerRequest, outcome: string) => void
  readonly #timer: Subscription
  readonly #tried = new Set<string>()
  #fingerprint: string | undefined
  #lost = false
  /** Attempts that count against the route's limit: those of which something may have reached the upstream. */
  #sends = 0
  #currentUpstream: string | undefined
  #cancel: (() => void) | undefined
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
    this.#idHeader = options.idHeader
    this.#onEnd = options.onEnd
    this.delivery = options.deliveries.open(options.response, options.id, () => this.finish('stalled'))
    this.#timer = options.clock.after(Math.max(0, options.endsAt - options.clock.now()), () => this.#expire())
    this.response.once('close', () => this.#close())
  }

  /** Ids of the upstreams at which an attempt was started. */
  get tried (): ReadonlySet<string> {
    return this.#tried
  }

  /** Id of the upstream of the attempt under way. */
  get currentUpstream (): string | undefined {
    return this.#currentUpstream
  }

  /** Whether an attempt was started, so that an upstream may have begun to work on it. */
  get offered (): boolean {
    return this.#tried.size > 0
  }

  /** By what it is known again when its caller sends it anew. Made when it is first asked for. */
  get fingerprint (): string {
    const { incoming: { method = '', url = '', headers: { host = '' } }, team, body } = this
    this.#fingerprint ??= fingerprint({ method, host, target: url, team: team?.name ?? '', body })
    return this.#fingerprint
  }

  /** Whether the answer of an attempt was lost, so that the request may have run in vain. */
  get lost (): boolean {
    return this.#lost
  }

  /** Whether it was answered, refused or cut, or its caller has left. */
  get ended (): boolean {
    return this.#ended
  }

  /** Time until its deadline, in ms. */
  get timeLeft (): number {
    return this.endsAt - this.#clock.now()
  }

  /** 0 is the most urgent. A priority of the team goes before that of the route. */
  get priority (): number {
    return this.team?.priority ?? this.route.priority
  }

  /** Whether it may run more than once. */
  get repeatable (): boolean {
    return this.route.kind === 'repeatable' || (this.route.kind === 'stream' && this.route.resumable)
  }

  /** Whether the route allows one more attempt. */
  get hasAttemptsLeft (): boolean {
    return this.#sends < this.route.attempts
  }

  /** Records that an attempt is being started. */
  beginAttempt (upstream: string): void {
    this.#tried.add(upstream)
    this.#sends++
    this.#currentUpstream = upstream
    this.timing.sent(this.#clock.now())
  }

  /** Records that the caller gets a part of its answer now. */
  passOn (): void {
    this.timing.passed(this.#clock.now())
  }

  /** Records how an attempt ended. One that was never sent does not count. @param lastEvent id of the last event of a stream that was passed on */
  endAttempt (upstream: string, result: AttemptResult, lastEvent?: number): void {
    if (result.kind === 'not-run' && !result.sent) this.#sends--
    if (result.kind === 'lost') this.#lost = true
    this.#currentUpstream = undefined
    const at = Math.round(this.#clock.now() - this.arrivedAt)
    const how = result.kind === 'answered' ? String(result.status) : result.kind
    const why = 'why' in result ? ` (${result.why})` : ''
    const after = lastEvent === undefined ? '' : ` after event ${lastEvent}`
    this.attempts.push(`${upstream} ${how}${why}${after} at ${at} ms`)
  }

  /** Sets the function that stops the current work, in place of the last one. It is called once the request has ended, at once if it has. */
  cancelWith (cancel: () => void): void {
    this.#cancel = cancel
    if (this.#ended) cancel()
  }

  /** Answers with a refusal, or cuts the connection if an answer has begun. */
  refuse (fault: Fault): void {
    if (this.#ended) return
    if (!this.response.headersSent) this.response.setHeader(this.#idHeader, this.id)
    answerFault(this.response, fault)
    this.finish(`${fault.code} ${fault.status}`)
  }

  /** Ends the request: its answer is complete, or nothing more can be sent to its caller. */
  finish (outcome: string): void {
    if (this.#ended) return
    this.#ended = true
    this.#timer.cancel()
    const cancel = this.#cancel
    this.#cancel = undefined
    cancel?.()
    this.#onEnd(this, outcome)
  }

  #expire (): void {
    this.refuse(refusals.deadline(this.offered))
  }

  #close (): void {
    this.finish(this.response.writableFinished ? 'answered' : 'caller left')
  }
}
