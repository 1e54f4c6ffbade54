import { type Random } from '@eiderwind/clock'
import { Policy, least, type Candidate, type Preference } from './policy.js'

/** The settings of the balanced policy. */
export interface BalancedOptions {
  readonly random: Random
  /** Requests by which a warm replica may be ahead of the least loaded one. Default: 2. */
  readonly slack?: number
  /** Factor by which its load may be ahead. Default: 1.5. */
  readonly factor?: number
  /** Replicas that are compared where nothing is warm. Default: 2. */
  readonly choices?: number
}

/**
 * The policy in use. A replica that is warm for the session or the prompt's prefix is kept while its load is within
 * a guard of the least loaded one (the guard is the one of the paper on Rolter's `cache_aware`); otherwise the least
 * loaded of a few random ones is taken, so that many entries with the same lagging reports do not all run to the
 * same replica (Mitzenmacher, 2001). Load is what the replica reported plus what this entry has sent since.
 */
export class Balanced extends Policy {
  readonly name = 'balanced'
  readonly #random: Random
  readonly #slack: number
  readonly #factor: number
  readonly #choices: number

  constructor (options: BalancedOptions) {
    super()
    this.#random = options.random
    this.#slack = options.slack ?? 2
    this.#factor = options.factor ?? 1.5
    this.#choices = options.choices ?? 2
  }

  pick (candidates: readonly Candidate[], preference: Preference): Candidate {
    const floor = load(least(candidates, load))
    const warm = this.#warm(candidates, preference)
    if (warm !== undefined && load(warm) <= Math.max(floor + this.#slack, floor * this.#factor)) return warm
    return least(this.#sample(candidates), cost)
  }

  #warm (candidates: readonly Candidate[], { session, prefix }: Preference): Candidate | undefined {
    const bySession = candidates.find(candidate => candidate.id === session)
    if (bySession !== undefined) return bySession
    const byPrefix = candidates.filter(candidate => prefix.includes(candidate.id))
    return byPrefix.length === 0 ? undefined : least(byPrefix, load)
  }

  #sample (candidates: readonly Candidate[]): Candidate[] {
    if (candidates.length <= this.#choices) return [...candidates]
    const rest = [...candidates]
    const sample: Candidate[] = []
    while (sample.length < this.#choices) {
      const index = Math.floor(this.#random() * rest.length)
      sample.push(...rest.splice(index, 1))
    }
    return sample
  }
}

/** Requests that run or wait at a candidate, as far as this entry can tell. */
export function load (candidate: Candidate): number {
  return candidate.reported + candidate.unseen
}

/** What a request would meet there: the load for its size, times how slowly it has answered. */
function cost (candidate: Candidate): number {
  return (load(candidate) + 1) / candidate.concurrency * ((candidate.firstByte ?? 0) + 1)
}
