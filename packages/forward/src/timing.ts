/**
 * Where the time of one request went: how long it waited here, when its caller got the first part of the answer, and the longest pause
 * after that. Pure bookkeeping; owns the rule when an answer is late, and what it lost most of its time to.
 */
import { type Route } from '@eiderwind/traffic'
import { type Expectation } from '@eiderwind/work'

/**
 * What made an answer late. `waiting`: no upstream had room for most of the time until its first part. `attempts`: an attempt had failed
 * before. `first`: its upstream took that long. `resume`: it paused while it went on at another upstream. `pause`: its upstream paused.
 */
export type Lateness = 'waiting' | 'attempts' | 'first' | 'resume' | 'pause'

/** The times of one request, in ms on `Clock.now`. */
export class Timing {
  readonly #arrivedAt: number
  #sentAt: number | undefined
  #expectation: Expectation | undefined
  #sends = 0
  /** Sends until the first part of the answer came. */
  #sendsBefore = 0
  #firstAt: number | undefined
  #latestAt: number | undefined
  #longestPause = 0
  /** Sends until the end of the longest pause. */
  #sendsAtPause = 0

  constructor (arrivedAt: number) {
    this.#arrivedAt = arrivedAt
  }

  /** Records that an attempt is sent. */
  sent (now: number): void {
    this.#sentAt ??= now
    this.#sends++
  }

  /** Records when the first part of the answer to its first send is expected. */
  expect (expectation: Expectation): void {
    this.#expectation = expectation
  }

  /** Records that the caller gets a part of its answer. */
  passed (now: number): void {
    if (this.#firstAt === undefined) {
      this.#firstAt = now
      this.#sendsBefore = this.#sends
    }
    const pause = now - (this.#latestAt ?? now)
    this.#latestAt = now
    if (pause <= this.#longestPause) return
    this.#longestPause = pause
    this.#sendsAtPause = this.#sends
  }

  /** Time until the first attempt, in ms; undefined where there was none. */
  get waited (): number | undefined {
    return this.#sentAt === undefined ? undefined : this.#sentAt - this.#arrivedAt
  }

  /** Time until the first part of the answer, in ms; undefined before it. */
  get first (): number | undefined {
    return this.#firstAt === undefined ? undefined : this.#firstAt - this.#arrivedAt
  }

  /** What was expected of the first part; undefined where nothing was, or another attempt brought it. */
  get expectation (): Expectation | undefined {
    return this.#sendsBefore === 1 ? this.#expectation : undefined
  }

  /** By how much later than expected the first part came, in ms; undefined where nothing was expected. */
  get error (): number | undefined {
    const { expectation, first, waited } = this
    return expectation === undefined || first === undefined || waited === undefined ? undefined : first - waited - expectation.time
  }

  /** The longest pause between two parts of the answer, in ms. */
  get pause (): number {
    return this.#longestPause
  }

  /** Why an answer is late by the objectives of its route; undefined where it is in time, or nothing of it was passed on. */
  lateness ({ objective, gap }: Pick<Route, 'objective' | 'gap'>): Lateness | undefined {
    const { first, waited = 0, pause } = this
    if (first === undefined) return undefined
    if (first > objective) return waited > first / 2 ? 'waiting' : this.#sendsBefore > 1 ? 'attempts' : 'first'
    if (pause > gap) return this.#sendsAtPause > this.#sendsBefore ? 'resume' : 'pause'
    return undefined
  }
}
