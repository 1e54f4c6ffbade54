/**
 * The side of a lease that gives. It owns the grants of one process and decides on each claim: a pure value, without timers
 * or messages. It relies on a steady clock that runs through pauses, and on clocks that drift apart by 1% at the most.
 */

/** What a holder asks a granter for. */
export interface Claim {
  /** What is to be held, such as a node or a slot of keys. */
  readonly resource: string
  /** Who is to hold it. */
  readonly holder: string
  /**
   * One stretch of holding. A holder that has released a term, or restarted, must use a new one: a delayed
   * duplicate of an old release would otherwise end a grant that the holder still counts on.
   */
  readonly term: string
  /** How long the grant lasts, in ms. */
  readonly period: number
}

/**
 * Where a grant stands among those that one granter has given for a resource. Each other term gets the next turn, so
 * that two terms with turns that follow each other had none between them.
 */
export interface Mark {
  /** One life of the granter. */
  readonly origin: string
  readonly turn: number
}

/** A granter's answer to a claim. */
export type Answer =
  | { readonly granted: true, readonly mark: Mark }
  | { readonly granted: false, readonly reason: Refusal, readonly wait: number }

/** Why a claim was refused: the granter may have forgotten a grant, another holds the resource, or the period is too long. */
export type Refusal = 'starting' | 'held' | 'period'

/** A grant as the granter remembers it. */
interface Grant {
  readonly holder: string
  readonly term: string
  readonly until: number
  readonly turn: number
}

/** What a request did: the granter after it, and the answer to send. */
export interface Decision {
  readonly granter: Granter
  readonly answer: Answer
}

/** Share by which two clocks may run apart, unless set. docs/design/leases.md says what follows from it. */
const defaultDrift = 0.01

/** Options of a granter. */
export interface GranterOptions {
  /** The longest period that may be asked for, in ms. The same for all processes. */
  readonly longest: number
  /** The largest share by which two clocks may run apart. Default: 0.01. */
  readonly drift?: number
  /** A name of this life of the granter that no other life has. */
  readonly origin: string
}

/**
 * The side that gives. An immutable value: each request makes a new granter. It gives each resource to one holder
 * and term at a time, until the grant runs out on its own steady clock, which it reads when the request arrives and
 * with a margin for drift. A granter that has just started has forgotten what it gave, so it first waits out the
 * longest grant there can be.
 */
export class Granter {
  readonly #longest: number
  readonly #stretch: number
  readonly #origin: string
  readonly #openAt: number
  readonly #grants: ReadonlyMap<string, Grant>

  private constructor (origin: string, longest: number, stretch: number, openAt: number, grants: ReadonlyMap<string, Grant>) {
    this.#origin = origin
    this.#longest = longest
    this.#stretch = stretch
    this.#openAt = openAt
    this.#grants = grants
  }

  /** A granter that starts at `now` with no memory. */
  static started (now: number, options: GranterOptions): Granter {
    const stretch = 1 + (options.drift ?? defaultDrift)
    return new Granter(options.origin, options.longest, stretch, now + options.longest * stretch, new Map())
  }

  /** When it gives its first grant. */
  get openAt (): number {
    return this.#openAt
  }

  /** Decides on a claim that arrived at `now`. */
  request (claim: Claim, now: number): Decision {
    if (claim.period > this.#longest) return this.#refuse('period', 0)
    if (now < this.#openAt) return this.#refuse('starting', this.#openAt - now)
    const grant = this.#grants.get(claim.resource)
    const free = grant === undefined || grant.until <= now
    const same = grant !== undefined && grant.holder === claim.holder && grant.term === claim.term
    if (!free && !same) return this.#refuse('held', grant.until - now)
    const until = now + claim.period * this.#stretch
    const later = same ? Math.max(until, grant.until) : until
    const turn = same ? grant.turn : (grant?.turn ?? 0) + 1
    const granter = this.#with(claim.resource, { holder: claim.holder, term: claim.term, until: later, turn })
    return { granter, answer: { granted: true, mark: { origin: this.#origin, turn } } }
  }

  /** Ends a grant early. A release of another holder or term changes nothing. */
  release (claim: Pick<Claim, 'resource' | 'holder' | 'term'>): Granter {
    const grant = this.#grants.get(claim.resource)
    if (grant === undefined || grant.holder !== claim.holder || grant.term !== claim.term) return this
    return this.#with(claim.resource, { ...grant, until: -Infinity })
  }

  /** Who holds `resource` at `now`. */
  holder (resource: string, now: number): string | undefined {
    const grant = this.#grants.get(resource)
    return grant !== undefined && grant.until > now ? grant.holder : undefined
  }

  #refuse (reason: Refusal, wait: number): Decision {
    return { granter: this, answer: { granted: false, reason, wait } }
  }

  #with (resource: string, grant: Grant): Granter {
    const grants = new Map(this.#grants).set(resource, grant)
    return new Granter(this.#origin, this.#longest, this.#stretch, this.#openAt, grants)
  }
}
