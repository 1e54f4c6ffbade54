import { type Clock } from '@eiderwind/clock'
import { type Roster } from '@eiderwind/roster'

/** How often a suspected head is tried again with one request, in ms. */
const trialInterval = 2500

interface Suspicion {
  /** When it began, or a request last tried the head. */
  at: number
  /** The replica that the head formed at that time. */
  readonly replica: string
}

/** Heads whose streams stand still. One that is heard again, or that forms another replica, is no longer suspected. */
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
    if (this.has(id)) return false
    this.#suspicions.set(id, { at: this.#clock.now(), replica: this.#replica(id) })
    return true
  }

  has (id: string): boolean {
    const suspicion = this.#suspicions.get(id)
    if (suspicion === undefined) return false
    if (suspicion.replica === this.#replica(id)) return true
    this.#suspicions.delete(id)
    return false
  }

  /** Whether a head may be sent a request: it is not suspected, or it is time to try it again. */
  passes (id: string): boolean {
    return !this.has(id) || this.#clock.now() - (this.#suspicions.get(id)?.at ?? 0) >= trialInterval
  }

  /** Notes that a request was sent to a head. */
  sent (id: string): void {
    const suspicion = this.#suspicions.get(id)
    if (suspicion !== undefined) suspicion.at = this.#clock.now()
  }

  /** Notes that something came from a head. */
  heard (id: string): void {
    if (this.#suspicions.size > 0) this.#suspicions.delete(id)
  }

  get all (): string[] {
    return [...this.#suspicions.keys()].filter(id => this.has(id))
  }

  #replica (id: string): string {
    return this.#roster.find(id)?.membership?.replica ?? ''
  }
}
