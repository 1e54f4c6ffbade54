/**
 * Distinguishes an outage of the store from a time without changes, and from a cut of this gateway's own path to it. In
 * an outage the calls of this gateway fail, and no other gateway has a newer list of upstreams. While another one reads
 * the list, a record that goes has not lapsed. Owns the times of the last outage and of the first answer, and
 * relies on the gateway to report every call and every list of another gateway. `Roster` and the gateway use it to
 * decide how far the list of upstreams can be trusted.
 */
import { type Clock } from '@eiderwind/clock'

/**
 * Shortest outage in which records may lapse, in ms. It is below the three missed heartbeats after which the store
 * drops a record (3.6 s with a heartbeat of 1.2 s).
 */
const minimumOutage = 2500

/** Failed calls in a row that make an outage. A single lost answer makes none. */
const minimumFailures = 2

/**
 * Time after an outage in which records that lapsed during it are listed again, in ms. The platform states about two
 * seconds; the rest is a margin.
 */
const relistTime = 2600

/** What another gateway says of its list of upstreams. Times are on this process's `Clock.bootNow`. */
export interface ListReading {
  /** The id of that gateway. */
  readonly from: string
  /** The list includes everything that happened before this time. */
  readonly completeAt: number
  /** When the last outage ended by the judgement of that gateway; -Infinity if there was none. */
  readonly outageEndedAt: number
}

/** Stores the times of the last outage. A time without calls, or without changes, does not count as an outage. */
export class Outage {
  readonly #clock: Clock
  #answeredAt: number
  #failingSince: number | undefined
  #failures = 0
  #endedAt = -Infinity
  /** The id of the gateway that noticed the end of the last outage; undefined for this one. */
  #endedBy: string | undefined
  /** The list of upstreams is known up to this time, by this gateway's readings or by others, on `Clock.bootNow`. */
  #knownUpTo = -Infinity
  /** Failed calls of the last outage. */
  #lastFailures = 0
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

  /** When the last outage ended, on `Clock.bootNow`; -Infinity if there was none. */
  get endedAt (): number {
    return this.#endedAt
  }

  /** The id of the gateway that noticed the end of the last outage; undefined for this one. */
  get endedBy (): string | undefined {
    return this.#endedBy
  }

  /** Number of failed calls in a row of the last outage; 0 if this gateway noticed none. */
  get lastFailures (): number {
    return this.#lastFailures
  }

  /**
   * Whether the list is complete. A process that starts cannot know whether an outage ended just before its first
   * answer. Upstreams that have yet to be listed again may then be missing.
   */
  get listComplete (): boolean {
    return this.#clock.bootNow() - this.#firstAnswerAt >= relistTime
  }

  /** Whether this process has resumed following the list after a gap in which it may have missed an outage. */
  get resumed (): boolean {
    return this.#resumed
  }

  /**
   * Records that this process follows the list again from now on, after another process followed it for a while. If the
   * gap between the two is long enough for an unnoticed outage, an outage may just have ended, as at a start.
   * @param knownUpTo the list includes everything that happened before this time, on `Clock.bootNow`
   */
  resume (knownUpTo: number): void {
    const now = this.#clock.bootNow()
    if (now - knownUpTo <= minimumOutage) return
    this.#firstAnswerAt = now
    this.#resumed = true
  }

  /** Records that a call was answered. */
  recordAnswer (): void {
    const now = this.#clock.bootNow()
    this.#firstAnswerAt = Math.min(this.#firstAnswerAt, now)
    if (this.#failingSince !== undefined && this.#failures >= minimumFailures && now - Math.max(this.#failingSince, this.#knownUpTo) > minimumOutage) {
      this.#endedAt = now
      this.#endedBy = undefined
      this.#lastFailures = this.#failures
    }
    this.#answeredAt = now
    this.#failingSince = undefined
    this.#failures = 0
  }

  /**
   * Records that this gateway has read the list of upstreams from the store.
   * @param completeAt the list includes everything that happened before this time, on `Clock.bootNow`
   */
  recordList (completeAt: number): void {
    this.#knownUpTo = Math.max(this.#knownUpTo, completeAt)
  }

  /**
   * Records the list of another gateway. An outage that it noticed counts here too, unless this gateway knew the list
   * meanwhile: then that gateway had only lost its own path to the store.
   */
  recordReading ({ from, completeAt, outageEndedAt }: ListReading): void {
    if (outageEndedAt > this.#endedAt && outageEndedAt - this.#knownUpTo > minimumOutage) {
      this.#endedAt = outageEndedAt
      this.#endedBy = from
      this.#lastFailures = 0
    }
    this.#knownUpTo = Math.max(this.#knownUpTo, completeAt)
  }

  /** Records that a call failed. @param askedAt when the call was made, on `Clock.bootNow` */
  recordFailure (askedAt: number): void {
    this.#failures++
    this.#failingSince ??= Math.max(askedAt, this.#answeredAt)
  }
}
