/**
 * Estimates the median of a series without storing its values. Each value moves the estimate towards itself, and an
 * outlier moves it no further than other values do. Pure.
 */

/**
 * Upper bound of the step by which a value moves the estimate, in units of the values. The bound is `initialStep` at
 * the first value, shrinks in inverse proportion to the number of values, and stays at `minStep` from then on.
 */
const initialStep = 120
const minStep = 2

/** Maximum part of the distance to a value by which the estimate moves. */
const maxApproach = 0.5

/** A running estimate of the median of a series. */
export class RunningMedian {
  #value = 0
  #count = 0

  /** The estimate; 0 before the first value. */
  get value (): number {
    return this.#value
  }

  add (value: number): void {
    this.#count++
    const step = Math.max(minStep, initialStep / this.#count)
    this.#value += Math.max(-step, Math.min(step, maxApproach * (value - this.#value)))
  }
}
