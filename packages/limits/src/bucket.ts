/**
 * A token bucket: how many requests a second may go to one upstream. Pure; times are given, on one steady clock. It is kept as the one time of the generic cell rate
 * algorithm (ITU-T I.371), so it needs no timer and no count.
 */

/** Tokens beyond the first that a full bucket holds, and the least of them as a time: a timer that runs out late must not cost a token. */
const spareTokens = 0.5
const timerLateness = 2

/** The tokens of one upstream. */
export class Bucket {
  /** Time between two tokens, in ms. */
  #interval: number
  /** When all tokens taken so far are paid for; the next may be taken `#tolerance` before that. */
  #paid: number

  /** @param rate tokens a second @param firstAt when the first token may be taken */
  constructor (rate: number, firstAt: number) {
    this.#interval = 1000 / rate
    this.#paid = firstAt + this.#tolerance
  }

  /** Changes the rate; what is owed counts in requests, not in time. */
  setRate (rate: number, now: number): void {
    const interval = 1000 / rate
    if (interval === this.#interval) return
    const owed = Math.max(0, this.#paid - now) / this.#interval
    this.#interval = interval
    this.#paid = now + owed * interval
  }

  /** Takes a token; false where there is none. */
  take (now: number): boolean {
    if (this.due(now) > 0) return false
    this.#paid = Math.max(this.#paid, now) + this.#interval
    return true
  }

  /** Time until there is a token for one that lets `ahead` others go first, in ms; 0 where there is one now. */
  due (now: number, ahead = 0): number {
    return Math.max(0, this.#paid + ahead * this.#interval - this.#tolerance - now)
  }

  get #tolerance (): number {
    return Math.max(spareTokens * this.#interval, timerLateness)
  }
}
