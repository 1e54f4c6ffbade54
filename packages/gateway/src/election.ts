/**
 * Which gateway plans the replicas of one service. The leader is recorded in the store under a term that rises with each election, so
 * two gateways cannot be elected at once, however little they know of each other: after a restart of all, or an outage of the store,
 * a fleet has heard next to nothing. Between elections the record is not read: the leader says in its heartbeats that it leads.
 * A leader that is replaced unnoticed goes on until it hears of the later term, or one of its own writes meets another's; that is safe, because
 * placements are written under their version and engines refuse lower epochs.
 * Owns the term of this gateway. Relies on `Leadership` for who may stand, and on heartbeats for who leads.
 */
import { type Clock } from '@eiderwind/clock'
import { type Leaders } from './leaders.js'

/** What a gateway hears of the leader: it lives and may plan; it lives and may not; or none lives. */
type LeaderState = 'able' | 'unable' | 'none'

/** Dependencies of `Election`. */
export interface ElectionOptions {
  readonly clock: Clock
  readonly leaders: Leaders
  readonly service: string
  /** This gateway's id. */
  readonly id: string
  /** Whether this gateway may plan now. */
  readonly eligible: () => boolean
  /** This gateway's place among those that may stand, as far as it knows: 0 is the first. */
  readonly place: () => number
  /** The terms in which other live gateways lead, and whether each may plan. */
  readonly others: () => ReadonlyArray<{ readonly term: number, readonly able: boolean }>
  /** Called when this gateway was elected or leads no more. */
  readonly changed: () => void
}

/** Time between the moments at which two candidates stand, in ms: above the two calls of an election, 8 ms. */
const placeTime = 100

/**
 * How long a leader that lives may be unable to plan before another one is elected, in ms. An outage of the store ends for all at about
 * the same time, but each notices at its own: the old leader should go on, since it knows what it was about.
 */
const unablePatience = 1000

/** Pause after an election that failed, or that another gateway won, in ms: its heartbeats arrive meanwhile. */
const retryPause = 500

/** Elects the leader of one service. */
export class Election {
  readonly #options: ElectionOptions
  /** The term in which this gateway leads; undefined where it does not. */
  #term: number | undefined
  /** Since when this gateway might stand, on `Clock.now`. */
  #vacantSince: number | undefined
  #standing = false
  #pausedUntil = -Infinity

  constructor (options: ElectionOptions) {
    this.#options = options
  }

  /** The term in which this gateway leads; undefined where it does not. */
  get term (): number | undefined {
    return this.#term
  }

  /** Looks whether this gateway should stand, or has been replaced. */
  look (): void {
    this.#giveWay()
    const wait = this.#wait
    if (this.#term !== undefined || this.#standing || wait === undefined) {
      this.#vacantSince = undefined
      return
    }
    const { clock, place } = this.#options
    this.#vacantSince ??= clock.now()
    if (clock.now() < Math.max(this.#pausedUntil, this.#vacantSince + wait + place() * placeTime)) return
    this.#standing = true
    this.#stand().finally(() => { this.#standing = false }).catch(() => { /* Never rejects: `Leaders` returns its errors. */ })
  }

  /** Gives the office up, at a planned stop. */
  resign (): void {
    this.#lead(undefined)
  }

  /** Reads the record again: a write of this gateway has met that of another one. */
  async check (): Promise<void> {
    const { leaders, service, id } = this.#options
    const term = this.#term
    if (term === undefined) return
    const record = await leaders.read(service)
    if (this.#term !== term || record.isErr()) return
    if (record.value.id !== id || record.value.term !== term) this.#lead(undefined)
  }

  /** How long this gateway waits before it stands, beside its place, in ms; undefined where it should not stand. */
  get #wait (): number | undefined {
    const { eligible } = this.#options
    const state = this.#state
    if (!eligible() || state === 'able') return undefined
    return state === 'unable' ? unablePatience : 0
  }

  get #state (): LeaderState {
    const others = this.#options.others()
    if (others.some(each => each.able)) return 'able'
    return others.length > 0 ? 'unable' : 'none'
  }

  /** A later term than its own ends that. */
  #giveWay (): void {
    const own = this.#term
    if (own !== undefined && this.#options.others().some(({ term }) => term > own)) this.#lead(undefined)
  }

  async #stand (): Promise<void> {
    const { clock, leaders, service, id } = this.#options
    const record = await leaders.read(service)
    // What was heard meanwhile counts: another gateway may have been elected.
    if (record.isOk() && this.#wait !== undefined) {
      const elected = await leaders.elect(service, id, record.value)
      if (elected.isOk()) return this.#lead(elected.value)
    }
    this.#pausedUntil = clock.now() + retryPause
  }

  #lead (term: number | undefined): void {
    if (term === this.#term) return
    this.#term = term
    this.#options.changed()
  }
}
