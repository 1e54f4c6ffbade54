import { type Clock } from '@eiderwind/clock'

/** Without an answer for this long, in ms, the list was away for its upstreams too, and their entries may have lapsed. */
const awayTime = 2500

/** How many calls in a row must have failed: one lost answer is no outage. */
const leastFailures = 2

/** Entries that lapsed meanwhile are back within this time of the return, or their upstreams are gone; in ms. */
const returnTime = 2600

/**
 * Tells outages of what lists the upstreams from quiet times, by the calls that failed. A list that nobody asked, or
 * that had nothing to tell, was not away.
 */
export class Outage {
  readonly #clock: Clock
  #answeredAt: number
  #since: number | undefined
  #failures = 0
  #backAt = -Infinity
  #firstAt = Infinity

  constructor (clock: Clock) {
    this.#clock = clock
    this.#answeredAt = clock.now()
  }

  /** Until when entries that lapsed during the last outage may still come back, on `Clock.now`. */
  get returnsUntil (): number {
    return this.#backAt + returnTime
  }

  /**
   * Whether the list can be taken for whole: a process that began to read it just after an outage, which it cannot know
   * of, lacks what is not back yet.
   */
  get whole (): boolean {
    return this.#clock.now() - this.#firstAt >= returnTime
  }

  /** Notes that a call was answered. */
  answered (): void {
    const now = this.#clock.now()
    this.#firstAt = Math.min(this.#firstAt, now)
    if (this.#since !== undefined && this.#failures >= leastFailures && now - this.#since > awayTime) this.#backAt = now
    this.#answeredAt = now
    this.#since = undefined
    this.#failures = 0
  }

  /** Notes that a call that was made at `askedAt` failed. */
  failed (askedAt: number): void {
    this.#failures++
    this.#since ??= Math.max(askedAt, this.#answeredAt)
  }
}
