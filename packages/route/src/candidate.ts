/**
 * The inputs of the choice of a replica: the candidates with their load, and the request's preference for some of them.
 * Plain values without state.
 */

/** A replica, or a worker of a plain service, that an entry can choose for a request. */
export interface Candidate {
  readonly id: string
  /** Number of requests that ran or waited there when it made its last report. */
  readonly reported: number
  /** Number of requests that can run there concurrently. */
  readonly concurrency: number
  /** Number of requests that this entry has open there. */
  readonly open: number
  /** Number of requests that this entry has sent there since the last report, which does not include them. */
  readonly unseen: number
}

/** The candidates that a request prefers. A wrong or empty preference costs time, never correctness. */
export interface Preference {
  /** The replicas that every entry prefers for this session, best first; empty if the request names no session. */
  readonly session: readonly string[]
  /** The replicas that served the longest known prefix of the prompt, latest first. */
  readonly prefix: readonly string[]
}

/** The preference of a request without a session or a known prefix. */
export const noPreference: Preference = { session: [], prefix: [] }

/** Estimate of the requests that run or wait at a candidate. The estimate is inexact because reports lag. */
export function load (candidate: Candidate): number {
  return candidate.reported + candidate.unseen
}

/** The candidate with the lowest `measure`; the first of equal ones. */
export function minBy (candidates: readonly Candidate[], measure: (candidate: Candidate) => number): Candidate {
  let best = candidates[0]
  let minValue = measure(best)
  for (const candidate of candidates.slice(1)) {
    const other = measure(candidate)
    if (other >= minValue) continue
    best = candidate
    minValue = other
  }
  return best
}
