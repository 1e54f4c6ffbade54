/**
 * A sum over the last `span` ms, in buckets. It includes the whole oldest bucket, so it is never too small. Owns the
 * buckets. Pure; times are parameters, in ms on one monotonic clock.
 */

/** Number of buckets in a span. Their length is the precision of the sum. */
const bucketCount = 40

interface Bucket {
  readonly index: number
  sum: number
}

/** A sum over the last `span` ms. */
export class SlidingSum {
  readonly #length: number
  readonly #buckets: Bucket[] = []

  /** @param span in ms */
  constructor (span: number) {
    this.#length = span / bucketCount
  }

  add (value: number, now: number): void {
    const index = Math.floor(now / this.#length)
    const last = this.#buckets.at(-1)
    if (last?.index === index) last.sum += value
    else this.#buckets.push({ index, sum: value })
  }

  sum (now: number): number {
    const oldest = Math.floor(now / this.#length) - bucketCount
    while (this.#buckets.length > 0 && this.#buckets[0].index < oldest) this.#buckets.shift()
    return this.#buckets.reduce((total, bucket) => total + bucket.sum, 0)
  }
}
