/**
 * Distinguishes an outage of the store from a time in which nothing changed, by the calls that failed. It owns the times of
 * the last outage and of the first answer; it relies on the gateway to report every call. `Roster` and the gateway read
 * from it how far the list of upstreams can be trusted.
 */
import { type Clock } from '@eiderwind/clock'

/**
 * Shortest outage in which records may lapse, in ms: below the three heartbeats of silence after
 * which the store drops a record (3.6 s where a heartbeat takes 1.2 s).
 */
const minimumOutage = 2500

/**
 * Failed calls in a row that make an outage: a single lost answer makes none.
 */
const minimumFailures = 2

/**
 * Time after an outage within which the records that lapsed during it are listed again, in ms. The platform states
 * about two seconds; the rest is a margin.
 */
const relistTime = 2600

/** Keeps the times of the last outage. A list that was not asked for, or had nothing new, was not away. */
export class Outage {
  readonly #clock: Clock
  #answeredAt: number
  #failingSince: number | undefined
  #failures = 0
  #endedAt = -Infinity
  #firstAnswerAt = Infinity
  #resumed = false

  constructor (clock: Clock) {
    this.#clock = clock
    this.#answeredAt = clock.bootNow()
  }

  /** Until when records that lapsed during the last outage may be listed again, on `Clock.bootNow`. */
  get relistDeadline (): number {
    return this.#endedAt + relistTime
  }

  /**
   * Whether the list is complete. A process that starts cannot know whether an outage ended just before its first answer,
   * and thus whether upstreams are missing that have yet to be listed again.
   */
  get listComplete (): boolean {
    return this.#clock.bootNow() - this.#firstAnswerAt >= relistTime
  }

  /** Whether the list was not followed here for a while: what the process knew of outages has a gap. */
  get resumed (): boolean {
    return this.#resumed
  }

  /**
   * Notes that the list is followed here again from now on, after another process did so. Where a gap is left in which an outage may have
   * passed unnoticed, one may just have ended, as at a start.
   * @param knownUpTo the list lacks nothing that happened before, on `Clock.bootNow`
   */
  resume (knownUpTo: number): void {
    const now = this.#clock.bootNow()
    if (now - knownUpTo <= minimumOutage) return
    this.#firstAnswerAt = now
    this.#resumed = true
  }

  /** Notes that a call was answered. */
  answered (): void {
    const now = this.#clock.bootNow()
    this.#firstAnswerAt = Math.min(this.#firstAnswerAt, now)
    if (this.#failingSince !== undefined && this.#failures >= minimumFailures && now - this.#failingSince > minimumOutage) this.#endedAt = now
    this.#answeredAt = now
    this.#failingSince = undefined
    this.#failures = 0
  }

  /** Notes that a call failed. @param askedAt when it was made, on `Clock.bootNow` */
  failed (askedAt: number): void {
    this.#failures++
    this.#failingSince ??= Math.max(askedAt, this.#answeredAt)
  }
}
