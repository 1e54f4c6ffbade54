/** Stores a complete answer in memory, up to a maximum length. */
import { Bytes } from './bytes.js'
import { Receiver, type AnswerHeaders, type CallFailure, type Flow } from './call.js'

/** A complete answer. */
export interface Collected {
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Buffer
}

/** Default of the maximum length of a body, in bytes. */
const defaultMaxBytes = 64 * 2 ** 20

/** Callbacks of a collector: `whole` for a complete answer, `failed` otherwise. Exactly one of them is called, once. */
export interface CollectorOptions {
  readonly whole: (answer: Collected) => void
  readonly failed: (failure: CallFailure) => void
  /** Maximum length of the body, in bytes. The connection of a longer answer is closed. Default: 64 MiB. */
  readonly maxBytes?: number | undefined
}

/** Collects an answer and delivers it when it is complete. */
export class Collector extends Receiver {
  readonly #options: CollectorOptions
  readonly #bytes = new Bytes()
  #flow: Flow | undefined
  #status = 0
  #headers: AnswerHeaders = {}

  constructor (options: CollectorOptions) {
    super()
    this.#options = options
  }

  head (status: number, headers: AnswerHeaders, flow: Flow): void {
    this.#flow = flow
    this.#status = status
    this.#headers = headers
  }

  data (chunk: Buffer): void {
    const { maxBytes = defaultMaxBytes } = this.#options
    if (this.#bytes.size + chunk.length > maxBytes) this.#flow?.abort(new Error(`The answer is longer than ${maxBytes} bytes.`))
    else this.#bytes.add(chunk)
  }

  end (): void {
    this.#options.whole({ status: this.#status, headers: this.#headers, body: this.#bytes.take() })
  }

  fail (failure: CallFailure): void {
    this.#options.failed(failure)
  }
}
