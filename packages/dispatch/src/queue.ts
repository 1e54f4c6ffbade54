/**
 * Requests that wait for an upstream with room. Owns their order: the most urgent first, among equals the oldest.
 * Relies on `wake` being called whenever room may have appeared. How long a request may wait is decided in `waiting.ts`.
 */
import { type Clock } from '@eiderwind/clock'

interface Waiter {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Looks for room again, and ends the wait if there is some. */
  readonly retry: () => void
}

/** A queue of requests that wait for room. */
export class Queue {
  readonly #clock: Clock
  readonly #waiters: Waiter[] = []

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get count (): number {
    return this.#waiters.length
  }

  /**
   * Resolves with what `find` returns as soon as that is defined, or with undefined after `time` ms.
   * @param onWait called with a function that ends the wait early, unless something was found at once
   */
  wait<Value> (priority: number, time: number, find: () => Value | undefined, onWait?: (cancel: () => void) => void): Promise<Value | undefined> {
    const found = find()
    if (found !== undefined || time <= 0) return Promise.resolve(found)
    return new Promise(resolve => {
      const end = (value: Value | undefined): void => {
        timer.cancel()
        this.#remove(waiter)
        resolve(value)
      }
      const retry = (): void => {
        const value = find()
        if (value !== undefined) end(value)
      }
      const cancel = (): void => end(undefined)
      const waiter: Waiter = { priority, retry }
      const timer = this.#clock.after(time, cancel)
      this.#insert(waiter)
      onWait?.(cancel)
    })
  }

  /** Looks for room again for every waiting request, in the order of the queue. */
  wake (): void {
    for (const waiter of [...this.#waiters]) waiter.retry()
  }

  #insert (waiter: Waiter): void {
    const index = this.#waiters.findIndex(each => each.priority > waiter.priority)
    this.#waiters.splice(index < 0 ? this.#waiters.length : index, 0, waiter)
  }

  #remove (waiter: Waiter): void {
    const index = this.#waiters.indexOf(waiter)
    if (index >= 0) this.#waiters.splice(index, 1)
  }
}
