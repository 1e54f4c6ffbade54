/**
 * What the choice of a replica is made from: the candidates with their load, and what of the request prefers some of them.
 * Pure values, without state.
 */

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
