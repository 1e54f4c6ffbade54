/**
 * Where room is scarce: the heads of a model are nearly full by what is known of them, or a request found no room there, or a head refused one, at this gateway or another.
 * Only there are places asked for. Owns until when each room counts as contended. What all gateways know (the counts) each judges by itself; what one has met it tells
 * the others by heartbeat, so all agree within one.
 */
import { type Clock } from '@eiderwind/clock'
import { type Room } from './room.js'

/** Dependencies of `Contention`. */
export interface ContentionOptions {
  readonly clock: Clock
  /** Requests in flight at the heads of a room, in parts of what they run at once; 0 where there is none. */
  readonly fullness: (room: Room) => number
  /** Called when a room becomes contended, and when it no longer is. */
  readonly changed?: (room: string, contended: boolean) => void
}

/**
 * Part of the slots from which on heads count as nearly full. Streams last for seconds and counts of other gateways are an eighth of a second old on average: above this
 * two gateways often choose the same last place.
 */
const nearlyFull = 0.85

/** How long a room stays contended after the last sign of it, in ms: several heartbeats, so that gateways do not differ for long, and a short lull changes nothing. */
const hold = 1000

/** How long the counts are not looked at again, in ms: short against the time in which heads fill. */
const lookInterval = 50

interface State {
  /** On `Clock.now`, in ms. */
  until: number
  /** When this gateway met a lack of room last. */
  metAt: number
  lookedAt: number
}

/** The rooms that are contended. */
export class Contention {
  readonly #options: ContentionOptions
  readonly #states = new Map<string, State>()
  readonly #contended = new Set<string>()

  constructor (options: ContentionOptions) {
    this.#options = options
  }

  /** Whether places of a room are asked for. */
  has (room: Room): boolean {
    const now = this.#options.clock.now()
    const state = this.#state(room.key)
    if (now - state.lookedAt >= lookInterval) {
      state.lookedAt = now
      if (this.#options.fullness(room) >= nearlyFull) this.#extend(room.key, state, now)
    }
    return now < state.until
  }

  /** Takes that a request of this gateway found no room, or was refused by a head. */
  met ({ key }: Room): void {
    const now = this.#options.clock.now()
    const state = this.#state(key)
    state.metAt = now
    this.#extend(key, state, now)
  }

  /** Takes the keys of rooms in which another gateway has met a lack. */
  hear (rooms: readonly string[]): void {
    const now = this.#options.clock.now()
    for (const room of rooms) this.#extend(room, this.#state(room), now)
  }

  /** The keys of the rooms in which this gateway has met a lack lately. */
  get own (): string[] {
    const now = this.#options.clock.now()
    return [...this.#states].filter(([_room, { metAt }]) => now - metAt < hold).map(([room]) => room)
  }

  /** How many rooms are contended now. */
  get count (): number {
    return this.#contended.size
  }

  /** Ends what is over. */
  forget (): void {
    const now = this.#options.clock.now()
    for (const room of this.#contended) {
      if (now < this.#state(room).until) continue
      this.#contended.delete(room)
      this.#options.changed?.(room, false)
    }
    for (const [room, { until }] of this.#states) if (until + hold < now) this.#states.delete(room)
  }

  #state (room: string): State {
    const known = this.#states.get(room)
    if (known !== undefined) return known
    const state: State = { until: -Infinity, metAt: -Infinity, lookedAt: -Infinity }
    this.#states.set(room, state)
    return state
  }

  #extend (room: string, state: State, now: number): void {
    state.until = now + hold
    if (this.#contended.has(room)) return
    this.#contended.add(room)
    this.#options.changed?.(room, true)
  }
}
