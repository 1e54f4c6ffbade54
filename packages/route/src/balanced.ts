/**
 * Chooses the replica for one request. Owns the turn in which each replica was picked last. The caller passes the load
 * of the replicas, and which of them are warm, with each call. docs/design/routing.md has the rule, its measurements
 * and the alternatives that were dropped.
 */
import { type Random } from '@eiderwind/clock'
import { minBy, type Candidate, type Preference } from './candidate.js'

/** The settings of the balanced policy. */
export interface BalancedOptions {
  /** Makes entries that start at the same time begin with different replicas. */
  readonly random: Random
  /** How many more open requests than the least busy candidate a warm candidate may have. Default: 4. */
  readonly slack?: number
  /**
   * How many times as many open requests as the least busy candidate a warm candidate may have, if this allows more
   * than `slack`. Default: 1.5.
   */
  readonly factor?: number
}

/** How many more open requests than the least busy candidate a warm one may have. */
const defaultSlack = 4

/**
 * How many times as many open requests as the least busy candidate a warm one may have. From the paper cited in
 * routing.md.
 */
const defaultFactor = 1.5

/** Maximum number of replicas whose last turn is stored. An entry sees far fewer replicas. */
const maxStoredTurns = 10_000

/**
 * Chooses a replica, or a worker of a plain service. A candidate is warm if entries prefer it for the session or if it
 * served the prompt's prefix. A warm candidate is picked while this entry has only a few more open requests there
 * than at the least busy candidate. Otherwise the candidate with the fewest open requests of this entry is picked; of
 * equal ones, the one that was picked longest ago.
 *
 * The load that replicas report is not used. Reports lag, and entries that read the same old reports would all choose
 * the same replicas (docs/design/routing.md has the figures). The number of open requests of an entry is exact, and it
 * rises at a replica that is slow.
 */
export class BalancedPolicy {
  readonly #random: Random
  readonly #slack: number
  readonly #factor: number
  /** By replica: the turn in which it was picked last. */
  readonly #turns = new Map<string, number>()
  #latestTurn = 0

  constructor (options: BalancedOptions) {
    this.#random = options.random
    this.#slack = options.slack ?? defaultSlack
    this.#factor = options.factor ?? defaultFactor
  }

  /** The candidate to send a request to. The list must not be empty. */
  pick (candidates: readonly Candidate[], preference: Preference): Candidate {
    const leastBusy = this.#leastBusy(candidates)
    const picked = this.#warmCandidate(candidates, preference, leastBusy.open) ?? leastBusy
    this.#recordTurn(picked)
    return picked
  }

  /** The candidate with the fewest open requests; of equal ones, the one that was picked longest ago. */
  #leastBusy (candidates: readonly Candidate[]): Candidate {
    const minOpen = minBy(candidates, each => each.open).open
    return minBy(candidates.filter(each => each.open === minOpen), each => this.#lastTurn(each))
  }

  /**
   * The first of the session's replicas that is not too busy. If there is none, the least busy replica that served the
   * prefix, if that one is not too busy.
   */
  #warmCandidate (candidates: readonly Candidate[], { session, prefix }: Preference, minOpen: number): Candidate | undefined {
    const allowed = candidates.filter(each => each.open <= Math.max(minOpen + this.#slack, minOpen * this.#factor))
    for (const id of session) {
      const preferred = allowed.find(each => each.id === id)
      if (preferred !== undefined) return preferred
    }
    const servedPrefix = allowed.filter(each => prefix.includes(each.id))
    return servedPrefix.length === 0 ? undefined : minBy(servedPrefix, each => each.open)
  }

  /** The turn in which a candidate was picked last. One that was never picked gets a random turn before all others. */
  #lastTurn ({ id }: Candidate): number {
    const known = this.#turns.get(id)
    if (known !== undefined) return known
    const initialTurn = -this.#random()
    this.#turns.set(id, initialTurn)
    return initialTurn
  }

  #recordTurn ({ id }: Candidate): void {
    this.#turns.delete(id)
    this.#turns.set(id, ++this.#latestTurn)
    if (this.#turns.size <= maxStoredTurns) return
    const [oldest] = this.#turns.keys()
    this.#turns.delete(oldest)
  }
}
