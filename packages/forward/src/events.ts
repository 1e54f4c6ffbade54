/**
 * Splits a stream of server-sent events (HTML, section 9.2) into complete events, so that a caller never gets one part
 * of an event from one upstream and the rest from another. It owns the bytes of the incomplete event.
 */
import { Bytes } from '@eiderwind/wire'

/** A complete event of a stream. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** Its id as a number, if it has one. */
  readonly id: number | undefined
}

const lineFeed = 10
const carriageReturn = 13
/** An empty line, preceded by the line feed of the line before it: with line ends LF and CRLF. */
const emptyLine = '\n\n'
const emptyLineCrlf = '\n\r\n'

/** Bytes of an empty line that may have arrived without its last byte. */
const tailLength = emptyLineCrlf.length - 1

const emptyBuffer = Buffer.alloc(0)

const idField = Buffer.from('id:')

/** Splits the bytes of one stream into events. */
export class EventSplitter {
  readonly #incomplete = new Bytes()
  /** The last bytes of the incomplete event, in which the empty line that ends it may have begun. */
  #tail: Buffer = emptyBuffer

  /** Whether all bytes so far belong to complete events. */
  get atBoundary (): boolean {
    return this.#incomplete.size === 0
  }

  /** Bytes of the incomplete event. */
  get pendingBytes (): number {
    return this.#incomplete.size
  }

  /** Adds the next bytes and returns the events that they complete. */
  push (chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = []
    let start = this.#endIncomplete(chunk)
    if (start < 0) {
      this.#keep(chunk)
      return events
    }
    if (start > 0) events.push(streamEvent(this.#takeWith(chunk.subarray(0, start))))
    for (let end = eventEnd(chunk, start); end >= 0; end = eventEnd(chunk, start)) {
      events.push(streamEvent(chunk.subarray(start, end)))
      start = end
    }
    this.#keep(chunk.subarray(start))
    return events
  }

  /** Where the incomplete event ends in the next bytes: -1 if it does not, 0 if there is none. */
  #endIncomplete (chunk: Buffer): number {
    if (this.atBoundary) return 0
    // Only the new bytes are searched, so that the work for a long event grows with its length alone.
    const end = eventEnd(Buffer.concat([this.#tail, chunk]), 0)
    return end < 0 ? -1 : end - this.#tail.length
  }

  #takeWith (last: Buffer): Buffer {
    this.#incomplete.add(last)
    this.#tail = emptyBuffer
    return this.#incomplete.take()
  }

  /** Keeps bytes of an incomplete event. A copy, since a view would keep all of the bytes in memory. */
  #keep (bytes: Buffer): void {
    if (bytes.length === 0) return
    this.#incomplete.add(Buffer.from(bytes))
    this.#tail = Buffer.concat([this.#tail, bytes.subarray(-tailLength)]).subarray(-tailLength)
  }
}

function streamEvent (bytes: Buffer): StreamEvent {
  return { bytes, id: eventId(bytes) }
}

/** Index after the empty line that ends the event at `start`, or -1 if the event is incomplete. */
function eventEnd (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(lineFeed, start); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    if (bytes[at + 1] === lineFeed) return at + emptyLine.length
    if (bytes[at + 1] === carriageReturn && bytes[at + 2] === lineFeed) return at + emptyLineCrlf.length
  }
  return -1
}

/** The number in the first line `id: …` of an event; undefined if there is none. */
function eventId (event: Buffer): number | undefined {
  for (let start = 0; start >= 0 && start < event.length;) {
    const end = event.indexOf(lineFeed, start)
    if (event.subarray(start, start + idField.length).equals(idField)) {
      const id = Number(event.subarray(start + idField.length, end < 0 ? undefined : end).toString('latin1').trim())
      return Number.isFinite(id) ? id : undefined
    }
    start = end < 0 ? -1 : end + 1
  }
  return undefined
}
