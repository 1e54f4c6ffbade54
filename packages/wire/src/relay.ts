import { type ServerResponse } from 'node:http'
import { Receiver, type AnswerHeaders, type Break, type Flow } from './call.js'
import { hopHeaders } from './headers.js'

/** What a relay needs to know. */
export interface RelayOptions {
  readonly response: ServerResponse
  /** Headers that are set beside those of the answer. */
  readonly headers?: Readonly<Record<string, string>>
  /** Asked before each part is passed on; false cuts both connections. Default: always true. */
  readonly guard?: () => boolean
  /** Told once when nothing more will come. `whole` is false where the answer was cut. */
  readonly done: (whole: boolean) => void
  /** Told when the call failed before an answer began; the response is still free. */
  readonly failed: (failure: Break) => void
}

/** Passes an answer on to a response as it comes, no faster than the response takes it. A cut answer cuts the response. */
export class Relay extends Receiver {
  readonly #options: RelayOptions
  #flow: Flow | undefined
  #begun = false

  constructor (options: RelayOptions) {
    super()
    this.#options = options
  }

  head (status: number, headers: AnswerHeaders, flow: Flow): void {
    this.#flow = flow
    if (!this.#allowed()) return
    this.#begun = true
    const { response, headers: more } = this.#options
    response.writeHead(status, { ...endToEnd(headers), ...more })
    response.flushHeaders()
  }

  data (chunk: Buffer): void {
    if (!this.#allowed()) return
    this.write(chunk)
  }

  end (): void {
    if (!this.#allowed()) return
    this.#options.response.end()
    this.#options.done(true)
  }

  fail (failure: Break): void {
    if (!this.#begun) {
      this.#options.failed(failure)
      return
    }
    this.#options.response.destroy()
    this.#options.done(false)
  }

  /** Writes a part and holds the answer back while the response is full. */
  protected write (chunk: Buffer | string): void {
    const { response } = this.#options
    if (response.write(chunk) || this.#flow === undefined) return
    const flow = this.#flow
    flow.pause()
    response.once('drain', () => flow.resume())
  }

  #allowed (): boolean {
    if (this.#options.guard?.() !== false) return true
    this.#flow?.abort(new Error('No longer allowed to pass the answer on.'))
    return false
  }
}

/** The headers of an answer without those that belong to its connection. */
export function endToEnd (headers: AnswerHeaders): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !hopHeaders.has(name)) kept[name] = value
  }
  return kept
}
