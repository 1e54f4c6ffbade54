/** Counts events of the last second, by name. Owns the times of these events. */
import { type Clock } from '@eiderwind/clock'

/** Span over which events are counted, in ms. */
const windowTime = 1000

/** Counts events of the last second. */
export class RecentEvents {
  readonly #clock: Clock
  /** Times of the events, on `Clock.now`, by name. */
  readonly #times = new Map<string, number[]>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Names of all events that were ever counted, perhaps not within the last second. */
  get names (): Iterable<string> {
    return this.#times.keys()
  }

  /** Counts an event that happens now. */
  add (name: string): void {
    this.#times.set(name, [...this.#recent(name), this.#clock.now()])
  }

  /** Events of the last second. */
  count (name: string): number {
    return this.#recent(name).length
  }

  #recent (name: string): number[] {
    const since = this.#clock.now() - windowTime
    return (this.#times.get(name) ?? []).filter(each => each > since)
  }
}
