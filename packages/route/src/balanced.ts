/**
 * The choice of a replica for one request. It owns the turn in which each replica was picked last; load and warmth come
 * with each call. docs/design/routing.md has the rule, its measurements and what was tried and dropped.
 */
import { type Random } from '@eiderwind/clock'
import { least, type Candidate, type Preference } from './candidate.js'

/** The settings of the balanced policy. */
export interface BalancedOptions {
  /** Has entries that start together begin with different replicas. */
  readonly random: Random
  /** Requests that this entry may have open at a warm replica beyond the least. Default: 4. */
  readonly slack?: number
  /** Factor by which they may be more. Default: 1.5. */
  readonly factor?: number
}

/** Requests more than the least busy candidate that a warm one may have open. */
const defaultSlack = 4

/** Times as many as the least busy candidate that a warm one may have open. From the paper that routing.md names. */
const defaultFactor = 1.5

/** Replicas whose last turn is remembered: far above the replicas that one entry sees. */
const mostTurns = 10_000

/**
 * The choice of a replica, or of a worker of a plain service. A replica that is warm for the session or the prompt's prefix is kept while this entry has little
 * more open there than elsewhere; otherwise the replica with least open requests of this entry is taken, and of equals
 * the one that was picked longest ago. What replicas report is left out: it lags, and entries that go by the same old
 * reports run to the same replicas (docs/design/routing.md has the figures). What an entry has open is exact, and
 * grows by itself where a replica is slow.
 */
export class Balanced {
  readonly #random: Random
  readonly #slack: number
  readonly #factor: number
  /** By replica: the turn in which it was picked last. */
  readonly #turns = new Map<string, number>()
  #turn = 0

  constructor (options: BalancedOptions) {
    this.#random = options.random
    this.#slack = options.slack ?? defaultSlack
    this.#factor = options.factor ?? defaultFactor
  }

  /** The candidate to send a request to. The list holds at least one. */
  pick (candidates: readonly Candidate[], preference: Preference): Candidate {
    const idle = this.#idle(candidates)
    const picked = this.#warm(candidates, preference, idle.open) ?? idle
    this.#note(picked)
    return picked
  }

  /** The candidate with least open; of equals the one that was picked longest ago. */
  #idle (candidates: readonly Candidate[]): Candidate {
    const fewest = least(candidates, each => each.open).open
    return least(candidates.filter(each => each.open === fewest), each => this.#lastTurn(each))
  }

  /** The first of the session's replicas that is within the guard; else the least busy one that knows the prefix. */
  #warm (candidates: readonly Candidate[], { session, prefix }: Preference, floor: number): Candidate | undefined {
    const within = candidates.filter(each => each.open <= Math.max(floor + this.#slack, floor * this.#factor))
    for (const id of session) {
      const home = within.find(each => each.id === id)
      if (home !== undefined) return home
    }
    const knowing = within.filter(each => prefix.includes(each.id))
    return knowing.length === 0 ? undefined : least(knowing, each => each.open)
  }

  /** The turn in which a candidate was picked last; one that never was has a random place before all turns. */
  #lastTurn ({ id }: Candidate): number {
    const known = this.#turns.get(id)
    if (known !== undefined) return known
    const place = -this.#random()
    this.#turns.set(id, place)
    return place
  }

  #note ({ id }: Candidate): void {
    this.#turns.delete(id)
    this.#turns.set(id, ++this.#turn)
    if (this.#turns.size <= mostTurns) return
    const [oldest] = this.#turns.keys()
    this.#turns.delete(oldest)
  }
}
