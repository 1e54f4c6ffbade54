/**
 * Decides when new connections have to be closed unread, because a process accepts them more slowly than they arrive.
 * Pure; the caller passes the time. The operating system queues connections until the process accepts them, and does
 * not tell for how long. While connections arrive faster than they are accepted, each one waits for longer than the one
 * before, and in the end is read after its caller has given up. The time for which the queue has not been empty is an
 * upper bound on that wait, so the rule also closes connections of a long burst that have waited for less.
 */

/**
 * Longest time for which connections are closed without a break, in multiples of the accepted wait. Afterwards some are
 * read again, even if work on open connections leaves no time to empty the queue.
 */
const maxClosingWaits = 4

/** The queue of connections that are not accepted yet. */
export class StandingQueue {
  readonly #maxWait: number
  /** Since when the queue has not been seen empty, or since when `isOverloaded` has its value if that is later. */
  #since: number | undefined
  #isOverloaded = false

  /** @param maxWait how long the queue may stay without being empty, in ms */
  constructor (maxWait: number) {
    this.#maxWait = maxWait
  }

  /** Whether the next connections have to be closed instead of being read. */
  get isOverloaded (): boolean {
    return this.#isOverloaded
  }

  /**
   * Takes what one turn of the event loop showed.
   * @param isEmpty whether there was no new connection
   * @param now in ms
   */
  observe (isEmpty: boolean, now: number): void {
    if (isEmpty) {
      this.#isOverloaded = false
      this.#since = undefined
      return
    }
    this.#since ??= now
    const bound = this.#isOverloaded ? maxClosingWaits * this.#maxWait : this.#maxWait
    if (now - this.#since < bound) return
    this.#isOverloaded = !this.#isOverloaded
    this.#since = now
  }
}
