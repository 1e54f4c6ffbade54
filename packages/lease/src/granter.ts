/**
 * The granting side of a lease: decides on each claim for a resource. A granter is an immutable value that owns the
 * grants of one process; it has no timers and sends no messages. It relies on a monotonic clock that also counts while
 * the process is paused, and on clocks whose rates differ by 1% at most.
 */

/** A holder's request for a grant. */
export interface Claim {
  /** The resource to hold, such as a node or a slot of keys. */
  readonly resource: string
  /** The process that asks for the resource. */
  readonly holder: string
  /**
   * Identifies one period of holding the resource. After a release or a restart a holder must use a new term.
   * Otherwise a delayed duplicate of an old release could end a grant that the holder still relies on.
   */
  readonly term: string
  /** How long the grant lasts, in ms. */
  readonly period: number
}

/**
 * The position of a grant among all grants that one granter has given for a resource. A claim with a new term gets the
 * next turn. Two terms with consecutive turns therefore had no other term between them.
 */
export interface Mark {
  /** The incarnation of the granter that gave the grant. */
  readonly origin: string
  readonly turn: number
}

/** A granter's answer to a claim. `wait` is the time until a retry may succeed, in ms; 0 for the reason `period`. */
export type Answer =
  | { readonly granted: true, readonly mark: Mark }
  | { readonly granted: false, readonly reason: Refusal, readonly wait: number }

/**
 * Why a claim was refused. `starting`: the granter has restarted and may have forgotten a grant. `held`: another holder
 * or term holds the resource. `period`: the claimed period is too long.
 */
export type Refusal = 'starting' | 'held' | 'period'

/** A grant in the granter's memory. */
interface Grant {
  readonly holder: string
  readonly term: string
  readonly until: number
  readonly turn: number
}

/** The result of a request: the granter after it, and the answer to send. */
export interface Decision {
  readonly granter: Granter
  readonly answer: Answer
}

/**
 * Default for the relative difference between the rates of two clocks. docs/design/leases.md explains its consequences.
 */
const defaultDrift = 0.01

/** Options of a granter. */
export interface GranterOptions {
  /** Maximum period of a claim, in ms. It must be the same in all processes. */
  readonly maxPeriod: number
  /** Maximum relative difference between the rates of two clocks. Default: 0.01. */
  readonly drift?: number
  /** Identifies this incarnation of the granter. No other incarnation uses the same name. */
  readonly origin: string
}

/**
 * The granting side of a lease. It grants a resource to one holder and term at a time. It is immutable: each request
 * returns a new granter.
 *
 * A grant starts when the request arrives, on the granter's monotonic clock, and lasts for the period plus a margin for
 * clock drift. A granter that has just started has lost its grants. It therefore refuses all claims at first, for the
 * maximum period plus the same margin.
 */
export class Granter {
  readonly #maxPeriod: number
  readonly #driftFactor: number
  readonly #origin: string
  readonly #openAt: number
  readonly #grants: ReadonlyMap<string, Grant>

  private constructor (origin: string, maxPeriod: number, driftFactor: number, openAt: number, grants: ReadonlyMap<string, Grant>) {
    this.#origin = origin
    this.#maxPeriod = maxPeriod
    this.#driftFactor = driftFactor
    this.#openAt = openAt
    this.#grants = grants
  }

  /** Returns a granter that starts at `now` without any grants in memory. */
  static started (now: number, options: GranterOptions): Granter {
    const driftFactor = 1 + (options.drift ?? defaultDrift)
    return new Granter(options.origin, options.maxPeriod, driftFactor, now + options.maxPeriod * driftFactor, new Map())
  }

  /** The time at which the granter starts to give grants. */
  get openAt (): number {
    return this.#openAt
  }

  /** Decides on a claim that arrived at `now`. */
  request (claim: Claim, now: number): Decision {
    if (claim.period > this.#maxPeriod) return this.#refuse('period', 0)
    if (now < this.#openAt) return this.#refuse('starting', this.#openAt - now)
    const grant = this.#grants.get(claim.resource)
    const free = grant === undefined || grant.until <= now
    const same = grant !== undefined && grant.holder === claim.holder && grant.term === claim.term
    if (!free && !same) return this.#refuse('held', grant.until - now)
    const until = now + claim.period * this.#driftFactor
    const extendedUntil = same ? Math.max(until, grant.until) : until
    const turn = same ? grant.turn : (grant?.turn ?? 0) + 1
    const granter = this.#withGrant(claim.resource, { holder: claim.holder, term: claim.term, until: extendedUntil, turn })
    return { granter, answer: { granted: true, mark: { origin: this.#origin, turn } } }
  }

  /** Ends a grant early. A release with another holder or term has no effect. */
  release (claim: Pick<Claim, 'resource' | 'holder' | 'term'>): Granter {
    const grant = this.#grants.get(claim.resource)
    if (grant === undefined || grant.holder !== claim.holder || grant.term !== claim.term) return this
    return this.#withGrant(claim.resource, { ...grant, until: -Infinity })
  }

  /** The holder of `resource` at `now`. */
  holder (resource: string, now: number): string | undefined {
    const grant = this.#grants.get(resource)
    return grant !== undefined && grant.until > now ? grant.holder : undefined
  }

  #refuse (reason: Refusal, wait: number): Decision {
    return { granter: this, answer: { granted: false, reason, wait } }
  }

  #withGrant (resource: string, grant: Grant): Granter {
    const grants = new Map(this.#grants).set(resource, grant)
    return new Granter(this.#origin, this.#maxPeriod, this.#driftFactor, this.#openAt, grants)
  }
}
