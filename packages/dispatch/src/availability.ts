/**
 * Decides whether an upstream takes a request now. Must be checked before each request is sent. A resting upstream
 * takes no request. An upstream with a limit takes one request per token. Owns no state; relies on `Rests` and
 * `TokenClient`. Any further restriction that upstreams announce belongs here too.
 */
import { type Clock } from '@eiderwind/clock'
import { type Rests } from '@eiderwind/detect'
import { type Claim, type TokenClient } from '@eiderwind/limits'
import { type Upstream } from '@eiderwind/roster'

/** Why an upstream takes no request now, and until when. */
export interface Unavailability {
  /** On `Clock.now`, in ms. The present time if the end is unknown. */
  readonly end: number
  /** `rest`: it asked for rest. `pause`: this gateway avoids it on its own decision. `limit`: its limit is used up. */
  readonly cause: 'rest' | 'pause' | 'limit'
}

/** Dependencies of the availability check. */
export interface AvailabilityOptions {
  readonly clock: Clock
  readonly rests: Rests
  /** Absent if no upstream has a limit. */
  readonly tokens?: TokenClient
}

/** Whether upstreams take requests, and from when on. */
export class Availability {
  readonly #options: AvailabilityOptions

  constructor (options: AvailabilityOptions) {
    this.#options = options
  }

  /** Whether an upstream takes a request now. */
  isAvailable (id: string): boolean {
    const { rests, tokens } = this.#options
    return !rests.has(id) && tokens?.has(id) !== false
  }

  /** Whether an upstream rests, regardless of its limit. */
  isResting (id: string): boolean {
    return this.#options.rests.has(id)
  }

  /** Whether an upstream has a limit, so that each request needs a token. */
  isLimited (id: string): boolean {
    return this.#options.tokens?.isLimited(id) === true
  }

  /** Takes a token for a request that is about to be sent to an upstream. No effect if the upstream has no limit. */
  take (id: string, claim: Claim | undefined): void {
    this.#options.tokens?.take(id, claim)
  }

  /** Begins the wait of a request for a token. @param until the end of the wait, on `Clock.now` */
  claim (priority: number, until: number): Claim | undefined {
    return this.#options.tokens?.claim(priority, until)
  }

  /** Requests a token for one of the upstreams that do not rest. @param excluded ids of upstreams to ignore */
  requestToken (claim: Claim | undefined, upstreams: ReadonlyArray<Pick<Upstream, 'id'>>, excluded: ReadonlySet<string>): void {
    const { rests, tokens } = this.#options
    if (claim === undefined || tokens === undefined) return
    tokens.requestToken(claim, upstreams.map(({ id }) => id).filter(id => !excluded.has(id) && !rests.has(id)))
  }

  /** Ends the wait of a request for a token. */
  release (claim: Claim | undefined): void {
    if (claim !== undefined) this.#options.tokens?.release(claim)
  }

  /**
   * The end and cause of the unavailability that ends first. Undefined if one of the upstreams takes requests, or there
   * are none. Called for each request, so it stops at the first upstream that takes one.
   * @param excluded ids of upstreams to ignore
   * @param priority of the request; more urgent requests get their tokens sooner
   */
  shortestUnavailability (upstreams: ReadonlyArray<Pick<Upstream, 'id'>>, excluded: ReadonlySet<string>, priority: number): Unavailability | undefined {
    let first: Unavailability | undefined
    for (const { id } of upstreams) {
      if (excluded.has(id)) continue
      const unavailability = this.#unavailability(id, priority)
      if (unavailability === undefined) return undefined
      if (first === undefined || unavailability.end < first.end) first = unavailability
    }
    return first
  }

  #unavailability (id: string, priority: number): Unavailability | undefined {
    const { clock, rests, tokens } = this.#options
    const rest = rests.of(id)
    if (rest !== undefined) return { end: rest.end, cause: rest.requested ? 'rest' : 'pause' }
    if (tokens === undefined || tokens.has(id)) return undefined
    return { end: clock.now() + tokens.expectedWait(id, priority), cause: 'limit' }
  }
}
