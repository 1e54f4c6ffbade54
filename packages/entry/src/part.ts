/**
 * One part of a streamed completion: the answer of a single replica. Owns the body of an answer that is not a stream.
 * `stream.ts` joins the parts.
 */
import { type ServerResponse } from 'node:http'
import { Fault } from '@eiderwind/fault'
import { Receiver, wireHeaders, type AnswerHeaders, type CallFailure, type Flow } from '@eiderwind/wire'
import { isOwnAnswer } from './attempting.js'
import { type Context } from './context.js'
import { type Attempt } from './exchange.js'
import { failure, workerFault, type Failure } from './outcome.js'

/** The end of one part. */
export type PartEnd =
  | { readonly type: 'done' }
  | { readonly type: 'failed', readonly failure: Failure }

/** Receives the answer of one replica for a stream. */
export class Part extends Receiver {
  readonly #context: Context
  readonly #attempt: Attempt
  readonly #listener: PartListener
  readonly #response: ServerResponse
  readonly #otherBody: Buffer[] = []
  #status = 0
  #headers: AnswerHeaders = {}
  #flow: Flow | undefined
  #isForeign = false

  constructor (context: Context, attempt: Attempt, listener: PartListener, response: ServerResponse) {
    super()
    this.#context = context
    this.#attempt = attempt
    this.#listener = listener
    this.#response = response
  }

  head (status: number, headers: AnswerHeaders, flow: Flow): void {
    this.#status = status
    this.#headers = headers
    this.#flow = flow
    if (status !== 200) return
    this.#isForeign = !isOwnAnswer(this.#context, this.#attempt, headers[wireHeaders.attempt])
    if (this.#isForeign) flow.abort(new Error('The answer belongs to another attempt.'))
    else this.#listener.begin(headers)
  }

  data (chunk: Buffer): void {
    if (this.#isForeign) return
    if (this.#status !== 200) {
      this.#otherBody.push(chunk)
      return
    }
    if (this.#listener.forwardEvents(chunk) || this.#flow === undefined) return
    const flow = this.#flow
    flow.pause()
    this.#response.once('drain', () => flow.resume())
  }

  end (): void {
    if (this.#status === 200) return this.#failed('interrupted')
    const body = Buffer.concat(this.#otherBody)
    const fault = workerFault(this.#status, this.#headers, body)
    if (fault !== undefined) this.#listener.ended({ type: 'failed', failure: failure(fault) })
    else this.#listener.ended(this.#listener.forwardAnswer(this.#status, this.#headers, body))
  }

  fail ({ sent }: CallFailure): void {
    this.#failed(sent ? 'interrupted' : 'upstream-down')
  }

  #failed (code: 'interrupted' | 'upstream-down'): void {
    this.#listener.ended({ type: 'failed', failure: failure(new Fault(code)) })
  }
}

/** The callbacks of a part to its stream. */
export interface PartListener {
  /** A stream begins. */
  readonly begin: (headers: AnswerHeaders) => void
  /** Forwards a chunk. Returns false while the caller's connection accepts no more data. */
  readonly forwardEvents: (chunk: Buffer) => boolean
  /** Answers the caller with an answer that is not a stream. */
  readonly forwardAnswer: (status: number, headers: AnswerHeaders, body: Buffer) => PartEnd
  /** The part has ended. */
  readonly ended: (end: PartEnd) => void
}
