/** How often something happens, smoothed over about a second. Pure; times are given, in ms. */

const smoothing = 1000

/** Time that has to be seen before a rate is known, in ms. */
const leastSeen = 250

/** After this long without anything it is not known any more, in ms. */
const forgotten = 3000

/** A rate. */
export class Rate {
  #sum = 0
  #at = 0
  #since: number | undefined

  add (now: number): void {
    if (this.#since === undefined || now - this.#at > forgotten) {
      this.#since = now
      this.#sum = 0
    }
    this.#sum = this.#sum * Math.exp((this.#at - now) / smoothing) + 1
    this.#at = now
  }

  /** Times a second; undefined where it is not known. */
  at (now: number): number | undefined {
    if (this.#since === undefined || this.isOver(now) || now - this.#since < leastSeen) return undefined
    const seen = 1 - Math.exp((this.#since - now) / smoothing)
    return this.#sum * Math.exp((this.#at - now) / smoothing) / seen * 1000 / smoothing
  }

  /** Whether nothing has happened for so long that it is forgotten. */
  isOver (now: number): boolean {
    return now - this.#at > forgotten
  }
}
