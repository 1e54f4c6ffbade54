import { Receiver, type AnswerHeaders, type Break, type Flow } from './call.js'

/** A whole answer. */
export interface Collected {
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Buffer
}

/** What a collector tells at its end: exactly one of the two. */
export interface CollectOptions {
  readonly whole: (answer: Collected) => void
  readonly failed: (failure: Break) => void
}

/** Collects a whole answer in memory. */
export class Collect extends Receiver {
  readonly #options: CollectOptions
  readonly #chunks: Buffer[] = []
  #status = 0
  #headers: AnswerHeaders = {}

  constructor (options: CollectOptions) {
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

  fail (failure: Break): void {
    this.#options.failed(failure)
  }
}
