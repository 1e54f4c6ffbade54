import { Clock, type Subscription, type Task } from '../src/index.js'

/**
 * The clock of one process of a test: another clock seen at another rate and with a skewed wall clock. A paused
 * process does nothing, as under SIGSTOP; what fell due meanwhile happens when it goes on, in its order.
 */
export class ViewClock extends Clock {
  readonly #base: Clock
  readonly #rate: number
  readonly #skew: number
  #paused = false
  #held: Task[] = []

  /**
   * @param rate ms of this clock in one ms of the base
   * @param skew ms by which its wall clock is ahead
   */
  constructor (base: Clock, rate = 1, skew = 0) {
    super()
    this.#base = base
    this.#rate = rate
    this.#skew = skew
  }

  now (): number {
    return this.#base.now() * this.#rate
  }

  bootNow (): number {
    return this.#base.bootNow() * this.#rate
  }

  wall (): number {
    return this.#base.wall() + this.#skew
  }

  after (delay: number, task: Task): Subscription {
    let cancelled = false
    const due = (): void => this.run(() => {
      if (!cancelled) task()
    })
    const inner = this.#base.after(delay / this.#rate, due)
    return {
      cancel: () => {
        cancelled = true
        inner.cancel()
      }
    }
  }

  /** Does `task` now, or when the process goes on. */
  run (task: Task): void {
    if (this.#paused) this.#held.push(task)
    else task()
  }

  pause (): void {
    this.#paused = true
  }

  resume (): void {
    this.#paused = false
    for (const task of this.#held.splice(0)) this.run(task)
  }
}
