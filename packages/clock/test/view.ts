import { Clock, type Subscription, type Task } from '../src/index.js'

/**
 * The clock of one process in a test: a view of another clock with a different rate and a skewed wall clock. A paused
 * process runs nothing, as under SIGSTOP. Tasks that become due meanwhile run in their order when the process resumes.
 */
export class ViewClock extends Clock {
  readonly #base: Clock
  readonly #rate: number
  readonly #skew: number
  #paused = false
  #deferred: Task[] = []

  /**
   * @param rate ms that pass on this clock in one ms of `base`
   * @param skew ms by which the wall clock is ahead
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
    const onDue = (): void => this.run(() => {
      if (!cancelled) task()
    })
    const inner = this.#base.after(delay / this.#rate, onDue)
    return {
      cancel: () => {
        cancelled = true
        inner.cancel()
      }
    }
  }

  /** Runs `task` now, or when the process resumes if it is paused. */
  run (task: Task): void {
    if (this.#paused) this.#deferred.push(task)
    else task()
  }

  pause (): void {
    this.#paused = true
  }

  resume (): void {
    this.#paused = false
    for (const task of this.#deferred.splice(0)) this.run(task)
  }
}
