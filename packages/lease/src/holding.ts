/**
 * The side of a lease that holds. It counts the grants of one claim and says until when the quorum stands: a pure value,
 * without timers or messages. It relies on times from `Clock.bootNow`, taken before each request was sent.
 */
import { type Claim } from './granter.js'

/** How many of the granters a holder needs. */
export type Quorum = 'all' | 'majority'

/**
 * The side that holds. An immutable value that counts the grants of one claim. A grant counts from the time at which
 * the request for it was *sent*, on the holder's clock, so the holder's view of it always ends before the granter's.
 */
export class Holding {
  readonly claim: Claim
  readonly granters: readonly string[]
  readonly #needed: number
  readonly #untils: ReadonlyMap<string, number>
  /** The time at which the quorum ends; -Infinity while there is none. */
  readonly until: number

  private constructor (claim: Claim, granters: readonly string[], needed: number, untils: ReadonlyMap<string, number>) {
    this.claim = claim
    this.granters = granters
    this.#needed = needed
    this.#untils = untils
    this.until = quorumEnd(granters, needed, untils)
  }

  /** The same holding among other granters; grants of those that stay are kept. */
  moved (granters: readonly string[], quorum: Quorum): Holding {
    return new Holding(this.claim, granters, needed(granters, quorum), this.#untils)
  }

  /** A holding with no grant yet. It needs every granter, or more than half of them. */
  static empty (claim: Claim, granters: readonly string[], quorum: Quorum): Holding {
    return new Holding(claim, granters, needed(granters, quorum), new Map())
  }

  /** Counts a grant of `granter` whose request was sent at `sent`. Grants of others than the claim's granters do not count. */
  granted (granter: string, sent: number): Holding {
    if (!this.granters.includes(granter)) return this
    const until = sent + this.claim.period
    if (until <= (this.#untils.get(granter) ?? -Infinity)) return this
    return new Holding(this.claim, this.granters, this.#needed, new Map(this.#untils).set(granter, until))
  }

  /** Whether the quorum stands at `now`, read from `Clock.bootNow`. */
  valid (now: number): boolean {
    return now < this.until
  }

  /** The granters whose grant does not stand at `now`. */
  missing (now: number): string[] {
    return this.granters.filter(granter => (this.#untils.get(granter) ?? -Infinity) <= now)
  }
}

function needed (granters: readonly string[], quorum: Quorum): number {
  return quorum === 'all' ? granters.length : Math.floor(granters.length / 2) + 1
}

function quorumEnd (granters: readonly string[], needed: number, untils: ReadonlyMap<string, number>): number {
  if (needed === 0) return -Infinity
  const ends = granters.map(granter => untils.get(granter) ?? -Infinity)
  ends.sort((a, b) => b - a)
  return ends[needed - 1] ?? -Infinity
}
