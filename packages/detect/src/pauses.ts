/**
 * Notices when this process itself was paused: frozen, or without a processor. What it timed meanwhile says nothing about
 * others, so code that measures silence compares with `resumedAt` first.
 * Owns a timer and the time of its last tick; relies on the steady clock running on during a pause.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'

/** Time between two ticks, in ms: an eighth of the shortest silence that is judged (400 ms). Chosen, not measured. */
const tickInterval = 50

/**
 * Gap between two ticks that counts as a pause, in ms: below the 400 ms of silence that make a suspect, and above the delays of a busy
 * process on half a core. Chosen after soak 140 (docs/INCIDENTS.md), not measured.
 */
const pauseGap = 300

/** Detects pauses of this process. */
export class Pauses {
  readonly #clock: Clock
  #tickedAt: number
  #resumedAt = -Infinity
  #timer: Subscription | undefined

  constructor (clock: Clock) {
    this.#clock = clock
    this.#tickedAt = clock.now()
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
    const now = this.#clock.now()
    if (now - this.#tickedAt > pauseGap) this.#resumedAt = now
    this.#tickedAt = now
  }
}
