/** Stores a complete answer in memory. The length is not limited, so this receiver is for short answers only. */
import { Receiver, type AnswerHeaders, type CallFailure, type Flow } from './call.js'

/** A complete answer. */
export interface Collected {
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Buffer
}

/** Callbacks of a collector: `whole` for a complete answer, `failed` otherwise. Exactly one of them is called, once. */
export interface CollectorOptions {
  readonly whole: (answer: Collected) => void
  readonly failed: (failure: CallFailure) => void
}

/** Collects an answer and delivers it when it is complete. */
export class Collector extends Receiver {
  readonly #options: CollectorOptions
  readonly #chunks: Buffer[] = []
  #status = 0
  #headers: AnswerHeaders = {}

  constructor (options: CollectorOptions) {
    super()
    this.#options = options
  }

  head (status: number, headers: AnswerHeaders, _flow: Flow): void {
    this.#status = status
    this.#headers = headers
  }

  data (chunk: Buffer): void {
    this.#chunks.push(chunk)
  }

  end (): void {
    this.#options.whole({ status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks) })
  }

  fail (failure: CallFailure): void {
    this.#options.failed(failure)
  }
}
