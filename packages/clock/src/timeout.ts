/**
 * The time-out of a call, as a signal that aborts it. Unlike `AbortSignal.timeout`, it runs on the timer service, so
 * that an answer that has arrived during a delay of the event loop is read first.
 */
import { type Clock, type Subscription } from './clock.js'

/** A time-out of one call. `cancel` ends it once the call has ended. */
export class Timeout {
  readonly #controller = new AbortController()
  readonly #timer: Subscription

  /** @param delay time until the signal aborts, in ms */
  constructor (clock: Clock, delay: number) {
    this.#timer = clock.after(delay, () => this.#controller.abort(new DOMException(`No answer within ${delay} ms.`, 'TimeoutError')))
  }

  get signal (): AbortSignal {
    return this.#controller.signal
  }

  cancel (): void {
    this.#timer.cancel()
  }
}

/** Runs a call with a signal that aborts it after `delay` ms. The time covers all that `call` waits for. */
export async function withTimeout<Result> (clock: Clock, delay: number, call: (signal: AbortSignal) => Promise<Result>): Promise<Result> {
  const timeout = new Timeout(clock, delay)
  try {
    return await call(timeout.signal)
  } finally {
    timeout.cancel()
  }
}
