/**
 * One send of a request to one upstream, until its result is known. Owns the call and the collected bytes of its answer;
 * reports to `InFlight` and `Suspects` what was sent to and received from the upstream. Relies on `Connections` to report
 * whether anything of a failed call was sent.
 */
import { type Trial } from '@eiderwind/crashes'
import { type InFlightRequest } from '@eiderwind/detect'
import { isSuccess, type AttemptResult } from '@eiderwind/dispatch'
import { type Upstream } from '@eiderwind/roster'
import { Receiver, type AnswerHeaders, type CallFailure, type Cancel, type Flow } from '@eiderwind/wire'
import { answerHeader, belongs, saysNotRun } from './answers.js'
import { type Context } from './context.js'
import { outgoingCall } from './outgoing.js'
import { type CallerRequest } from './request.js'

/** Longest answer that is collected, and longest event of a stream, in bytes: a bound on memory. */
export const maxCollected = 8 * 2 ** 20

/** Errors of a connection that did not come up, after which the upstream is suspected. */
const unreachable = new Set(['UND_ERR_CONNECT_TIMEOUT', 'ECONNREFUSED', 'EHOSTUNREACH'])

/** Characters of an upstream's own text that the log shows. */
const longestShown = 40

/** Options of an attempt. */
export interface AttemptOptions {
  readonly context: Context
  readonly request: CallerRequest
  readonly upstream: Upstream
  /** The model that is asked for; empty if there is none. */
  readonly model: string
  /** Id of the last event that the caller has, if a stream is resumed. */
  readonly lastEvent?: number
  /** Whether it goes over a new connection, never over a kept one. */
  readonly newConnection: boolean
  /** What is told how a request fares that is suspected of crashing its upstreams. */
  readonly trial: Trial | undefined
  /** Called when the request should go on elsewhere, with the reason; perhaps several times. Returns whether it does. */
  readonly onMove?: (why: string) => boolean
  /** Called once, with the result. */
  readonly onEnd: (result: AttemptResult) => void
}

/** One send of a request to one upstream. Subclasses say what is done with a good answer. */
export abstract class Attempt extends Receiver {
  readonly #options: AttemptOptions
  #inFlight: InFlightRequest | undefined
  #cancel: Cancel | undefined
  #flow: Flow | undefined
  #status = 0
  #headers: AnswerHeaders = {}
  /** Whether anything of the request may have left this process. */
  #written = false
  #passedOn = false
  #chunks: Buffer[] = []
  #size = 0
  #ended = false

  constructor (options: AttemptOptions) {
    super()
    this.#options = options
  }

  /** Whether an answer is passed on while it arrives, and not collected. */
  protected abstract passesOn (status: number): boolean
  /** Passes on the status and headers of an answer. */
  protected abstract onHead (status: number, headers: AnswerHeaders): void
  /** Passes on a part of the body. */
  protected abstract onChunk (chunk: Buffer): void
  /** Whether an answer that was passed on is complete when it ends. */
  protected abstract isComplete (): boolean

  protected get request (): CallerRequest {
    return this.#options.request
  }

