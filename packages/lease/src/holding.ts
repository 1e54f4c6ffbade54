/**
 * The holding side of a lease: counts the grants of one claim and computes when the quorum ends. A holding is an
 * immutable value; it has no timers and sends no messages. It relies on times of `Clock.bootNow` that were read before
 * each request was sent.
 */
import { type Claim, type Mark } from './granter.js'

/** The number of granters whose grants a holder needs. */
export type Quorum = 'all' | 'majority'

/** A grant as the holder counts it. */
interface CountedGrant {
  /** When the grant ends, on `Clock.bootNow`. */
  readonly until: number
  readonly mark: Mark
}

/**
 * The grants of one claim, as its holder counts them. Each grant starts when its request was *sent*, on the holder's
 * clock. A grant therefore always ends for the holder before it ends for the granter.
 */
export class Holding {
  readonly claim: Claim
  readonly granters: readonly string[]
  readonly #needed: number
  readonly #grants: ReadonlyMap<string, CountedGrant>
  /** When the quorum ends, on `Clock.bootNow`. -Infinity without a quorum. */
  readonly until: number

  private constructor (claim: Claim, granters: readonly string[], needed: number, grants: ReadonlyMap<string, CountedGrant>) {
    this.claim = claim
    this.granters = granters
    this.#needed = needed
    this.#grants = grants
    this.until = quorumEnd(granters, needed, grants)
  }

  /** Returns this holding with another list of granters. Grants of granters in both lists remain. */
  withGranters (granters: readonly string[], quorum: Quorum): Holding {
    return new Holding(this.claim, granters, needed(granters, quorum), this.#grants)
  }

  /** Returns a holding without grants. It needs a grant of every granter, or of more than half of them. */
  static empty (claim: Claim, granters: readonly string[], quorum: Quorum): Holding {
    return new Holding(claim, granters, needed(granters, quorum), new Map())
  }

  /**
   * Adds a grant of `granter` whose request was sent at `sent`. Grants of granters outside the list are ignored, and so
   * are those whose request was sent before that of a counted grant: their mark may be outdated.
   */
  withGrant (granter: string, sent: number, mark: Mark): Holding {
    if (!this.granters.includes(granter)) return this
    const until = sent + this.claim.period
    if (until <= this.#end(granter)) return this
    return new Holding(this.claim, this.granters, this.#needed, new Map(this.#grants).set(granter, { until, mark }))
  }

  /** The mark of the latest grant of each granter. The grant may have ended. */
  get marks (): ReadonlyMap<string, Mark> {
    return new Map([...this.#grants].map(([granter, { mark }]) => [granter, mark]))
  }

  /** The marks of the grants that are current at `now`. */
  currentMarks (now: number): ReadonlyMap<string, Mark> {
    return new Map([...this.marks].filter(([granter]) => this.#end(granter) > now))
  }

  /** Whether there is a quorum at `now`, on `Clock.bootNow`. */
  valid (now: number): boolean {
    return now < this.until
  }

  /** The granters without a current grant at `now`. */
  missing (now: number): string[] {
    return this.granters.filter(granter => this.#end(granter) <= now)
  }

  /** When the latest grant of `granter` ends. */
  #end (granter: string): number {
    return this.#grants.get(granter)?.until ?? -Infinity
  }
}

function needed (granters: readonly string[], quorum: Quorum): number {
  return quorum === 'all' ? granters.length : Math.floor(granters.length / 2) + 1
}

function quorumEnd (granters: readonly string[], needed: number, grants: ReadonlyMap<string, CountedGrant>): number {
  if (needed === 0) return -Infinity
  const ends = granters.map(granter => grants.get(granter)?.until ?? -Infinity)
  ends.sort((a, b) => b - a)
  return ends[needed - 1] ?? -Infinity
}
