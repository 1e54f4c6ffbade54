/** A receiver that keeps a whole answer in memory, for calls whose answers are short. It does not bound their length. */
import { Receiver, type AnswerHeaders, type CallFailure, type Flow } from './call.js'

/** A whole answer. */
export interface Collected {
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Buffer
}

/** Callbacks of a collector. Exactly one of them is called, once. */
export interface CollectorOptions {
  readonly whole: (answer: Collected) => void
  readonly failed: (failure: CallFailure) => void
}

/** Collects an answer and hands it over when it is whole. */
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