  /** Reads no further from the upstream, which owes nothing until it is read again. */
  protected pause (): void {
    const { context } = this.#options
    if (this.#ended) return
    this.#flow?.pause()
    if (this.#inFlight !== undefined) context.inFlight.pause(this.#inFlight)
  }

  /** Reads on after `pause`. */
  protected resume (): void {
    const { context } = this.#options
    if (this.#ended) return
    if (this.#inFlight !== undefined) context.inFlight.resume(this.#inFlight)
    this.#flow?.resume()
  }

  start (): void {
    const { context, request, upstream, model, lastEvent, newConnection, onMove } = this.#options
    request.beginAttempt(upstream.id)
    context.suspects.tried(upstream.id)
    this.#inFlight = context.inFlight.begin(upstream.id, model, {
      stalled: () => { onMove?.('the upstream stalled') },
      moved: onMove,
      lost: () => this.#lose('the upstream has started again', true),
      withdrawn: why => this.#withdraw(why)
    })
    this.#cancel = context.connections.send(outgoingCall(request, upstream, context.names, lastEvent), this, newConnection)
    if (this.#ended) this.#cancel(new Error('The attempt has ended.'))
    else request.cancelWith(() => this.abort('the request has ended'))
  }

  /** Ends it with its answer lost, and cuts its connection. */
  abort (why: string): void {
    this.#lose(why)
  }

  /** Does not send it, unless it is being sent already: a call that waits for its connection fails as not sent. */
  #withdraw (why: string): void {
    if (!this.#written) this.#cancel?.(new Error(why))
  }

  /** @param broken whether it is the upstream that broke off */
  #lose (why: string, broken?: true): void {
    this.#end({ kind: 'lost', why, broken })
    this.#cancel?.(new Error(why))
  }

  override begun (): void {
    this.#written = true
  }

  head (status: number, headers: AnswerHeaders, flow: Flow): void {
    if (this.#ended) return
    const { context, request, upstream } = this.#options
    if (!belongs(headers, request.id, context.names)) {
      context.log.write('answer-foreign', { request: request.id, upstream: upstream.id, other: answerHeader(headers, context.names.request) ?? '' })
      return this.abort('an answer of another request came')
    }
    this.#received()
    this.#flow = flow
    this.#status = status
    this.#headers = headers
    context.answered(upstream, { status, headers, refused: this.#saysNotRun, sentAt: this.#inFlight?.sentAt ?? 0 })
    this.#passedOn = !this.#saysNotRun && this.passesOn(status)
    if (this.#passedOn) this.onHead(status, headers)
  }

  data (chunk: Buffer): void {
    if (this.#ended) return
    this.#received()
    if (this.#passedOn) return this.onChunk(chunk)
    this.#size += chunk.length
    this.#chunks.push(chunk)
    if (this.#size > maxCollected) this.abort('the answer is too long')
  }

  end (): void {
    if (this.#ended) return
    if (this.#passedOn) {
      return this.#end(this.isComplete() ? { kind: 'passed' } : { kind: 'lost', why: 'the stream ended in the middle of an event', broken: true })
    }
    if (this.#saysNotRun) {
      return this.#end({ kind: 'not-run', why: `the upstream answered ${this.#status}${this.#saidRetryAfter}`, sent: true })
    }
    this.#end({ kind: 'answered', status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks) })
  }

  fail ({ error, sent }: CallFailure): void {
    if (this.#ended) return
    const { context, upstream } = this.#options
    if (unreachable.has((error as { code?: string }).code ?? '')) context.suspects.add(upstream.id)
    // An upstream that says in the head of its answer that it did not run the request need not finish the answer.
    const refused = this.#status > 0 && this.#saysNotRun
    if (refused || !sent) this.#end({ kind: 'not-run', why: error.message, sent: refused })
    else this.#end({ kind: 'lost', why: error.message, broken: true })
  }

  /** Whether the upstream has said that it did not run the request. */
  get #saysNotRun (): boolean {
    return saysNotRun(this.#status, this.#headers, this.#options.context.names)
  }

  /** What an answer said of when to come back, for the log: as it came, since it decides what may be sent there. */
  get #saidRetryAfter (): string {
    const said = answerHeader(this.#headers, 'retry-after')
    return said === undefined ? '' : `, Retry-After ${said.slice(0, longestShown)}`
  }

  #received (): void {
    const { context, upstream } = this.#options
    if (this.#inFlight !== undefined) context.inFlight.received(this.#inFlight)
    context.suspects.received(upstream.id)
    this.#options.trial?.received()
  }

  #end (result: AttemptResult): void {
    if (this.#ended) return
    this.#ended = true
    const { context: { inFlight }, trial, onEnd } = this.#options
    if (this.#inFlight !== undefined) inFlight.end(this.#inFlight)
    trial?.end()
    this.#tellCrashes(result)
    this.#chunks = []
    onEnd(result)
  }

  /** An attempt that breaks off may have crashed its upstream; one that runs to its end has not. */
  #tellCrashes (result: AttemptResult): void {
    const { context: { crashes }, request, upstream } = this.#options
    if (result.kind === 'lost' && result.broken === true) crashes.broke(request, upstream)
    else if (isSuccess(result)) crashes.served(request)
  }
}

/** An attempt whose answer is collected whole. */
export class CollectAttempt extends Attempt {
  protected passesOn (): boolean {
    return false
  }

  protected onHead (): void {}
  protected onChunk (): void {}

  protected isComplete (): boolean {
    return true
  }
}
