/**
 * Splits a stream of server-sent events (HTML, section 9.2) into complete events, so that a caller never gets one part
 * of an event from one upstream and the rest from another. It owns the bytes of the incomplete event.
 */

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

const emptyBuffer = Buffer.alloc(0)

const idField = Buffer.from('id:')

/** Splits the bytes of one stream into events. */
export class EventSplitter {
  #incomplete: Buffer = emptyBuffer

  /** Whether all bytes so far belong to complete events. */
  get atBoundary (): boolean {
    return this.#incomplete.length === 0
  }

  /** Bytes of the incomplete event. */
  get pendingBytes (): number {
    return this.#incomplete.length
  }

  /** Adds the next bytes and returns the events that they complete. */
  push (chunk: Buffer): StreamEvent[] {
    const bytes = this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = eventEnd(bytes, start); end >= 0; end = eventEnd(bytes, start)) {
      const event = bytes.subarray(start, end)
      events.push({ bytes: event, id: eventId(event) })
      start = end
    }
    // A copy, since a view would keep all of the bytes in memory.
    this.#incomplete = start === bytes.length ? emptyBuffer : Buffer.from(bytes.subarray(start))
    return events
  }
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
