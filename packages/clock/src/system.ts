/**
 * The timer service of production, over Node's `performance.now`, `Date.now` and `setTimeout`. It owns one number: how much
 * steady time was missed while the machine was suspended.
 */
import { Clock, type Subscription, type Task } from './clock.js'

/** The clock of the machine: `performance.now` (CLOCK_MONOTONIC, which runs on through SIGSTOP) and `Date.now`. */
export class SystemClock extends Clock {
  readonly #offset = Date.now() - performance.now()
  #missed = 0

  now (): number {
    return performance.now()
  }

  holderNow (): number {
    const steady = performance.now()
    const ahead = Date.now() - steady - this.#offset
    if (ahead > this.#missed) this.#missed = ahead
    return steady + this.#missed
  }

  wall (): number {
    return Date.now()
  }

  after (delay: number, task: Task): Subscription {
    const timer = setTimeout(task, delay)
    return { cancel: () => clearTimeout(timer) }
  }
}
