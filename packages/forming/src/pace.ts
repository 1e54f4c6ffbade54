/**
 * When a controller looks at its facts: at once after each change, one look at a time, and with pauses that leave most of the processor to other
 * work. Owns the timer of a pause. Relies on the controller to say how long its looks take.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'

/** Dependencies of `Pace`. */
export interface PaceOptions {
  readonly clock: Clock
  /** One look. */
  readonly look: () => Promise<void>
  /** Called with an error of a look. */
  readonly failed: (error: unknown) => void
}

/**
 * Part of a core that looks may take while everything changes at once, as a share from 0 to 1: after a look the next one waits four times
 * as long as that look took. In a fleet of 380 engines each death changes some 20 of them, and a planner that has just taken over and looks at
 * every change gives orders that take 0.6 to 1 s instead of 0.02, since it has time for nothing else. In a small fleet a look takes below
 * 1 ms, and the next waits below 4.
 */
const lookShare = 0.2

/** Wakes a controller. */
export class Pace {
  readonly #options: PaceOptions
  #looking = false
  #lookAgain = false
  /** Until when the next look waits, on `Clock.now`. */
  #restUntil = -Infinity
  #rest: Subscription | undefined

  constructor (options: PaceOptions) {
    this.#options = options
  }

  /** Looks now, after the look in progress, or once the pause is over. */
  wake (): void {
    if (this.#looking) {
      this.#lookAgain = true
      return
    }
    if (this.#isResting()) return
    this.#looking = true
    this.#lookAgain = false
    const { look, failed } = this.#options
    look().catch(failed).finally(() => {
      this.#looking = false
      if (this.#lookAgain) this.wake()
    })
  }

  /** Takes how long the look in progress has kept the processor busy. @param time in ms */
  took (time: number): void {
    this.#restUntil = this.#options.clock.now() + time * (1 / lookShare - 1)
  }

  stop (): void {
    this.#rest?.cancel()
  }

  /** Whether the next look has to wait; it is then made once the wait is over. */
  #isResting (): boolean {
    const { clock } = this.#options
    const wait = this.#restUntil - clock.now()
    if (wait <= 0) return false
    this.#rest ??= clock.after(wait, () => {
      this.#rest = undefined
      this.wake()
    })
    return true
  }
}
