import { type Clock, type Subscription } from '@eiderwind/clock'

/** Time between two ticks, and the gap between them from which this process has stood still, in ms. */
const interval = 50
const gap = 300

/** Notices when this process itself has stood still: frozen, or without a processor. What it timed meanwhile says nothing of others. */
export class Pauses {
  readonly #clock: Clock
  #tickedAt: number
  #wokeAt = -Infinity
  #timer: Subscription | undefined

  constructor (clock: Clock) {
    this.#clock = clock
    this.#tickedAt = clock.now()
  }

  /** When it last woke, on `Clock.now`. */
  get wokeAt (): number {
    this.#tick()
    return this.#wokeAt
  }

  start (): void {
    this.#timer = this.#clock.every(interval, () => this.#tick())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #tick (): void {
    const now = this.#clock.now()
    if (now - this.#tickedAt > gap) this.#wokeAt = now
    this.#tickedAt = now
  }
}
