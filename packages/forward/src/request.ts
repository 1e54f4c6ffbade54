import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'
import { type Route, type Team } from '@eiderwind/traffic'
import { answerFault } from '@eiderwind/wire'
import { type Ending } from './attempt.js'

/** One request of a caller, read and found proper. */
export interface CallerRequestOptions {
  readonly clock: Clock
  readonly id: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer | undefined
  readonly route: Route
  readonly service: string
  readonly team: Team | undefined
  readonly arrivedAt: number
  /** When the caller stops waiting or the route's time is over, on `Clock.now`. */
  readonly endsAt: number
  /** The header under which the request's id goes back. */
  readonly idName: string
  /** Told once how it ended. */
  readonly ended: (exchange: CallerRequest, outcome: string) => void
}

/** What one caller's request has come to. It is answered once, and its work stops when its caller leaves or its time is over. */
export class CallerRequest {
  readonly id: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer | undefined
  readonly route: Route
  readonly service: string
  readonly team: Team | undefined
  readonly arrivedAt: number
  readonly endsAt: number
  /** Upstreams that were tried. */
  readonly tried = new Set<string>()
  /** How many of them may have got it. */
  sends = 0
  /** The upstream that has it now, if any. */
  running: string | undefined
  /** What became of it so far, for the log. */
  readonly story: string[] = []
  readonly #clock: Clock
  readonly #idName: string
  readonly #ended: (exchange: CallerRequest, outcome: string) => void
  readonly #timer: Subscription
  #cancel: (() => void) | undefined
  #over = false

  constructor (options: CallerRequestOptions) {
    this.id = options.id
    this.request = options.request
    this.response = options.response
    this.body = options.body
    this.route = options.route
    this.service = options.service
    this.team = options.team
    this.arrivedAt = options.arrivedAt
    this.endsAt = options.endsAt
    this.#clock = options.clock
    this.#idName = options.idName
    this.#ended = options.ended
    this.#timer = options.clock.after(Math.max(0, options.endsAt - options.clock.now()), () => this.#expire())
    this.response.once('close', () => this.#closed())
  }

  /** Whether an upstream may have begun to work on it. */
  get offered (): boolean {
    return this.tried.size > 0
  }

  /** Whether it is answered, or nobody waits for the answer any more. */
  get over (): boolean {
    return this.#over
  }

  /** Time that is left, in ms. */
  get left (): number {
    return this.endsAt - this.#clock.now()
  }

  /** 0 is the most urgent. */
  get priority (): number {
    return this.team?.priority ?? this.route.priority
  }

  /** Whether it may run more than once. */
  get repeatable (): boolean {
    return this.route.kind === 'repeatable' || (this.route.kind === 'stream' && this.route.resumable)
  }

  /** Whether it may be sent to one more upstream. */
  get mayGoOn (): boolean {
    return this.sends < this.route.attempts
  }

  /** Notes how an attempt ended. One that never left counts for nothing. @param event the last event of a stream that was passed on */
  tell (upstream: string, ending: Ending, event?: number): void {
    if (ending.kind === 'not-run' && !ending.sent) this.sends--
    this.running = undefined
    const at = Math.round(this.#clock.now() - this.arrivedAt)
    const how = ending.kind === 'answered' ? String(ending.status) : ending.kind
    const why = 'why' in ending ? ` (${ending.why})` : ''
    this.story.push(`${upstream} ${how}${why}${event === undefined ? '' : ` after event ${event}`} at ${at} ms`)
  }

  /** Sets what stops the work that is under way. */
  working (cancel: () => void): void {
    this.#cancel = cancel
    if (this.#over) cancel()
  }

  /** Ends it with a fault; cuts it where its answer has begun. */
  refuse (fault: Fault): void {
    if (this.#over) return
    if (!this.response.headersSent) this.response.setHeader(this.#idName, this.id)
    answerFault(this.response, fault)
    this.finish(`${fault.code} ${fault.status}`)
  }

  /** Notes that its answer is whole, or that nothing more will come of it. */
  finish (outcome: string): void {
    if (this.#over) return
    this.#over = true
    this.#timer.cancel()
    const cancel = this.#cancel
    this.#cancel = undefined
    cancel?.()
    this.#ended(this, outcome)
  }

  #expire (): void {
    if (this.offered) this.refuse(new Fault('deadline', { outcome: 'unknown' }))
    else this.refuse(new Fault('deadline'))
  }

  #closed (): void {
    this.finish(this.response.writableFinished ? 'answered' : 'caller left')
  }
}
