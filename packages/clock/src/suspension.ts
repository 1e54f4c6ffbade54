/**
 * How long the machine was suspended: time that the steady clock did not count and the time of day did. Pure but for the two readings before. The time of
 * day also steps by itself, so the two are held against each other from one look to the next: a step ahead counts as a suspension, which ends beliefs
 * early; a step back counts as nothing, and hides a suspension only if both fall between two looks.
 */

/** Least gain of the time of day between two looks that counts as a suspension, in ms: above what adjusting the time of day gains meanwhile. */
const leastSuspension = 50

/** Adds up suspensions. */
export class Suspension {
  #steady: number
  #wall: number
  #total = 0

  /** @param steady the steady clock now, in ms  @param wall the time of day now, in ms */
  constructor (steady: number, wall: number) {
    this.#steady = steady
    this.#wall = wall
  }

  /** All suspensions up to now, in ms. It has to be asked often: what is between two looks is judged as a whole. */
  total (steady: number, wall: number): number {
    const gained = (wall - this.#wall) - (steady - this.#steady)
    this.#steady = steady
    this.#wall = wall
    if (gained >= leastSuspension) this.#total += gained
    return this.#total
  }
}
