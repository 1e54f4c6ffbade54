/**
 * One send of a request to one upstream, until the result is known. It owns the call and the collected bytes of its
 * answer, and reports to `InFlight` and `Suspects` what was sent to and received from the upstream. It relies on
 * `Connections` to report whether any part of a failed call was sent.
 */
import { type Trial } from '@eiderwind/crashes'
import { type InFlightRequest } from '@eiderwind/detect'
import { isSuccess, type AttemptResult } from '@eiderwind/dispatch'
import { type Upstream } from '@eiderwind/roster'
import { Bytes, Receiver, endsWithConnection, type AnswerHeaders, type CallFailure, type Cancel, type Flow } from '@eiderwind/wire'
import { answerHeader, matchesRequest, reportsNotRun } from './answers.js'
import { type Context } from './context.js'
import { outgoingCall } from './outgoing.js'
import { Reading, type PauseReason } from './reading.js'
import { type CallerRequest } from './request.js'
import { Survival } from './survival.js'

/** Maximum size of a collected answer and of a stream event, in bytes. It bounds memory. */
export const maxCollectedBytes = 8 * 2 ** 20

/** Error codes of a connection that was not established. The upstream is suspected after one of them. */
const unreachableCodes = new Set(['UND_ERR_CONNECT_TIMEOUT', 'ECONNREFUSED', 'EHOSTUNREACH'])

/** Maximum number of characters of a header value of an upstream in a log line. */
const maxLoggedChars = 40

/** Why a request should move: its upstream is silent, or works and is to be left. */
export type MoveCause = 'silent' | 'planned'

/** Options of an attempt. */
export interface AttemptOptions {
  readonly context: Context
  readonly request: CallerRequest
  readonly upstream: Upstream
  /** The requested model; empty if there is none. */
  readonly model: string
  /** Id of the last event that the caller received, if a stream is resumed. */
  readonly lastEvent?: number
  /** Whether to open a new connection instead of reusing an idle one. */
  readonly newConnection: boolean
  /** The trial that is notified of the attempt's progress, if the request is suspected of crashing its upstreams. */
  readonly trial: Trial | undefined
  /** Whether the request may be sent now. Called when its connection is ready. Default: always. */
  readonly mayBegin?: () => boolean
  /**
   * Called when the request should move to another upstream, with the reason; possibly several times. Returns whether
   * it moves.
   */
  readonly onMove?: (why: string, cause: MoveCause) => boolean
  /** Called once, with the result. */
  readonly onEnd: (result: AttemptResult) => void
}

/** One send of a request to one upstream. Subclasses define what happens to a successful answer. */
export abstract class Attempt extends Receiver {
  readonly #options: AttemptOptions
  #inFlight: InFlightRequest | undefined
  #cancel: Cancel | undefined
  readonly #reading = new Reading()
  #trial: Trial | undefined
  #removeCancel: (() => void) | undefined
  #status = 0
  #headers: AnswerHeaders = {}
  /** Whether anything of the request may have left this process. */
  #written = false
  #forwarded = false
  readonly #survival = new Survival()
  readonly #bytes = new Bytes()
  #ended = false

  constructor (options: AttemptOptions) {
    super()
    this.#options = options
    this.#trial = options.trial
  }

  /** Whether the upstream sends parts of the answer at a steady pace, so that a silence shows that it has stalled. */
  protected abstract readonly isSteady: boolean
  /** Whether an answer is forwarded as it arrives instead of being collected. */
  protected abstract isForwarded (status: number, headers: AnswerHeaders): boolean
  /** Forwards the status and headers of an answer. */
  protected abstract onHead (status: number, headers: AnswerHeaders): void
  /** Forwards a part of the body. */
  protected abstract onChunk (chunk: Buffer): void
  /** Whether a forwarded answer is complete when it ends. */
  protected abstract isComplete (): boolean

  protected get request (): CallerRequest {
    return this.#options.request
  }

