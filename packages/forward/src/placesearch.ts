/**
 * How one request finds an upstream where room may be contended: by a place that is issued for it, or alone as long as nothing is contended or no issuer answers. Owns the
 * request's claim during one wait. Relies on `Asker` for places and on the path for a choice of its own.
 */
import { type Asker, type Claim, type Wish } from '@eiderwind/places'
import { type Intake } from '@eiderwind/dispatch'
import { type Upstream } from '@eiderwind/roster'

/** Dependencies of `Placing`. */
export interface PlacingOptions {
  readonly asker: Asker
  readonly intake: Intake
  /** The heads that serve what is asked for. */
  readonly upstreams: () => readonly Upstream[]
  /** Chooses one of them by what this gateway knows, but none of these in any case. */
  readonly choose: (besides: ReadonlySet<string>) => Upstream | undefined
  /** Whether the request may be sent to an upstream now. */
  readonly mayUse: (upstream: Upstream) => boolean
}

/** Most upstreams that an ask names as unusable: a datagram should stay small, and a place that cannot be used is told back. */
const mostNamed = 40

const none: ReadonlySet<string> = new Set()

/** The search of one request. */
export class Placing {
  readonly #options: PlacingOptions
  readonly #claim: Claim
  /** Where it was refused: when its caller should come back, in ms from then, and the gateway in whose queue it had no prospect. */
  refusal: { readonly due: number, readonly by: string } | undefined

  constructor (options: PlacingOptions, wish: Omit<Wish, 'besides'>) {
    this.#options = options
    this.#claim = options.asker.claim({ ...wish, besides: () => this.#unusable })
  }

  /** An upstream for the request; undefined where it has to wait, 'closed' where it waits in vain. */
  find (): Upstream | 'closed' | undefined {
    const finding = this.#options.asker.find(this.#claim)
    switch (finding.kind) {
      case 'place': return this.#placed(finding.upstream)
      case 'wait': return this.#limited()
      case 'alone': return this.#alone()
      case 'refused':
        this.refusal = finding
        return 'closed'
    }
  }

  /** Takes that the request is sent to the upstream that was found, and counts there. */
  taken (): void {
    this.#options.asker.use(this.#claim)
  }

  /** Ends the search. */
  end (): void {
    this.#options.asker.release(this.#claim)
  }

  #placed (id: string): Upstream | 'closed' | undefined {
    const { asker, upstreams, mayUse } = this.#options
    const upstream = upstreams().find(each => each.id === id)
    if (upstream !== undefined && mayUse(upstream)) return upstream
    asker.reject(this.#claim)
    return this.find()
  }

  /** Heads that take requests only by tokens are outside of the queue: a request that has a token goes there. */
  #limited (): Upstream | undefined {
    const { intake, upstreams, choose } = this.#options
    const others = upstreams().filter(({ id }) => !intake.isLimited(id)).map(({ id }) => id)
    return others.length === upstreams().length ? undefined : choose(new Set(others))
  }

  #alone (): Upstream | 'closed' | undefined {
    const { asker, choose } = this.#options
    const upstream = choose(none)
    if (upstream !== undefined) return upstream
    if (asker.lacked(this.#claim)) return this.find()
    return asker.isOver(this.#claim) ? 'closed' : undefined
  }

  get #unusable (): string[] {
    const { upstreams, mayUse, intake } = this.#options
    return upstreams().filter(each => !mayUse(each) && !intake.isLimited(each.id)).map(({ id }) => id).slice(0, mostNamed)
  }
}
