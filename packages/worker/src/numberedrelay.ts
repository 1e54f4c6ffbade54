/**
 * Numbers the events of a stream by their offset, so that it can be resumed. Owns the event that is not complete yet.
 */
import { Relay, type RelayOptions } from '@eiderwind/wire'

/** The end of a server-sent event (HTML, section 9.2). */
const boundary = '\n\n'

/** The event that ends a stream of the usual completions protocol. */
const endMark = 'data: [DONE]'

/** Passes a stream of server-sent events on, whole events only, and gives each an id: its offset in the answer. */
export class Numbered extends Relay {
  #offset: number
  #rest = ''

  /** @param offset events that the caller has already */
  constructor (options: RelayOptions, offset: number) {
    super(options)
    this.#offset = offset
  }

  protected override write (chunk: Buffer): void {
    const text = this.#rest + chunk.toString('latin1')
    const end = text.lastIndexOf(boundary)
    if (end < 0) {
      this.#rest = text
      return
    }
    this.#rest = text.slice(end + boundary.length)
    super.write(Buffer.from(this.#number(text.slice(0, end)), 'latin1'))
  }

  #number (events: string): string {
    let numbered = ''
    for (const event of events.split(boundary)) {
      const plain = event.startsWith(endMark) || event.startsWith(':')
      numbered += plain ? event + boundary : `id: ${++this.#offset}\n${event}${boundary}`
    }
    return numbered
  }
}
