/**
 * Detects pauses of this process itself: frozen, without a processor, or on a suspended machine. Times measured across
 * a pause say nothing about other processes, so code that measures silence first compares with `resumedAt`. Owns a
 * timer and the time of its last tick. Relies on `Clock.bootNow`, which keeps running during all of these pauses.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'

/** Time between two ticks, in ms: an eighth of the shortest silence that is measured (400 ms). */
const tickInterval = 50

/**
 * Gap between two ticks that counts as a pause, in ms. It is below the 400 ms of silence that make an upstream suspect,
 * and above the delays of a busy process on half a core.
 */
const pauseGap = 300

/** Detects pauses of this process. */
export class Pauses {
  readonly #clock: Clock
  readonly #paused: (time: number) => void
  #tickedAt: number
  #resumedAt = -Infinity
  #total = 0
  #timer: Subscription | undefined

  /** @param paused called after each pause since `start` with its length, in ms */
  constructor (clock: Clock, paused: (time: number) => void = () => {}) {
    this.#clock = clock
    this.#paused = paused
    this.#tickedAt = clock.bootNow()
  }

  /** When the process last resumed after a pause, on `Clock.now`; -Infinity if it was never paused. */
  get resumedAt (): number {
    // A pause must be visible at once, also to a caller that runs before the delayed tick.
    this.#tick()
    return this.#resumedAt
  }

  /** The sum of all pauses so far, in ms. */
  get total (): number {
    this.#tick()
    return this.#total
  }

  start (): void {
    this.#timer = this.#clock.every(tickInterval, () => this.#tick())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #tick (): void {
    const tickedAt = this.#clock.bootNow()
    const pause = tickedAt - this.#tickedAt
    this.#tickedAt = tickedAt
    if (pause <= pauseGap) return
    this.#resumedAt = this.#clock.now()
    this.#total += pause
    if (this.#timer !== undefined) this.#paused(pause)
  }
}
