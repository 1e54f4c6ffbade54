/**
 * Measures how long the machine was suspended: time that the wall clock counted and the monotonic clock did not. Its
 * only state is the previous readings of both clocks and the total. The wall clock can also step, so the two clocks
 * are compared from one reading to the next. A step ahead counts as a suspension, so that leases and confirmations
 * expire early. A step back counts as nothing. It hides a suspension only if both happen between two readings.
 */

/**
 * Minimum gain of the wall clock between two readings that counts as a suspension, in ms. A wall clock that is adjusted
 * gradually gains less than this between two readings.
 */
const minSuspension = 50

/** Sums up the suspensions of the machine. */
export class Suspension {
  #monotonic: number
  #wall: number
  #total = 0

  /**
   * @param monotonic the present monotonic time, in ms
   * @param wall the present wall time, in ms
   */
  constructor (monotonic: number, wall: number) {
    this.#monotonic = monotonic
    this.#wall = wall
  }

  /**
   * The sum of all suspensions up to now, in ms. It must be called often, because steps and suspensions between two
   * calls cannot be told apart.
   */
  total (monotonic: number, wall: number): number {
    const gained = (wall - this.#wall) - (monotonic - this.#monotonic)
    this.#monotonic = monotonic
    this.#wall = wall
    if (gained >= minSuspension) this.#total += gained
    return this.#total
  }
}
