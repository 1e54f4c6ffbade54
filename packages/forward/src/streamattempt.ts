/**
 * One attempt at a stream: passes its events on as they arrive, each once and in order, also when an earlier attempt has
 * passed on a part of them. Owns the event that is not complete yet; relies on ids of events that rise (a bound of the
 * upstreams' protocol).
 */
import { endToEnd, type AnswerHeaders } from '@eiderwind/wire'
import { endWithConnection, isFramed } from './answers.js'
import { Attempt, maxCollected, type AttemptOptions } from './attempt.js'
import { EventSplitter, type StreamEvent } from './events.js'

/** What the caller of a stream has got so far, over all attempts. */
export class Progress {
  /** Id of the last event that the caller has. */
  lastEvent: number | undefined
  /** Whether the status and headers of the answer were sent. */
  started = false
  /** Whether the answer to the caller marks its own end. */
  framed = true

  constructor (lastEvent: number | undefined) {
    this.lastEvent = lastEvent
  }
}

/** Options of an attempt at a stream. */
export interface StreamAttemptOptions extends AttemptOptions {
  readonly progress: Progress
  /** Called when its first event has come. */
  readonly onFirst?: (() => void) | undefined
}

/** The only status with which a stream is passed on while it arrives; any other answer is collected. */
const ok = 200

/** An attempt that passes on the events of a stream as they arrive. */
export class StreamAttempt extends Attempt {
  readonly #progress: Progress
  readonly #splitter = new EventSplitter()
  #framed = true
  #onFirst: (() => void) | undefined

  constructor (options: StreamAttemptOptions) {
    super(options)
    this.#progress = options.progress
    this.#onFirst = options.onFirst
  }

  protected passesOn (status: number): boolean {
    return status === ok
  }

  protected onHead (status: number, headers: AnswerHeaders): void {
    this.#framed = isFramed(headers)
    if (this.#progress.started) return
    this.#progress.started = true
    this.#progress.framed = this.#framed
    const { response } = this.request
    if (!this.#framed) endWithConnection(response)
    const { 'content-length': _length, ...kept } = endToEnd(headers)
    response.writeHead(status, kept)
    response.flushHeaders()
  }

  protected onChunk (chunk: Buffer): void {
    const events = this.#splitter.push(chunk).filter(({ id }) => this.#isNew(id))
    if (this.#splitter.held > maxCollected) return this.abort('an event is too long')
    if (events.length === 0) return
    for (const { id } of events) this.#progress.lastEvent = id ?? this.#progress.lastEvent
    const { request } = this
    request.passOn()
    this.#onFirst?.()
    this.#onFirst = undefined
    request.delivery.write(joined(events))
    if (request.delivery.isFull(() => this.resume())) this.pause()
  }

  /**
   * Whether the answer ended between two events, and marked its end if the caller's answer began with one that did: an
   * answer without framing may have been cut short, and may complete only an answer that leaves this open too.
   */
  protected isComplete (): boolean {
    return this.#splitter.atBoundary && (this.#framed || !this.#progress.framed)
  }

  #isNew (id: number | undefined): boolean {
    return id === undefined || this.#progress.lastEvent === undefined || id > this.#progress.lastEvent
  }
}

/** The bytes of events in order; without a copy where they came as one. */
function joined (events: readonly StreamEvent[]): Buffer {
  const { buffer, byteOffset } = events[0].bytes
  const length = events.reduce((sum, { bytes }) => sum + bytes.length, 0)
  const last = events[events.length - 1].bytes
  const contiguous = last.buffer === buffer && last.byteOffset + last.length === byteOffset + length
  return contiguous ? Buffer.from(buffer, byteOffset, length) : Buffer.concat(events.map(({ bytes }) => bytes))
}
