/** The rate of an event, smoothed over about a second. Pure; times are parameters, in ms. */

const smoothingTime = 1000

/** Minimum time of observation before the rate is known, in ms. */
const minObservedTime = 250

/** Time without events after which the rate is unknown again, in ms. */
const expiryTime = 3000

/** The rate of an event. */
export class Rate {
  #sum = 0
  #at = 0
  #since: number | undefined

  add (now: number): void {
    if (this.#since === undefined || now - this.#at > expiryTime) {
      this.#since = now
      this.#sum = 0
    }
    this.#sum = this.#sum * Math.exp((this.#at - now) / smoothingTime) + 1
    this.#at = now
  }

  /** Events per second; undefined if the rate is not known. */
  at (now: number): number | undefined {
    if (this.#since === undefined || this.isExpired(now) || now - this.#since < minObservedTime) return undefined
    const seen = 1 - Math.exp((this.#since - now) / smoothingTime)
    return this.#sum * Math.exp((this.#at - now) / smoothingTime) / seen * 1000 / smoothingTime
  }

  /** Whether there was no event for so long that the rate is unknown again. */
  isExpired (now: number): boolean {
    return now - this.#at > expiryTime
  }
}
