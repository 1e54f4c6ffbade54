import { type InFlightRequest } from '@eiderwind/detect'
import { Receiver, type AnswerHeaders, type CallFailure, type Cancel, type Flow } from '@eiderwind/wire'
import { type Upstream } from '@eiderwind/roster'
import { answerHeader, belongs, saysNotRun } from './answers.js'
import { type Context } from './context.js'
import { type CallerRequest } from './request.js'
import { outgoing } from './outgoing.js'

/** A whole answer. */
export interface Answered {
  readonly kind: 'answered'
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Buffer
}

/** How one attempt at an upstream ended, for whoever decides what comes next. */
export type Ending =
  | Answered
  /** Its answer was passed on whole. */
  | { readonly kind: 'passed' }
  /** It certainly did not run: the upstream said so, or nothing was sent. */
  | { readonly kind: 'not-run', readonly why: string, readonly sent: boolean }
  /** Nobody can tell whether it ran, or it ran and its answer is lost. */
  | { readonly kind: 'lost', readonly why: string }

/** Longest answer that is collected before it is passed on, in bytes. */
const mostCollected = 8 * 2 ** 20

/** Errors after which an upstream is taken to be gone or cut off. */
const unreached = new Set(['UND_ERR_CONNECT_TIMEOUT', 'ECONNREFUSED', 'EHOSTUNREACH'])

/** What is done to begin an attempt. */
export interface AttemptOptions {
  readonly context: Context
  readonly exchange: CallerRequest
  readonly upstream: Upstream
  /** The model that is asked for; empty where there is none. */
  readonly model: string
  readonly lastEvent?: number
  /** Whether a new connection is opened for it. */
  readonly fresh: boolean
  readonly ended: (ending: Ending) => void
}

/** One send of a request to one upstream. Subclasses say what is done with an answer that came well. */
export abstract class Attempt extends Receiver {
  readonly upstream: Upstream
  readonly #options: AttemptOptions
  #flight: InFlightRequest | undefined
  #cancel: Cancel | undefined
  #flow: Flow | undefined
  #headers: AnswerHeaders = {}
  #status = 0
  #chunks: Buffer[] = []
  #size = 0
  #taken = false
  #over = false

  constructor (options: AttemptOptions) {
    super()
    this.#options = options
    this.upstream = options.upstream
  }

  /** Whether answers of this status and head are taken part by part, and not collected. */
  protected abstract takes (status: number, headers: AnswerHeaders): boolean
  /** Begins to take an answer. */
  protected abstract begin (status: number, headers: AnswerHeaders): void
  protected abstract take (chunk: Buffer): void
  /** Whether the answer that was taken is whole at its end. */
  protected abstract whole (): boolean

  protected get exchange (): CallerRequest {
    return this.#options.exchange
  }

  protected get context (): Context {
    return this.#options.context
  }

  protected get flow (): Flow | undefined {
    return this.#flow
  }

  /** Told when the upstream is taken to stand still. */
  protected stalled (): void {}

  start (): void {
    const { context, exchange, upstream, model, lastEvent, fresh } = this.#options
    exchange.tried.add(upstream.id)
    exchange.sends++
    exchange.running = upstream.id
    context.suspects.tried(upstream.id)
    this.#flight = context.inFlight.begin(upstream.id, model, () => this.stalled())
    this.#cancel = context.connections.send(outgoing(exchange, upstream, context.names, lastEvent), this, fresh)
    if (this.#over) this.#cancel(new Error('The attempt is over.'))
    else exchange.working(() => this.abandon('no longer waited for'))
  }

  /** Stops it: its connection is cut and nothing more of it is taken. */
  abandon (why: string): void {
    this.#end({ kind: 'lost', why })
    this.#cancel?.(new Error(why))
  }

  head (status: number, headers: AnswerHeaders, flow: Flow): void {
    if (this.#over) return
    const { context, exchange } = this.#options
    if (!belongs(headers, exchange.id, context.names)) {
      context.log.write('answer-foreign', { request: exchange.id, upstream: this.upstream.id, other: answerHeader(headers, context.names.request) ?? '' })
      return this.abandon('an answer of another request came')
    }
    this.#heard()
    this.#flow = flow
    this.#status = status
    this.#headers = headers
    this.#taken = !saysNotRun(status, headers, context.names) && this.takes(status, headers)
    if (this.#taken) this.begin(status, headers)
  }

  data (chunk: Buffer): void {
    if (this.#over) return
    this.#heard()
    if (this.#taken) return this.take(chunk)
    this.#size += chunk.length
    this.#chunks.push(chunk)
    if (this.#size > mostCollected) this.abandon('the answer is too long')
  }

  end (): void {
    if (this.#over) return
    const { context } = this.#options
    if (this.#taken) return this.#end(this.whole() ? { kind: 'passed' } : { kind: 'lost', why: 'the stream ended in the middle of an event' })
    if (saysNotRun(this.#status, this.#headers, context.names)) {
      return this.#end({ kind: 'not-run', why: `the upstream answered ${this.#status}`, sent: true })
    }
    this.#end({ kind: 'answered', status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks) })
  }

  fail ({ error, sent }: CallFailure): void {
    if (this.#over) return
    // An upstream that says that it did not run the request has said so with its head.
    const refused = this.#status > 0 && saysNotRun(this.#status, this.#headers, this.#options.context.names)
    if (unreached.has((error as { code?: string }).code ?? '')) this.#options.context.suspects.add(this.upstream.id)
    if (refused || !sent) this.#end({ kind: 'not-run', why: error.message, sent: refused })
    else this.#end({ kind: 'lost', why: error.message })
  }

  #heard (): void {
    if (this.#flight !== undefined) this.#options.context.inFlight.received(this.#flight)
    this.#options.context.suspects.received(this.upstream.id)
  }

  #end (ending: Ending): void {
    if (this.#over) return
    this.#over = true
    if (this.#flight !== undefined) this.#options.context.inFlight.end(this.#flight)
    this.#chunks = []
    this.#options.ended(ending)
  }
}

/** An attempt whose answer is collected whole. */
export class CollectAttempt extends Attempt {
  protected takes (): boolean {
    return false
  }

  protected begin (): void {}
  protected take (): void {}

  protected whole (): boolean {
    return true
  }
}
