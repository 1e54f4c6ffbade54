/**
 * A token bucket, which bounds how many requests a second are sent to one upstream. Pure; times are parameters, in ms
 * on one monotonic clock. Its state is the theoretical arrival time of the generic cell rate algorithm (ITU-T I.371),
 * so it needs neither a timer nor a count.
 */

/**
 * Tokens beyond the first that a full bucket holds. At high rates a full bucket holds more: what accrues in
 * `timerDelay` ms. A timer that fires late must not cost a token.
 */
const extraTokens = 0.5
const timerDelay = 2

/** The token bucket of one upstream. */
export class TokenBucket {
  /** Time between two tokens, in ms. */
  #interval: number
  /** The theoretical arrival time of the next request. A token may be taken `#tolerance` before it. */
  #theoreticalArrival: number

  /**
   * @param rate tokens a second
   * @param firstAt when the first token may be taken, in ms
   */
  constructor (rate: number, firstAt: number) {
    this.#interval = 1000 / rate
    this.#theoreticalArrival = firstAt + this.#tolerance
  }

  /** Changes the rate. The number of tokens that were taken in advance stays the same. */
  setRate (rate: number, now: number): void {
    const interval = 1000 / rate
    if (interval === this.#interval) return
    const owed = Math.max(0, this.#theoreticalArrival - now) / this.#interval
    this.#interval = interval
    this.#theoreticalArrival = now + owed * interval
  }

  /** Takes a token. Returns false if there is none. */
  take (now: number): boolean {
    if (this.waitTime(now) > 0) return false
    this.#theoreticalArrival = Math.max(this.#theoreticalArrival, now) + this.#interval
    return true
  }

  /** Time until there is a token for a request that lets `ahead` others go first, in ms; 0 if there is one now. */
  waitTime (now: number, ahead = 0): number {
    return Math.max(0, this.#theoreticalArrival + ahead * this.#interval - this.#tolerance - now)
  }

  get #tolerance (): number {
    return Math.max(extraTokens * this.#interval, timerDelay)
  }
}
