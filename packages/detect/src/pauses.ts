/**
 * Notices when this process itself was paused: frozen, without a processor, or on a suspended machine. What it timed meanwhile says nothing about
 * others, so code that measures silence compares with `resumedAt` first.
 * Owns a timer and the time of its last tick; relies on `Clock.bootNow`, which runs on during all of these.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'

/** Time between two ticks, in ms: an eighth of the shortest silence that is judged (400 ms). */
const tickInterval = 50

/**
 * Gap between two ticks that counts as a pause, in ms: below the 400 ms of silence that make a suspect, and above the delays of a busy
 * process on half a core.
 */
const pauseGap = 300

/** Detects pauses of this process. */
export class Pauses {
  readonly #clock: Clock
  readonly #paused: (time: number) => void
  #tickedAt: number
  #resumedAt = -Infinity
  #timer: Subscription | undefined

  /** @param paused called after each pause since `start` with its length, in ms */
  constructor (clock: Clock, paused: (time: number) => void = () => {}) {
    this.#clock = clock
    this.#paused = paused
    this.#tickedAt = clock.bootNow()
  }

  /** When the process last ran on after a pause, on `Clock.now`; -Infinity where it was never paused. */
  get resumedAt (): number {
    // A pause must show at once, also to a caller that runs before the late tick does.
    this.#tick()
    return this.#resumedAt
  }

  start (): void {
    this.#timer = this.#clock.every(tickInterval, () => this.#tick())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #tick (): void {
    const ticked = this.#clock.bootNow()
    const pause = ticked - this.#tickedAt
    this.#tickedAt = ticked
    if (pause <= pauseGap) return
    this.#resumedAt = this.#clock.now()
    if (this.#timer !== undefined) this.#paused(pause)
  }
}
