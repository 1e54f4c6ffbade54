import { type AnswerHeaders, type Flow, endToEnd } from '@eiderwind/wire'
import { endWithConnection, isFramed } from './answers.js'
import { Attempt, type AttemptOptions } from './attempt.js'
import { EventSplitter } from './events.js'

/** What the caller of a stream has. It outlasts the attempts that bring it. */
export class Progress {
  /** Id of the last event that was passed on. */
  lastEvent: number | undefined
  /** Whether the head of the answer was passed on. */
  begun = false
  /** Whether the answer that is passed on says itself where it ends. */
  framed = true
}

/** Options of an attempt at a stream. */
export interface StreamAttemptOptions extends AttemptOptions {
  readonly progress: Progress
  /** Told when the upstream is taken to stand still. */
  readonly onStall: () => void
}

const ok = 200

/** An attempt that passes the events of a stream on as they come, each once and in order. */
export class StreamAttempt extends Attempt {
  readonly #progress: Progress
  readonly #onStall: () => void
  readonly #splitter = new EventSplitter()
  #framed = true

  constructor (options: StreamAttemptOptions) {
    super(options)
    this.#progress = options.progress
    this.#onStall = options.onStall
  }

  protected override stalled (): void {
    this.#onStall()
  }

  protected takes (status: number): boolean {
    return status === ok
  }

  protected begin (status: number, headers: AnswerHeaders): void {
    this.#framed = isFramed(headers)
    if (this.#progress.begun) return
    this.#progress.begun = true
    this.#progress.framed = this.#framed
    const { response } = this.exchange
    if (!this.#framed) endWithConnection(response)
    const { 'content-length': _length, ...kept } = endToEnd(headers)
    response.writeHead(status, kept)
    response.flushHeaders()
  }

  protected take (chunk: Buffer): void {
    const fresh = this.#splitter.push(chunk).filter(({ id }) => this.#isNew(id))
    if (fresh.length === 0) return
    for (const { id } of fresh) this.#progress.lastEvent = id ?? this.#progress.lastEvent
    const bytes = fresh.length === 1 ? fresh[0].bytes : Buffer.concat(fresh.map(each => each.bytes))
    if (!this.exchange.response.write(bytes)) this.#hold(this.flow)
  }

  /** An answer without framing may end only one that was begun so: nobody can tell whether it is whole. */
  protected whole (): boolean {
    return this.#splitter.clean && (this.#framed || !this.#progress.framed)
  }

  #isNew (id: number | undefined): boolean {
    return id === undefined || this.#progress.lastEvent === undefined || id > this.#progress.lastEvent
  }

  /** Holds the upstream back until the caller has read on. */
  #hold (flow: Flow | undefined): void {
    flow?.pause()
    this.exchange.response.once('drain', () => flow?.resume())
  }
}
