import { type Clock } from '@eiderwind/clock'

interface Waiter {
  readonly priority: number
  readonly order: number
  readonly attempt: () => boolean
  readonly leave: () => void
}

/** Requests that wait for room, the most urgent first, then the oldest. */
export class Queue {
  readonly #clock: Clock
  readonly #waiters: Waiter[] = []
  #order = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get count (): number {
    return this.#waiters.length
  }

  /**
   * Waits until `find` gives something, for `time` ms at the most.
   * @param left told of a function that ends the wait early
   */
  wait<Value> (priority: number, time: number, find: () => Value | undefined, left?: (leave: () => void) => void): Promise<Value | undefined> {
    const found = find()
    if (found !== undefined || time <= 0) return Promise.resolve(found)
    return new Promise(resolve => {
      const end = (value: Value | undefined): void => {
        timer.cancel()
        const index = this.#waiters.indexOf(waiter)
        if (index >= 0) this.#waiters.splice(index, 1)
        resolve(value)
      }
      const attempt = (): boolean => {
        const value = find()
        if (value !== undefined) end(value)
        return value !== undefined
      }
      const waiter: Waiter = { priority, order: this.#order++, attempt, leave: () => end(undefined) }
      const timer = this.#clock.after(time, waiter.leave)
      this.#insert(waiter)
      left?.(waiter.leave)
    })
  }

  /** Looks again whether something was found for those that wait. */
  wake (): void {
    for (const waiter of [...this.#waiters]) waiter.attempt()
  }

  #insert (waiter: Waiter): void {
    const index = this.#waiters.findIndex(each => each.priority > waiter.priority)
    this.#waiters.splice(index < 0 ? this.#waiters.length : index, 0, waiter)
  }
}
