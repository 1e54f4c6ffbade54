/**
 * Numbers the events of a stream by their offset, so that the stream can be resumed. Owns the bytes of an incomplete
 * event.
 */
import { Relay, type AnswerHeaders, type Flow, type RelayOptions } from '@eiderwind/wire'

/** The end of a server-sent event (HTML, section 9.2). */
const boundary = '\n\n'

/** The event that ends a stream of completions. */
const endOfStream = 'data: [DONE]'

/**
 * Forwards a stream of server-sent events, complete events only. Each event gets its number in the answer as its id,
 * counted from 1. Comments and the event that ends the stream get no id.
 */
export class NumberedRelay extends Relay {
  #offset: number
  #partialEvent = ''

  /** @param offset number of events that the caller already has */
  constructor (options: RelayOptions, offset: number) {
    super(options)
    this.#offset = offset
  }

  /** The ids make the stream longer, so an answer with a length is forwarded in chunks. */
  override head (status: number, headers: AnswerHeaders, flow: Flow): void {
    const { 'content-length': length, ...others } = headers
    super.head(status, length === undefined ? headers : { ...others, 'transfer-encoding': 'chunked' }, flow)
  }

  protected override write (chunk: Buffer): void {
    const text = this.#partialEvent + chunk.toString('latin1')
    const end = text.lastIndexOf(boundary)
    if (end < 0) {
      this.#partialEvent = text
      return
    }
    this.#partialEvent = text.slice(end + boundary.length)
    super.write(Buffer.from(this.#number(text.slice(0, end)), 'latin1'))
  }

  #number (events: string): string {
    let numbered = ''
    for (const event of events.split(boundary)) {
      const isUnnumbered = event.startsWith(endOfStream) || event.startsWith(':')
      numbered += isUnnumbered ? event + boundary : `id: ${++this.#offset}\n${event}${boundary}`
    }
    return numbered
  }
}
