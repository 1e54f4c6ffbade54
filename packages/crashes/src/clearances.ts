/**
 * When requests with a name were last known to be served. A clearance also holds against reports of earlier crashes,
 * and against blocks that rest on these, which arrive later. Owns the times; their number is bounded.
 */
import { type Clock } from '@eiderwind/clock'

/** Maximum number of remembered clearances. The oldest are dropped first. */
const maxClearances = 1000

/** The last clearance of each name. */
export class Clearances {
  readonly #clock: Clock
  readonly #times = new Map<string, number>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Records that a request with this name was served at a time on `Clock.now`. */
  add (name: string, at: number): void {
    const last = Math.max(at, this.at(name))
    this.#times.delete(name)
    this.#times.set(name, last)
    if (this.#times.size <= maxClearances) return
    const [oldest] = this.#times.keys()
    this.#times.delete(oldest)
  }

  /** The time of the last clearance of a name on `Clock.now`; -Infinity if there is none. */
  at (name: string): number {
    return this.#times.get(name) ?? -Infinity
  }

  /** All clearances: the time since each, in ms, by name. */
  get ages (): Record<string, number> {
    const now = this.#clock.now()
    return Object.fromEntries([...this.#times].map(([name, at]) => [name, now - at]))
  }
}
