/**
 * The timer service of production, over Node's `performance.now`, `Date.now` and `setTimeout`. `os.uptime` counts suspensions too, but a library may read it
 * with a resolution of a second, and each reading opens a file.
 */
import { Clock, type Subscription, type Task } from './clock.js'
import { Suspension } from './suspension.js'

/** The clock of the machine: `performance.now` (CLOCK_MONOTONIC, which runs on through SIGSTOP) and `Date.now`. */
export class SystemClock extends Clock {
  readonly #suspension = new Suspension(performance.now(), Date.now())

  now (): number {
    return performance.now()
  }

  bootNow (): number {
    const steady = performance.now()
    return steady + this.#suspension.total(steady, Date.now())
  }

  wall (): number {
    return Date.now()
  }

  after (delay: number, task: Task): Subscription {
    const timer = setTimeout(task, delay)
    return { cancel: () => clearTimeout(timer) }
  }
}