  /** Stops reading from the upstream. The upstream is not expected to send anything until `resume`. */
  protected pause (reason: PauseReason): void {
    const { context } = this.#options
    if (this.#ended) return
    this.#reading.pause(reason)
    this.#survival.paused()
    if (this.#inFlight !== undefined) context.inFlight.pause(this.#inFlight)
  }

  /** Continues reading after `pause`, unless there is another reason not to. */
  protected resume (reason: PauseReason): void {
    const { context } = this.#options
    if (this.#ended) return
    this.#reading.resume(reason, () => { if (this.#inFlight !== undefined) context.inFlight.resume(this.#inFlight) })
  }

  start (): void {
    const { context, request, upstream, model, lastEvent, newConnection, onMove } = this.#options
    request.beginAttempt(upstream.id)
    context.suspects.recordTry(upstream.id)
    this.#inFlight = context.inFlight.begin(upstream.id, model, {
      stalled: () => { onMove?.('the upstream stalled', 'silent') },
      moved: why => onMove?.(why, 'planned') === true,
      lost: () => this.#lose('the upstream has restarted', true),
      withdrawn: why => this.#withdraw(why)
    })
    if (!this.isSteady) context.inFlight.pause(this.#inFlight)
    this.#cancel = context.connections.send(outgoingCall(request, upstream, context.names, lastEvent), this, newConnection)
    if (this.#ended) this.#cancel(new Error('The attempt has ended.'))
    else this.#removeCancel = request.cancelWith(() => this.abort('the request has ended'))
  }

  /** Ends the attempt as lost and closes its connection. */
  abort (why: string): void {
    this.#lose(why)
  }

  /** Ends the attempt, and closes its connection, because another one goes on. */
  cancel (why: string): void {
    this.#end({ kind: 'cancelled', why, sent: this.#written })
    this.#cancel?.(new Error(why))
  }

  /** Ends the trial that the attempt belongs to, so that the next attempt of its request may begin another one. */
  leaveTrial (): void {
    this.#trial?.end()
    this.#trial = undefined
  }

  /** Cancels the attempt unless it is already being sent. A call that waits for its connection fails as not sent. */
  #withdraw (why: string): void {
    if (!this.#written) this.#cancel?.(new Error(why))
  }

  /** Ends the attempt as lost. @param broken whether the upstream broke the connection */
  #lose (why: string, broken?: true): void {
    this.#end({ kind: 'lost', why, broken })
    this.#cancel?.(new Error(why))
  }

  override mayBegin (): boolean {
    return this.#options.mayBegin?.() ?? true
  }

  override begun (): void {
    const { context, request } = this.#options
    this.#written = true
    context.written?.(request)
  }

  head (status: number, headers: AnswerHeaders, flow: Flow): void {
    if (this.#ended) return
    const { context, request, upstream } = this.#options
    if (!matchesRequest(headers, request.id, context.names)) {
      context.log.write('answer-foreign', { request: request.id, upstream: upstream.id, other: answerHeader(headers, context.names.request) ?? '' })
      return this.abort('the answer carries the id of another request')
    }
    this.#received()
    this.#reading.attach(flow)
    this.#status = status
    this.#headers = headers
    context.answered(upstream, { status, headers, refused: this.#reportsNotRun, sentAt: this.#inFlight?.sentAt ?? 0 })
    if (endsWithConnection(request.incoming.method, status, headers)) context.beganUnframed?.(upstream)
    this.#forwarded = !this.#reportsNotRun && this.isForwarded(status, headers)
    if (this.#forwarded) this.onHead(status, headers)
  }

  data (chunk: Buffer): void {
    if (this.#ended) return
    this.#received()
    this.#survival.received(this.#options.context.clock.now())
    if (this.#survival.isShown) this.#options.context.crashes.recordSurvived(this.request.identity)
    if (this.#forwarded) return this.onChunk(chunk)
    this.#bytes.add(chunk)
    if (this.#bytes.size > maxCollectedBytes) this.abort('the answer is too long')
  }

  end (): void {
    if (this.#ended) return
    if (this.#reportsNotRun) {
      return this.#end({ kind: 'not-run', why: `the upstream answered ${this.#status}${this.#retryAfterNote}`, sent: true })
    }
    if (this.#forwarded && !this.isComplete()) {
      return this.#end({ kind: 'lost', why: 'the stream ended in the middle of an event', broken: true })
    }
    if (endsWithConnection(this.request.incoming.method, this.#status, this.#headers)) this.#endUnlessCut()
    else this.#complete()
  }

  /** Ends an attempt whose answer may have ended because its upstream did, or stopped serving its replica. */
  #endUnlessCut (): void {
    const { context, upstream } = this.#options
    // The whole answer has arrived: its upstream sends nothing more.
    if (this.#inFlight !== undefined) context.inFlight.pause(this.#inFlight)
    context.serves(upstream).then(serves => {
      if (serves) this.#complete()
      else this.#end({ kind: 'lost', why: 'the upstream stopped serving together with an answer without a length', broken: true })
    }, error => this.#end({ kind: 'lost', why: String(error), broken: true }))
  }

  #complete (): void {
    this.#end(this.#forwarded ? { kind: 'passed' } : { kind: 'answered', status: this.#status, headers: this.#headers, body: this.#bytes.take() })
  }

  fail ({ error, sent }: CallFailure): void {
    if (this.#ended) return
    const { context, upstream } = this.#options
    if (unreachableCodes.has((error as { code?: string }).code ?? '')) context.suspects.add(upstream.id)
    // An upstream may leave its answer incomplete if the headers report that the request did not run.
    const refused = this.#status > 0 && this.#reportsNotRun
    if (refused || !sent) this.#end({ kind: 'not-run', why: error.message, sent: refused })
    else this.#end({ kind: 'lost', why: error.message, broken: true })
  }

  /** Whether the upstream reported that it did not run the request. */
  get #reportsNotRun (): boolean {
    return reportsNotRun(this.#status, this.#headers, this.#options.context.names)
  }

  /**
   * The `Retry-After` of the answer, for the log. The log shows the value as it arrived, since the value decides what
   * may be sent to the upstream.
   */
  get #retryAfterNote (): string {
    const retryAfter = answerHeader(this.#headers, 'retry-after')
    return retryAfter === undefined ? '' : `, Retry-After ${retryAfter.slice(0, maxLoggedChars)}`
  }

  #received (): void {
    const { context, upstream } = this.#options
    if (this.#inFlight !== undefined) context.inFlight.received(this.#inFlight)
    context.suspects.received(upstream.id)
    this.#trial?.received()
  }

  #end (result: AttemptResult): void {
    if (this.#ended) return
    this.#ended = true
    const { context: { inFlight }, onEnd } = this.#options
    this.#removeCancel?.()
    if (this.#inFlight !== undefined) inFlight.end(this.#inFlight)
    this.#trial?.end()
    this.#reportToCrashes(result)
    this.#bytes.take()
    onEnd(result)
  }

  /**
   * Reports the result to `Crashes`. An attempt whose connection breaks may have crashed its upstream; one that
   * completes has not.
   */
  #reportToCrashes (result: AttemptResult): void {
    const { context: { crashes }, request, upstream } = this.#options
    if (result.kind === 'lost' && result.broken === true) crashes.recordBroken(request.identity, upstream, { survived: this.#survival.isShown, trial: this.#trial !== undefined })
    else if (isSuccess(result)) crashes.recordCompleted(request.identity)
  }
}

/** An attempt that collects the whole answer. */
export class CollectAttempt extends Attempt {
  protected readonly isSteady = false

  protected isForwarded (): boolean {
    return false
  }

  protected onHead (): void {}
  protected onChunk (): void {}

  protected isComplete (): boolean {
    return true
  }
}
