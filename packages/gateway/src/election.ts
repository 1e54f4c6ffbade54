/**
 * Elects the gateway that plans the replicas of one service. The store records the leader under a term that rises with
 * each election, so two gateways cannot be elected at once. This holds even if they know little of each other: after a
 * restart of all gateways, or an outage of the store, hardly any heartbeat has arrived.
 * Between elections the record is not read. The leader announces in its heartbeats that it leads. A leader that is
 * replaced without noticing continues until it receives the later term, or until one of its writes conflicts with a
 * write of the new leader. That is safe: placements are written under their version, and engines refuse lower epochs.
 * Owns this gateway's term. Relies on `Leadership` for who may stand, and on heartbeats for who leads.
 */
import { type Clock } from '@eiderwind/clock'
import { type Leaders } from './leaders.js'

/** The leader's state by its heartbeats: live and allowed to plan, live but not allowed to plan, or no live leader. */
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
  /** This gateway's position among the candidates that it knows: 0 stands first. */
  readonly position: () => number
  /** The terms in which other live gateways lead, and whether each may plan. */
  readonly others: () => ReadonlyArray<{ readonly term: number, readonly able: boolean }>
  /** Called when this gateway was elected, or no longer leads. */
  readonly changed: () => void
}

/**
 * Delay between one candidate and the next, in ms. It exceeds the 8 ms that the two store calls of an election take.
 */
const candidateDelay = 100

/**
 * How long a live leader may be unable to plan before another one is elected, in ms. After an outage of the store all
 * gateways recover at about the same time, but each notices separately. The old leader should continue, since it has
 * the state of its unfinished work.
 */
const unableTimeout = 1000

/** Pause after an election that failed or that another gateway won, in ms. The winner's heartbeats arrive meanwhile. */
const retryPause = 500

/** Elects the leader of one service. */
export class Election {
  readonly #options: ElectionOptions
  /** The term in which this gateway leads; undefined if it does not lead. */
  #term: number | undefined
  /** When this gateway began to wait for its turn to stand, on `Clock.now`; undefined while it does not wait. */
  #vacantSince: number | undefined
  #isStanding = false
  #pausedUntil = -Infinity

  constructor (options: ElectionOptions) {
    this.#options = options
  }

  /** The term in which this gateway leads; undefined if it does not lead. */
  get term (): number | undefined {
    return this.#term
  }

  /** Stands for election if there is no leader, and stops leading if another gateway has a later term. */
  update (): void {
    this.#yieldToLaterTerm()
    const wait = this.#startDelay
    if (this.#term !== undefined || this.#isStanding || wait === undefined) {
      this.#vacantSince = undefined
      return
    }
    const { clock, position } = this.#options
    this.#vacantSince ??= clock.now()
    if (clock.now() < Math.max(this.#pausedUntil, this.#vacantSince + wait + position() * candidateDelay)) return
    this.#isStanding = true
    this.#stand().finally(() => { this.#isStanding = false }).catch(() => { /* Never rejects: `Leaders` returns its errors. */ })
  }

  /** Stops leading, at a planned stop. */
  resign (): void {
    this.#setTerm(undefined)
  }

  /** Reads the record again after a write of this gateway has conflicted with another gateway's write. */
  async check (): Promise<void> {
    const { leaders, service, id } = this.#options
    const term = this.#term
    if (term === undefined) return
    const record = await leaders.read(service)
    if (this.#term !== term || record.isErr()) return
    if (record.value.id !== id || record.value.term !== term) this.#setTerm(undefined)
  }

  /**
   * How long this gateway waits before it stands, in ms, apart from the delay of its position; undefined if it should
   * not stand.
   */
  get #startDelay (): number | undefined {
    const { eligible } = this.#options
    const state = this.#state
    if (!eligible() || state === 'able') return undefined
    return state === 'unable' ? unableTimeout : 0
  }

  get #state (): LeaderState {
    const others = this.#options.others()
    if (others.some(each => each.able)) return 'able'
    return others.length > 0 ? 'unable' : 'none'
  }

  /** Stops leading if another gateway announces a later term. */
  #yieldToLaterTerm (): void {
    const own = this.#term
    if (own !== undefined && this.#options.others().some(({ term }) => term > own)) this.#setTerm(undefined)
  }

  async #stand (): Promise<void> {
    const { clock, leaders, service, id } = this.#options
    const record = await leaders.read(service)
    // Check again: heartbeats that arrived during the read may have announced a new leader.
    if (record.isOk() && this.#startDelay !== undefined) {
      const elected = await leaders.elect(service, id, record.value)
      if (elected.isOk()) return this.#setTerm(elected.value)
    }
    this.#pausedUntil = clock.now() + retryPause
  }

  #setTerm (term: number | undefined): void {
    if (term === this.#term) return
    this.#term = term
    this.#options.changed()
  }
}
