/**
 * The events that the caller of a stream has received, so that the stream can be resumed at another replica without
 * repeating any. Owns the events that were forwarded and the bytes of an incomplete one.
 */
import { createParser } from 'eventsource-parser'
import { z } from 'zod'

/** The end of a server-sent event, and the last event of a complete stream. */
const boundary = Buffer.from('\n\n')
const endMark = Buffer.from('data: [DONE]')

/** Size of the stored events at which their text is extracted, in bytes. */
const maxPendingBytes = 16_384

/** The fields of a completion stream's event that the transcript reads. */
const Chunk = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish()
  }))
})

/** The position in a stream, from which another replica can resume it. */
export interface Progress {
  /** Id of the last event that the caller has. */
  readonly offset: number
  /** Text that the caller has. */
  readonly text: string
  /** Whether the caller has the event with the finish reason. */
  readonly hasFinishReason: boolean
}

/**
 * The events that the caller of one stream has received. Only complete events are forwarded, so that a stream that
 * breaks inside an event can be resumed without repeating a part of it. Events are stored as bytes. They are parsed
 * only when there are many, or when the stream has to be resumed. A usual chunk therefore costs only two searches.
 */
export class Transcript {
  #partial: Buffer | undefined
  #pending: Buffer[] = []
  #pendingBytes = 0
  #progress: Progress
  #isComplete = false

  /** @param start the position that the caller had reached before this request */
  constructor (start: Progress = { offset: 0, text: '', hasFinishReason: false }) {
    this.#progress = start
  }

  /** Whether the end mark was forwarded. The stream is complete only then. */
  get isComplete (): boolean {
    return this.#isComplete
  }

  /** Adds a chunk. Returns the events that it completes, or undefined if it completes none. */
  take (chunk: Buffer): Buffer | undefined {
    const bytes = this.#partial === undefined ? chunk : Buffer.concat([this.#partial, chunk])
    const last = bytes.lastIndexOf(boundary)
    if (last < 0) {
      this.#partial = bytes
      return undefined
    }
    const end = last + boundary.length
    this.#partial = end === bytes.length ? undefined : bytes.subarray(end)
    const events = end === bytes.length ? bytes : bytes.subarray(0, end)
    this.#append(events)
    return events
  }

  /** Discards an incomplete event, and returns the position from which the stream can be resumed. */
  resume (): Progress {
    this.#partial = undefined
    this.#parsePending()
    return this.#progress
  }

  #append (events: Buffer): void {
    if (events.includes(endMark)) this.#isComplete = true
    this.#pending.push(events)
    this.#pendingBytes += events.length
    if (this.#pendingBytes >= maxPendingBytes) this.#parsePending()
  }

  #parsePending (): void {
    let { offset, text, hasFinishReason } = this.#progress
    const parser = createParser({
      onEvent: ({ id, data }) => {
        if (id === undefined) return
        const chunk = Chunk.safeParse(parseJson(data))
        if (Number(id) > offset) offset = Number(id)
        if (!chunk.success) return
        for (const { delta, finish_reason: reason } of chunk.data.choices) {
          text += delta?.content ?? ''
          hasFinishReason ||= typeof reason === 'string'
        }
      }
    })
    parser.feed(Buffer.concat(this.#pending).toString())
    this.#pending = []
    this.#pendingBytes = 0
    this.#progress = { offset, text, hasFinishReason }
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // An event that is not JSON, such as the end mark `[DONE]`, has no text.
    return undefined
  }
}
