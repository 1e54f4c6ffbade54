/** The median of a series, followed without keeping it: each value moves the estimate towards itself, and one that is far off by no more than others. Pure. */

/** Longest step of the first value, and the least that a later one has, in units of the values. */
const firstStep = 120
const leastStep = 2

/** Part of the distance to a value by which the estimate moves at the most. */
const approach = 0.5

/** Follows the median of a series. */
export class RunningMedian {
  #value = 0
  #count = 0

  /** The estimate; 0 before the first value. */
  get value (): number {
    return this.#value
  }

  add (value: number): void {
    this.#count++
    const step = Math.max(leastStep, firstStep / this.#count)
    this.#value += Math.max(-step, Math.min(step, approach * (value - this.#value)))
  }
}
