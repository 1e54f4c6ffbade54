/** How many places come free a second while requests wait for them. Times are on `Clock.now`, in ms. */
import { DecayingSum, countedTime } from './decaying.js'

/** Half-life of what was seen, in ms: engines that fail or join show within a second. */
const halfLife = 1000

/** Time for which requests have to have waited, one after another, until the rate is known, in ms. */
const leastTime = 1000

/** Time without a request that waits after which what was seen says nothing any more, in ms. */
const longestGap = 1000

/** Places taken lately. */
export class PlaceRate {
  #taken = new DecayingSum(halfLife)
  #since = Infinity
  #contendedAt = -Infinity

  /** Counts a place that was taken. @param contended whether other requests wait, or this one did */
  taken (contended: boolean, now: number): void {
    if (now - this.#contendedAt > longestGap) this.#reset()
    if (contended) {
      this.#contendedAt = now
      this.#since = Math.min(this.#since, now)
    }
    if (this.#since !== Infinity) this.#taken.add(1, now)
  }

  /** Places a second; undefined where too little was seen. */
  of (now: number): number | undefined {
    const time = now - this.#since
    if (time < leastTime || now - this.#contendedAt > longestGap) return undefined
    return this.#taken.at(now) * 1000 / countedTime(halfLife, time)
  }

  #reset (): void {
    this.#taken = new DecayingSum(halfLife)
    this.#since = Infinity
  }
}

/** Standard deviations above the mean that a count exceeds in one case of twenty. */
const oneInTwenty = 1.64

/** The rate at which more places come free within a time in one case of twenty only. @param time in ms */
export function mostRate (rate: number, time: number): number {
  const expected = rate * time / 1000
  return (expected + oneInTwenty * Math.sqrt(expected) + 1) * 1000 / time
}
