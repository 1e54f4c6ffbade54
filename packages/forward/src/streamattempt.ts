/**
 * One attempt to serve a stream. It forwards the events as they arrive, each once and in order, also after an earlier
 * attempt has forwarded some of them. It owns the bytes of the incomplete event and relies on increasing event ids,
 * which the upstreams' protocol guarantees.
 */
import { endToEndHeaders, type AnswerHeaders } from '@eiderwind/wire'
import { answerHeader } from './answers.js'
import { Attempt, maxCollectedBytes, type AttemptOptions } from './attempt.js'
import { EventSplitter, type StreamEvent } from './events.js'

/** What was sent to the caller of a stream so far, over all attempts. */
export class Progress {
  /** Id of the last event that was sent. */
  lastEvent: number | undefined
  /** Whether the status and headers were sent. */
  started = false

  constructor (lastEvent: number | undefined) {
    this.lastEvent = lastEvent
  }
}

/** Options of a stream attempt. */
export interface StreamAttemptOptions extends AttemptOptions {
  readonly progress: Progress
  /** Called when the head of the answer or the next event is about to be sent to the caller. */
  readonly onEvent?: (() => void) | undefined
  /** Called when the first event has arrived. */
  readonly onFirst?: (() => void) | undefined
}

/** The only status with which events are forwarded as they arrive. Any other answer is collected. */
const okStatus = 200

/** The media type of a series of events (HTML, section 9.2). */
const eventStreamType = 'text/event-stream'

/** An attempt that forwards the events of a stream as they arrive. */
export class StreamAttempt extends Attempt {
  protected readonly isSteady = true
  readonly #progress: Progress
  readonly #splitter = new EventSplitter()
  readonly #onEvent: (() => void) | undefined
  #onFirst: (() => void) | undefined
  #isHeld = false
  /** What arrived after reading was stopped by `hold`. */
  #heldChunks: Buffer[] = []

  constructor (options: StreamAttemptOptions) {
    super(options)
    this.#progress = options.progress
    this.#onEvent = options.onEvent
    this.#onFirst = options.onFirst
  }

  /** Stops reading and forwards nothing until `release`. */
  hold (): void {
    this.#isHeld = true
    this.pause('move')
  }

  release (): void {
    this.#forwardHeld()
    this.resume('move')
  }

  override end (): void {
    this.#forwardHeld()
    super.end()
  }

  #forwardHeld (): void {
    const chunks = this.#heldChunks
    this.#isHeld = false
    this.#heldChunks = []
    for (const each of chunks) this.onChunk(each)
  }

  protected isForwarded (status: number, headers: AnswerHeaders): boolean {
    return status === okStatus && isEventStream(headers)
  }

  protected onHead (status: number, headers: AnswerHeaders): void {
    if (this.#progress.started) return
    // The head belongs to the upstream that goes on.
    this.#onEvent?.()
    this.#progress.started = true
    const { response, incoming } = this.request
    const { 'content-length': length, ...others } = endToEndHeaders(headers)
    // The answer is sent in chunks also if the upstream's is not, so that it looks broken if this process is killed. An
    // answer to HEAD has no body, so its length marks no end.
    response.writeHead(status, incoming.method === 'HEAD' && length !== undefined ? { ...others, 'content-length': length } : others)
    response.flushHeaders()
  }

  protected onChunk (chunk: Buffer): void {
    if (this.#isHeld) {
      this.#heldChunks.push(chunk)
      return
    }
    const events = this.#splitter.push(chunk).filter(({ id }) => this.#isNew(id))
    if (this.#splitter.pendingBytes > maxCollectedBytes) return this.abort('an event is too long')
    if (events.length === 0) return
    this.#onEvent?.()
    for (const { id } of events) this.#progress.lastEvent = id ?? this.#progress.lastEvent
    const { request } = this
    request.recordForwarded()
    this.#onFirst?.()
    this.#onFirst = undefined
    request.delivery.write(joinEventBytes(events))
    if (request.delivery.isFull(() => this.resume('caller'))) this.pause('caller')
  }

  /** Whether the answer ended between two events. */
  protected isComplete (): boolean {
    return this.#splitter.atBoundary
  }

  #isNew (id: number | undefined): boolean {
    return id === undefined || this.#progress.lastEvent === undefined || id > this.#progress.lastEvent
  }
}

/**
 * Whether an answer is a series of events. Any other answer has no events whose end could be awaited. An answer that
 * names no type counts as one unless it has a length, which is not known when a stream begins.
 */
function isEventStream (headers: AnswerHeaders): boolean {
  const type = answerHeader(headers, 'content-type')
  if (type === undefined) return headers['content-length'] === undefined
  return type.split(';')[0].trim().toLowerCase() === eventStreamType
}

/** The bytes of events in order. Returns a view without a copy if they are contiguous. */
function joinEventBytes (events: readonly StreamEvent[]): Buffer {
  const { buffer, byteOffset } = events[0].bytes
  const length = events.reduce((sum, { bytes }) => sum + bytes.length, 0)
  const last = events[events.length - 1].bytes
  const contiguous = last.buffer === buffer && last.byteOffset + last.length === byteOffset + length
  return contiguous ? Buffer.from(buffer, byteOffset, length) : Buffer.concat(events.map(({ bytes }) => bytes))
}
