/**
 * The timer service of production. Relies on `performance.now`, `Date.now` and `setTimeout` of Node.js. `os.uptime`
 * includes suspensions too, but is not used: a library may read it with a resolution of only one second, and each
 * reading opens a file.
 */
import { Clock, type Subscription, type Task } from './clock.js'
import { Suspension } from './suspension.js'

/** The longest delay of `setTimeout`, in ms. It runs a task with a longer delay, or with NaN, after 1 ms. */
const maxDelay = 2 ** 31 - 1

/** Receives what a task has thrown. */
export type TaskErrorHandler = (error: unknown) => void

/** The clocks of the machine: `performance.now` (CLOCK_MONOTONIC, which continues during SIGSTOP) and `Date.now`. */
export class SystemClock extends Clock {
  readonly #suspension = new Suspension(performance.now(), Date.now())
  readonly #onError: TaskErrorHandler

  /** @param onError called if a task throws. Default: the error is thrown again, so that it reaches the event loop. */
  constructor (onError: TaskErrorHandler = error => { throw error }) {
    super()
    this.#onError = onError
  }

  now (): number {
    return performance.now()
  }

  bootNow (): number {
    const monotonic = performance.now()
    return monotonic + this.#suspension.total(monotonic, Date.now())
  }

  wall (): number {
    return Date.now()
  }

  /** A delay of more than `maxDelay`, or one that is no number, counts as `maxDelay`. */
  after (delay: number, task: Task): Subscription {
    let immediate: NodeJS.Immediate | undefined
    // Node.js runs timers before it reads its sockets. After a delay of the event loop, a time-out would otherwise
    // expire although the answer has arrived. Immediates run after the sockets are read.
    const timer = setTimeout(() => { immediate = setImmediate(() => this.#run(task)) }, delay <= maxDelay ? delay : maxDelay)
    return {
      cancel: () => {
        clearTimeout(timer)
        clearImmediate(immediate)
      }
    }
  }

  #run (task: Task): void {
    try {
      task()
    } catch (error) {
      this.#onError(error)
    }
  }
}
