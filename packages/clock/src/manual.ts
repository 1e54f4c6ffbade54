/**
 * The timer service of tests: time moves only when a test says so, and timers run in a fixed order. It owns the pending
 * timers and can stand for a frozen process, a suspended machine and a wall clock that is off.
 */
import { Clock, type Subscription, type Task } from './clock.js'

interface Due {
  readonly at: number
  readonly order: number
  readonly task: Task
}

/** A clock that moves only when a test says so. Tasks run in the order of their due time, then of their making. */
export class ManualClock extends Clock {
  #now = 0
  #epoch: number
  #suspended = 0
  #order = 0
  readonly #due = new Set<Due>()

  /** @param epoch the wall time at which the steady clock shows 0 */
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
    const due: Due = { at: this.#now + Math.max(0, delay), order: this.#order++, task }
    this.#due.add(due)
    return { cancel: () => { this.#due.delete(due) } }
  }

  /** Moves time on by `span` ms and runs what falls due on the way. */
  advance (span: number): void {
    const end = this.#now + span
    for (let next = this.#next(end); next !== undefined; next = this.#next(end)) {
      this.#now = Math.max(this.#now, next.at)
      this.#due.delete(next)
      next.task()
    }
    this.#now = end
  }

  /** Lets `span` ms pass while the process stands still: what falls due meanwhile runs late, with the next advance. */
  freeze (span: number): void {
    this.#now += span
  }

  /** Lets `span` ms pass that the steady clock does not see, as when a whole machine is suspended. */
  suspend (span: number): void {
    this.#suspended += span
  }

  /** Sets the wall clock off by `span` ms, as a skewed machine would have it. */
  skew (span: number): void {
    this.#epoch += span
  }

  #next (end: number): Due | undefined {
    let first: Due | undefined
    for (const due of this.#due) {
      if (due.at > end) continue
      if (first === undefined || due.at < first.at || (due.at === first.at && due.order < first.order)) first = due
    }
    return first
  }
}
