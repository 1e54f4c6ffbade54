/**
 * The holding side of a lease: counts the grants of one claim and computes when the quorum ends. A holding is an
 * immutable value; it has no timers and sends no messages. It relies on times of `Clock.bootNow` that were read before
 * each request was sent.
 */
import { type Claim } from './granter.js'

/** The number of granters whose grants a holder needs. */
export type Quorum = 'all' | 'majority'

/**
 * The grants of one claim, as its holder counts them. Each grant starts when its request was *sent*, on the holder's
 * clock. A grant therefore always ends for the holder before it ends for the granter.
 */
export class Holding {
  readonly claim: Claim
  readonly granters: readonly string[]
  readonly #needed: number
  readonly #expiries: ReadonlyMap<string, number>
  /** When the quorum ends, on `Clock.bootNow`. -Infinity without a quorum. */
  readonly until: number

  private constructor (claim: Claim, granters: readonly string[], needed: number, expiries: ReadonlyMap<string, number>) {
    this.claim = claim
    this.granters = granters
    this.#needed = needed
    this.#expiries = expiries
    this.until = quorumEnd(granters, needed, expiries)
  }

  /** Returns this holding with another list of granters. Grants of granters in both lists remain. */
  withGranters (granters: readonly string[], quorum: Quorum): Holding {
    return new Holding(this.claim, granters, needed(granters, quorum), this.#expiries)
  }

  /** Returns a holding without grants. It needs a grant of every granter, or of more than half of them. */
  static empty (claim: Claim, granters: readonly string[], quorum: Quorum): Holding {
    return new Holding(claim, granters, needed(granters, quorum), new Map())
  }

  /** Adds a grant of `granter` whose request was sent at `sent`. Grants of granters outside the list are ignored. */
  withGrant (granter: string, sent: number): Holding {
    if (!this.granters.includes(granter)) return this
    const until = sent + this.claim.period
    if (until <= (this.#expiries.get(granter) ?? -Infinity)) return this
    return new Holding(this.claim, this.granters, this.#needed, new Map(this.#expiries).set(granter, until))
  }

  /** Whether there is a quorum at `now`, on `Clock.bootNow`. */
  valid (now: number): boolean {
    return now < this.until
  }

  /** The granters without a current grant at `now`. */
  missing (now: number): string[] {
    return this.granters.filter(granter => (this.#expiries.get(granter) ?? -Infinity) <= now)
  }
}

function needed (granters: readonly string[], quorum: Quorum): number {
  return quorum === 'all' ? granters.length : Math.floor(granters.length / 2) + 1
}

function quorumEnd (granters: readonly string[], needed: number, expiries: ReadonlyMap<string, number>): number {
  if (needed === 0) return -Infinity
  const ends = granters.map(granter => expiries.get(granter) ?? -Infinity)
  ends.sort((a, b) => b - a)
  return ends[needed - 1] ?? -Infinity
}
