/**
 * Forwards an answer to a caller's response as it arrives, with the framing of the answer (`framing.ts`). If the answer
 * ends early, the response is broken off too, so that an incomplete answer never appears complete.
 */
import { type ServerResponse } from 'node:http'
import { breakOff } from './answer.js'
import { Receiver, type AnswerHeaders, type CallFailure, type Flow } from './call.js'
import { writeForwardedHead } from './framing.js'

/** Options of a relay. */
export interface RelayOptions {
  readonly response: ServerResponse
  /** Headers added to those of the answer. */
  readonly headers?: Readonly<Record<string, string>>
  /** Called before each part is forwarded. If it returns false, both connections are closed. Default: always true. */
  readonly guard?: () => boolean
  /** Called once when an answer that had begun has ended. `whole` is false if the answer is incomplete. */
  readonly done: (whole: boolean) => void
  /** Called once if the call fails before an answer begins. Nothing has then been written to the response. */
  readonly failed: (failure: CallFailure) => void
}

/** Forwards an answer, no faster than the response accepts it. */
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
    if (!this.#checkGuard()) return
    this.#begun = true
    const { response, headers: more } = this.#options
    writeForwardedHead(response, status, { ...headers, ...more })
    response.flushHeaders()
  }

  data (chunk: Buffer): void {
    if (!this.#checkGuard()) return
    this.write(chunk)
  }

  end (): void {
    // The call has ended: aborting it would report nothing.
    if (this.#options.guard?.() === false) return this.fail({ error: notForwarded(), sent: true })
    this.#options.response.end()
    this.#options.done(true)
  }

  fail (failure: CallFailure): void {
    if (!this.#begun) {
      this.#options.failed(failure)
      return
    }
    breakOff(this.#options.response)
    this.#options.done(false)
  }

  /** Writes a part, and pauses the answer while the response's buffer is full. */
  protected write (chunk: Buffer | string): void {
    const { response } = this.#options
    if (response.write(chunk) || this.#flow === undefined) return
    const flow = this.#flow
    flow.pause()
    response.once('drain', () => flow.resume())
  }

  #checkGuard (): boolean {
    if (this.#options.guard?.() !== false) return true
    this.#flow?.abort(notForwarded())
    return false
  }
}

function notForwarded (): Error {
  return new Error('The answer may no longer be forwarded.')
}
