/**
 * Owns the upstreams that this gateway suspects: heads whose streams have stalled, and upstreams that accepted no
 * connection. Other gateways and the reconciler read them. Relies on `Roster` to show that a suspect has formed another
 * replica, and on its callers to report attempts and received bytes.
 */
import { type Clock } from '@eiderwind/clock'
import { type Roster } from '@eiderwind/roster'

/**
 * Time between two requests that try a suspect, in ms. A repaired replica gets another name, which ends the suspicion
 * at once. Only false suspicions wait for a try, so the time may be long.
 */
const tryInterval = 2500

interface Suspicion {
  /** When the suspicion began, or when a request was last sent there, on `Clock.now`. */
  at: number
  /** Name of the replica that the upstream belonged to then, as head or member; empty if it belonged to none. */
  readonly replica: string
}

/**
 * Suspected upstreams. A suspicion ends when anything is received from the upstream, or when it belongs to another
 * replica or to none.
 */
export class Suspects {
  readonly #clock: Clock
  readonly #roster: Roster
  readonly #suspicions = new Map<string, Suspicion>()

  constructor (clock: Clock, roster: Roster) {
    this.#clock = clock
    this.#roster = roster
  }

  /** Suspects an upstream. Returns whether it was not suspected before. */
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

  /** Whether a request may be sent to an upstream: it is not suspected, or the next try is due. */
  mayTry (id: string): boolean {
    return !this.has(id) || this.#clock.now() - (this.#suspicions.get(id)?.at ?? 0) >= tryInterval
  }

  /** Records that a request was sent to an upstream. The next try is due one interval later. */
  recordTry (id: string): void {
    const suspicion = this.#suspicions.get(id)
    if (suspicion !== undefined) suspicion.at = this.#clock.now()
  }

  /** Records that something was received from an upstream, which ends the suspicion. */
  received (id: string): void {
    this.#suspicions.delete(id)
  }

  /** Ids of all suspects. */
  get all (): string[] {
    return [...this.#suspicions.keys()].filter(id => this.has(id))
  }

  #replica (id: string): string {
    return this.#roster.find(id)?.membership?.replica ?? ''
  }
}
