import { type Clock } from '@eiderwind/clock'
import { type Roster } from '@eiderwind/roster'

/** A suspicion ends after this long, in ms; then one request after another tries the head again. */
const lifetime = 2500

interface Suspicion {
  readonly at: number
  /** The replica and its epoch at that time. */
  readonly replica: string
}

/** Heads whose streams stand still. A head that forms another replica is no longer suspected. */
export class Suspects {
  readonly #clock: Clock
  readonly #roster: Roster
  readonly #suspicions = new Map<string, Suspicion>()

  constructor (clock: Clock, roster: Roster) {
    this.#clock = clock
    this.#roster = roster
  }

  /** Suspects a head. Says whether that is new. */
  add (id: string): boolean {
    const known = this.has(id)
    this.#suspicions.set(id, { at: this.#clock.now(), replica: this.#replica(id) })
    return !known
  }

  has (id: string): boolean {
    const suspicion = this.#suspicions.get(id)
    if (suspicion === undefined) return false
    if (suspicion.replica === this.#replica(id) && this.#clock.now() - suspicion.at < lifetime) return true
    this.#suspicions.delete(id)
    return false
  }

  get all (): string[] {
    return [...this.#suspicions.keys()].filter(id => this.has(id))
  }

  #replica (id: string): string {
    return this.#roster.find(id)?.membership?.replica ?? ''
  }
}
