/**
 * The search of one request for an upstream where room may be contended. The request gets a place from the issuer of
 * the room. While room is not contended, or if no issuer answers, the gateway chooses the upstream alone. This module
 * owns the request's claim during one wait. It relies on `PlaceClient` for places and on `Path` for the choice without
 * a place.
 */
import { type PlaceClient, type Claim, type PlaceRequirements } from '@eiderwind/places'
import { type Availability } from '@eiderwind/dispatch'
import { type Upstream } from '@eiderwind/roster'

/** Dependencies of `PlaceSearch`. */
export interface PlaceSearchOptions {
  readonly placeClient: PlaceClient
  readonly availability: Availability
  /** The heads that serve the request's target. */
  readonly upstreams: () => readonly Upstream[]
  /** Chooses one of them by the data of this gateway. Never chooses one of `excluded`. */
  readonly choose: (excluded: ReadonlySet<string>) => Upstream | undefined
  /** Whether the request may be sent to an upstream now. */
  readonly mayUse: (upstream: Upstream) => boolean
}

/**
 * Maximum number of unusable upstreams in a place request. The limit keeps the datagram small; a place that can't be
 * used is given back.
 */
const maxUnusableListed = 40

const noUpstreams: ReadonlySet<string> = new Set()

/** The search of one request for a place. */
export class PlaceSearch {
  readonly #options: PlaceSearchOptions
  readonly #claim: Claim
  /**
   * Set if the request was refused. `due`: time after which its caller should retry, in ms. `by`: the gateway whose
   * queue was too long.
   */
  refusal: { readonly due: number, readonly by: string } | undefined

  constructor (options: PlaceSearchOptions, requirements: Omit<PlaceRequirements, 'excluded'>) {
    this.#options = options
    this.#claim = options.placeClient.claim({ ...requirements, excluded: () => this.#unusable })
  }

  /** Finds an upstream. Returns undefined if the request has to wait, and 'closed' if waiting is pointless. */
  find (): Upstream | 'closed' | undefined {
    const finding = this.#options.placeClient.find(this.#claim)
    switch (finding.kind) {
      case 'place': return this.#resolvePlace(finding.upstream)
      case 'wait': return this.#chooseLimited()
      case 'alone': return this.#chooseAlone()
      case 'refused':
        this.refusal = finding
        return 'closed'
    }
  }

  /** Records that the request is sent to the upstream that was found. It counts as in flight there from now on. */
  recordUse (): void {
    this.#options.placeClient.use(this.#claim)
  }

  /** Ends the search. */
  end (): void {
    this.#options.placeClient.release(this.#claim)
  }

  #resolvePlace (id: string): Upstream | 'closed' | undefined {
    const { placeClient, upstreams, mayUse } = this.#options
    const upstream = upstreams().find(each => each.id === id)
    if (upstream !== undefined && mayUse(upstream)) return upstream
    placeClient.reject(this.#claim)
    return this.find()
  }

  /**
   * Chooses a head that takes requests only with tokens. Such heads are outside the shared queue, so a request with a
   * token can go there.
   */
  #chooseLimited (): Upstream | undefined {
    const { availability, upstreams, choose } = this.#options
    const withoutLimit = upstreams().filter(({ id }) => !availability.isLimited(id)).map(({ id }) => id)
    return withoutLimit.length === upstreams().length ? undefined : choose(new Set(withoutLimit))
  }

  #chooseAlone (): Upstream | 'closed' | undefined {
    const { placeClient, choose } = this.#options
    const upstream = choose(noUpstreams)
    if (upstream !== undefined) return upstream
    if (placeClient.recordNoRoom(this.#claim)) return this.find()
    return placeClient.isTimedOut(this.#claim) ? 'closed' : undefined
  }

  get #unusable (): string[] {
    const { upstreams, mayUse, availability } = this.#options
    return upstreams().filter(each => !mayUse(each) && !availability.isLimited(each.id)).map(({ id }) => id).slice(0, maxUnusableListed)
  }
}
