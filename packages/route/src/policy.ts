import { type Random } from '@eiderwind/clock'

/** A replica, or a worker of a plain service, as an entry sees it when it has to choose. */
export interface Candidate {
  readonly id: string
  /** Requests that ran and waited there when it reported. */
  readonly reported: number
  /** Requests that run at once there. */
  readonly concurrency: number
  /** Requests that this entry has open there. */
  readonly open: number
  /** Requests that this entry has sent there since what it reported, and that the report cannot know. */
  readonly unseen: number
}

/** What of a request steers the choice. No part is needed for correctness. */
export interface Preference {
  /** The replicas that every entry prefers for this session, best first; empty where the request names none. */
  readonly session: readonly string[]
  /** The replicas that served the longest known prefix of the prompt, latest first. */
  readonly prefix: readonly string[]
}

/** The preference of a request of which nothing is known. */
export const noPreference: Preference = { session: [], prefix: [] }

/** A way to choose. The list holds at least one candidate. */
export abstract class Policy {
  abstract readonly name: string
  abstract pick (candidates: readonly Candidate[], preference: Preference): Candidate
}

/** Baseline: one after the other. */
export class RoundRobin extends Policy {
  readonly name = 'round-robin'
  #turn = 0

  pick (candidates: readonly Candidate[]): Candidate {
    return candidates[this.#turn++ % candidates.length]
  }
}

/** Baseline: any one. */
export class Uniform extends Policy {
  readonly name = 'random'
  readonly #random: Random

  constructor (random: Random) {
    super()
    this.#random = random
  }

  pick (candidates: readonly Candidate[]): Candidate {
    return candidates[Math.floor(this.#random() * candidates.length)]
  }
}

/** Baseline: the one to which this entry has least open. */
export class LeastOpen extends Policy {
  readonly name = 'least-open'

  pick (candidates: readonly Candidate[]): Candidate {
    return least(candidates, candidate => candidate.open)
  }
}

/** Baseline: the less loaded of two random ones, by what they reported and what this entry has sent since (Mitzenmacher, 2001). */
export class TwoChoices extends Policy {
  readonly name = 'two-choices'
  readonly #random: Random

  constructor (random: Random) {
    super()
    this.#random = random
  }

  pick (candidates: readonly Candidate[]): Candidate {
    const any = (): Candidate => candidates[Math.floor(this.#random() * candidates.length)]
    return least([any(), any()], load)
  }
}

/** Requests that run or wait at a candidate, as far as reports that lag can tell. */
export function load (candidate: Candidate): number {
  return candidate.reported + candidate.unseen
}

/** The least of `candidates` by `measure`; the first of equals. */
export function least (candidates: readonly Candidate[], measure: (candidate: Candidate) => number): Candidate {
  let best = candidates[0]
  let value = measure(best)
  for (const candidate of candidates.slice(1)) {
    const other = measure(candidate)
    if (other >= value) continue
    best = candidate
    value = other
  }
  return best
}
