/**
 * The rate at which places become free while requests wait for them. Owns a decaying count of taken places, in memory
 * only. Times are on `Clock.now`, in ms.
 */
import { DecayingSum, effectiveWindow } from './decaying.js'

/** Half-life of the count, in ms. Engines that fail or join show in the rate within a second. */
const halfLife = 1000

/** Time for which requests must have waited without a long gap before the rate is known, in ms. */
const minObservationMs = 1000

/** Time without a waiting request after which the count is discarded, in ms. */
const maxGapMs = 1000

/** The rate of places that were taken recently. */
export class PlaceRate {
  #taken = new DecayingSum(halfLife)
  #observedSince = Infinity
  #contendedAt = -Infinity

  /** Counts a place that was taken. @param contended whether other requests wait, or this one waited */
  recordTaken (contended: boolean, now: number): void {
    if (now - this.#contendedAt > maxGapMs) this.#reset()
    if (contended) {
      this.#contendedAt = now
      this.#observedSince = Math.min(this.#observedSince, now)
    }
    if (this.#observedSince !== Infinity) this.#taken.add(1, now)
  }

  /** Places per second. Undefined if requests have not waited for long enough, or none waited lately. */
  rateAt (now: number): number | undefined {
    const time = now - this.#observedSince
    if (time < minObservationMs || now - this.#contendedAt > maxGapMs) return undefined
    return this.#taken.valueAt(now) * 1000 / effectiveWindow(halfLife, time)
  }

  #reset (): void {
    this.#taken = new DecayingSum(halfLife)
    this.#observedSince = Infinity
  }
}

/** The 95th percentile of the normal distribution, in standard deviations above the mean. */
const z95 = 1.64

/**
 * Upper bound of the rate within a time, in places per second. It is exceeded in only one case of twenty.
 * @param time in ms
 */
export function maxRate (rate: number, time: number): number {
  const expected = rate * time / 1000
  return (expected + z95 * Math.sqrt(expected) + 1) * 1000 / time
}
