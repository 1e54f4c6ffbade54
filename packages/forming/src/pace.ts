/**
 * Schedules the passes of a controller. A pass runs at once after each change, one at a time, with pauses that leave
 * most of the processor to other work. Owns the timer of a pause, and relies on the controller to report how long its
 * passes take.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'

/** Dependencies of `Pace`. */
export interface PaceOptions {
  readonly clock: Clock
  /** Runs one pass. */
  readonly runPass: () => Promise<void>
  /** Called with the error of a pass. */
  readonly failed: (error: unknown) => void
}

/**
 * Share of a core that passes may use while changes arrive continuously, from 0 to 1. With 0.2, the next pass waits
 * four times as long as the last one took. In a fleet of 380 engines each death changes about 20 of them. A planner
 * that has just taken over and runs a pass for every change has no time for anything else: its orders take 0.6 to 1 s
 * instead of 0.02 s. In a small fleet a pass takes less than 1 ms, so the next one waits less than 4 ms.
 */
const passCpuShare = 0.2

/** Runs passes when the controller is woken. */
export class Pace {
  readonly #options: PaceOptions
  #isRunning = false
  #runAgain = false
  /** When the current pause ends, on `Clock.now`. */
  #pausedUntil = -Infinity
  #pauseTimer: Subscription | undefined

  constructor (options: PaceOptions) {
    this.#options = options
  }

  /** Runs a pass now, or after the pass in progress, or when the pause has ended. */
  wake (): void {
    if (this.#isRunning) {
      this.#runAgain = true
      return
    }
    if (this.#isPaused()) return
    this.#isRunning = true
    this.#runAgain = false
    const { runPass, failed } = this.#options
    runPass().catch(failed).finally(() => {
      this.#isRunning = false
      if (this.#runAgain) this.wake()
    })
  }

  /** Records how long the pass in progress has occupied the processor. @param time in ms */
  recordDuration (time: number): void {
    this.#pausedUntil = this.#options.clock.now() + time * (1 / passCpuShare - 1)
  }

  stop (): void {
    this.#pauseTimer?.cancel()
  }

  /** Whether the next pass has to wait. If so, a timer starts it at the end of the pause. */
  #isPaused (): boolean {
    const { clock } = this.#options
    const wait = this.#pausedUntil - clock.now()
    if (wait <= 0) return false
    this.#pauseTimer ??= clock.after(wait, () => {
      this.#pauseTimer = undefined
      this.wake()
    })
    return true
  }
}
