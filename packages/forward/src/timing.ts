/**
 * How the time of one request was spent: its wait in the gateway, the time until the first part of its answer, and the
 * longest pause after that. Pure bookkeeping. This module owns the rules for when an answer is late and what delayed it
 * most.
 */
import { type Route } from '@eiderwind/traffic'
import { type Expectation } from '@eiderwind/work'

/**
 * What made an answer late.
 *
 * `waiting`: the request waited for free capacity for most of the time until the first part. `attempts`: an earlier
 * attempt failed. `first`: the upstream took most of the time. `resume`: the answer paused while it was resumed at
 * another upstream. `pause`: the upstream paused.
 */
export type Lateness = 'waiting' | 'attempts' | 'first' | 'resume' | 'pause'

/** The times of one request, in ms on `Clock.now`. */
export class Timing {
  readonly #arrivedAt: number
  #sentAt: number | undefined
  #expectation: Expectation | undefined
  #sends = 0
  /** Number of sends before the first part of the answer. */
  #sendsBeforeFirst = 0
  #firstAt: number | undefined
  #latestAt: number | undefined
  #maxPause = 0
  /** Number of sends before the end of the longest pause. */
  #sendsAtPause = 0

  constructor (arrivedAt: number) {
    this.#arrivedAt = arrivedAt
  }

  /** Records that an attempt is sent. */
  sent (now: number): void {
    this.#sentAt ??= now
    this.#sends++
  }

  /** Records the forecast for the first part of the answer to the first send. */
  expect (expectation: Expectation): void {
    this.#expectation = expectation
  }

  /** Records that a part of the answer is sent to the caller. */
  passed (now: number): void {
    if (this.#firstAt === undefined) {
      this.#firstAt = now
      this.#sendsBeforeFirst = this.#sends
    }
    const pause = now - (this.#latestAt ?? now)
    this.#latestAt = now
    if (pause <= this.#maxPause) return
    this.#maxPause = pause
    this.#sendsAtPause = this.#sends
  }

  /** Time until the first attempt, in ms; undefined if there was none. */
  get waited (): number | undefined {
    return this.#sentAt === undefined ? undefined : this.#sentAt - this.#arrivedAt
  }

  /** Time until the first part of the answer, in ms; undefined before it. */
  get first (): number | undefined {
    return this.#firstAt === undefined ? undefined : this.#firstAt - this.#arrivedAt
  }

  /** The forecast for the first part. Undefined if there was none, or if a later attempt delivered the first part. */
  get expectation (): Expectation | undefined {
    return this.#sendsBeforeFirst === 1 ? this.#expectation : undefined
  }

  /** Delay of the first part relative to the forecast, in ms; undefined without a forecast. */
  get error (): number | undefined {
    const { expectation, first, waited } = this
    return expectation === undefined || first === undefined || waited === undefined ? undefined : first - waited - expectation.time
  }

  /** The longest pause between two parts of the answer, in ms. */
  get pause (): number {
    return this.#maxPause
  }

  /**
   * What made an answer late by the objectives of its route. Undefined if it was in time or no part of it was
   * forwarded.
   */
  lateness ({ objective, gap }: Pick<Route, 'objective' | 'gap'>): Lateness | undefined {
    const { first, waited = 0, pause } = this
    if (first === undefined) return undefined
    if (first > objective) return waited > first / 2 ? 'waiting' : this.#sendsBeforeFirst > 1 ? 'attempts' : 'first'
    if (pause > gap) return this.#sendsAtPause > this.#sendsBeforeFirst ? 'resume' : 'pause'
    return undefined
  }
}
