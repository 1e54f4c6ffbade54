/**
 * What the caller of a stream has received, so that it can be resumed elsewhere without a part twice. Owns whole events only.
 */
import { createParser } from 'eventsource-parser'
import { z } from 'zod'

/** The end of a server-sent event, and of a whole stream. */
const boundary = Buffer.from('\n\n')
const endMark = Buffer.from('data: [DONE]')

/** Bytes that are kept as they came before their text is taken out. */
const maxPendingBytes = 16_384

/** What of one event of a completion stream matters here. */
const Chunk = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish()
  }))
})

/** Where a stream stands: enough to go on with it elsewhere. */
export interface Progress {
  /** Events that the caller has. */
  readonly offset: number
  /** Text that the caller has. */
  readonly text: string
  /** Whether the caller has the event that says why the answer ended. */
  readonly hasFinishReason: boolean
}

/**
 * What the caller of one stream has received. Only whole events are handed on, so that a stream that breaks inside
 * one can be resumed without a part twice. Events are kept as bytes and read only when there are many or when the
 * stream has to be resumed; the usual chunk costs two searches.
 */
export class Transcript {
  #partial: Buffer | undefined
  #pending: Buffer[] = []
  #pendingBytes = 0
  #progress: Progress
  #isComplete = false

  /** @param start what the caller had before this request */
  constructor (start: Progress = { offset: 0, text: '', hasFinishReason: false }) {
    this.#progress = start
  }

  /** Whether the end mark was handed on: only then is the stream whole. */
  get isComplete (): boolean {
    return this.#isComplete
  }

  /** Takes a chunk and gives the whole events in it, or undefined where there is none. */
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

  /** Forgets a part of an event that will not be completed, and says where the stream stands. */
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
    // Such as the end mark `[DONE]`: an event that is no JSON has no text to resume from.
    return undefined
  }
}
