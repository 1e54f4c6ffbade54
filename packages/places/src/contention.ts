/**
 * Decides which rooms are contended. Gateways request places only in these rooms. A room is contended if its heads
 * are nearly full, if a request found no room, or if a head refused a request, at this gateway or another.
 * Owns the time until which each room counts as contended. Each gateway evaluates the in-flight counts itself,
 * because all gateways have them. It reports the shortages that its own requests met in its heartbeat, so that all
 * gateways agree within one heartbeat.
 */
import { type Clock } from '@eiderwind/clock'
import { type Room } from './room.js'

/** Dependencies of `Contention`. */
export interface ContentionOptions {
  readonly clock: Clock
  /** Requests in flight at the heads of a room, as a share of what the heads run at once; 0 if there are no heads. */
  readonly fullness: (room: Room) => number
  /** Called when a room becomes contended, and when it stops being contended. */
  readonly changed?: (room: string, contended: boolean) => void
}

/**
 * The share of used slots at which a room becomes contended. Streams last for seconds and counts of other gateways
 * are an eighth of a second old on average. Above this share two gateways often choose the same last place.
 */
const contendedFullness = 0.85

/**
 * How long a room stays contended after the last sign of contention, in ms. This is several heartbeats, so that
 * gateways do not disagree for long and a short lull changes nothing.
 */
const holdTime = 1000

/**
 * Minimum time between two checks of the counts of a room, in ms. It is short compared with the time in which heads
 * fill up.
 */
const checkInterval = 50

interface State {
  /** On `Clock.now`, in ms. */
  until: number
  /** When a request of this gateway last met a shortage of room. */
  shortageAt: number
  checkedAt: number
}

/** The contended rooms. */
export class Contention {
  readonly #options: ContentionOptions
  readonly #states = new Map<string, State>()
  readonly #contended = new Set<string>()

  constructor (options: ContentionOptions) {
    this.#options = options
  }

  /** Whether requests need places in a room. */
  has (room: Room): boolean {
    const now = this.#options.clock.now()
    const state = this.#state(room.key)
    if (now - state.checkedAt >= checkInterval) {
      state.checkedAt = now
      if (this.#options.fullness(room) >= contendedFullness) this.#extend(room.key, state, now)
    }
    return now < state.until
  }

  /** Records that a request of this gateway found no room, or that a head refused it. */
  recordShortage ({ key }: Room): void {
    const now = this.#options.clock.now()
    const state = this.#state(key)
    state.shortageAt = now
    this.#extend(key, state, now)
  }

  /** Handles the keys of rooms in which another gateway has met a shortage. */
  receive (rooms: readonly string[]): void {
    const now = this.#options.clock.now()
    for (const room of rooms) this.#extend(room, this.#state(room), now)
  }

  /** The keys of the rooms in which this gateway has met a shortage recently. */
  get ownShortages (): string[] {
    const now = this.#options.clock.now()
    return [...this.#states].filter(([_room, { shortageAt }]) => now - shortageAt < holdTime).map(([room]) => room)
  }

  /** How many rooms are contended now. */
  get count (): number {
    return this.#contended.size
  }

  /** Ends contention that has expired. */
  forget (): void {
    const now = this.#options.clock.now()
    for (const room of this.#contended) {
      if (now < this.#state(room).until) continue
      this.#contended.delete(room)
      this.#options.changed?.(room, false)
    }
    for (const [room, { until }] of this.#states) if (until + holdTime < now) this.#states.delete(room)
  }

  #state (room: string): State {
    const known = this.#states.get(room)
    if (known !== undefined) return known
    const state: State = { until: -Infinity, shortageAt: -Infinity, checkedAt: -Infinity }
    this.#states.set(room, state)
    return state
  }

  #extend (room: string, state: State, now: number): void {
    state.until = now + holdTime
    if (this.#contended.has(room)) return
    this.#contended.add(room)
    this.#options.changed?.(room, true)
  }
}
