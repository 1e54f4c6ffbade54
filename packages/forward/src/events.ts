/** One whole event of a stream. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** Its id as a number, where it has one. */
  readonly id: number | undefined
}

const newline = 10
const idField = Buffer.from('id:')

/** Cuts the bytes of a stream of server-sent events (HTML, section 9.2) into whole events. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0)

  /** Whether the stream stands between two events. */
  get clean (): boolean {
    return this.#rest.length === 0
  }

  /** The events that are whole with this chunk. */
  push (chunk: Buffer): StreamEvent[] {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = boundary(bytes, start); end >= 0; end = boundary(bytes, start)) {
      const event = bytes.subarray(start, end)
      events.push({ bytes: event, id: eventId(event) })
      start = end
    }
    this.#rest = bytes.subarray(start)
    return events
  }
}

/** Where the event that begins at `start` ends, after its empty line; -1 where it is not whole. */
function boundary (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(newline, start); at >= 0; at = bytes.indexOf(newline, at + 1)) {
    if (bytes[at + 1] === newline) return at + 2
    if (bytes[at + 1] === 13 && bytes[at + 2] === newline) return at + 3
  }
  return -1
}

function eventId (event: Buffer): number | undefined {
  for (let start = 0; start >= 0 && start < event.length;) {
    const end = event.indexOf(newline, start)
    if (event.subarray(start, start + idField.length).equals(idField)) {
      const id = Number(event.subarray(start + idField.length, end < 0 ? undefined : end).toString('latin1').trim())
      return Number.isFinite(id) ? id : undefined
    }
    start = end < 0 ? -1 : end + 1
  }
  return undefined
}
