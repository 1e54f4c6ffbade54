/**
 * The timer service of tests. Time moves only when a test moves it, and timers run in a fixed order. It owns the
 * pending timers. It can simulate a frozen process, a suspended machine and a wall clock that is wrong.
 */
import { Clock, type Subscription, type Task } from './clock.js'

interface Timer {
  readonly dueAt: number
  readonly order: number
  readonly task: Task
}

/**
 * A clock that tests move. Tasks run in the order of their due times, and in the order of creation if these are equal.
 */
export class ManualClock extends Clock {
  #now = 0
  #epoch: number
  #suspended = 0
  #order = 0
  readonly #timers = new Set<Timer>()

  /** @param epoch the wall time at which `now` is 0, in ms */
  constructor (epoch = 0) {
    super()
    this.#epoch = epoch
  }

  now (): number {
    return this.#now
  }

  bootNow (): number {
    return this.#now + this.#suspended
  }

  wall (): number {
    return this.#epoch + this.#now + this.#suspended
  }

  after (delay: number, task: Task): Subscription {
    const timer: Timer = { dueAt: this.#now + Math.max(0, delay), order: this.#order++, task }
    this.#timers.add(timer)
    return { cancel: () => { this.#timers.delete(timer) } }
  }

  /** Advances the time by `span` ms and runs the timers that become due, each at its due time. */
  advance (span: number): void {
    const end = this.#now + span
    for (let next = this.#next(end); next !== undefined; next = this.#next(end)) {
      this.#now = Math.max(this.#now, next.dueAt)
      this.#timers.delete(next)
      next.task()
    }
    this.#now = end
  }

  /**
   * Lets `span` ms pass while the process is frozen. Timers that become due meanwhile run late, at the next `advance`.
   */
  freeze (span: number): void {
    this.#now += span
  }

  /** Lets `span` ms pass that `now` does not include, as during a suspension of the machine. */
  suspend (span: number): void {
    this.#suspended += span
  }

  /** Moves the wall clock by `span` ms, to simulate clock skew. */
  skew (span: number): void {
    this.#epoch += span
  }

  #next (end: number): Timer | undefined {
    let first: Timer | undefined
    for (const timer of this.#timers) {
      if (timer.dueAt > end) continue
      if (first === undefined || timer.dueAt < first.dueAt || (timer.dueAt === first.dueAt && timer.order < first.order)) first = timer
    }
    return first
  }
}
