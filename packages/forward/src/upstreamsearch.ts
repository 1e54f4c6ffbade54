/**
 * Why none of the upstreams that a request may still be sent to takes requests now, and until when. Owns the answer of
 * the last search; `Availability` of `@eiderwind/dispatch` has the state of each upstream.
 */
import { refusals, type Unavailability } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { type Upstream } from '@eiderwind/roster'
import { type Context } from './context.js'
import { type CallerRequest } from './request.js'

/** The empty set of upstreams. */
const noUpstreams: ReadonlySet<string> = new Set()

/** The upstreams of one request that take no requests. */
export class UpstreamSearch {
  readonly #context: Context
  readonly #request: CallerRequest
  readonly #upstreams: () => readonly Upstream[]
  /** Why no untried upstream took requests at the last search that found none. Undefined if one did. */
  #last: Unavailability | undefined

  /** @param upstreams returns the upstreams that serve the request's target */
  constructor (context: Context, request: CallerRequest, upstreams: () => readonly Upstream[]) {
    this.#context = context
    this.#request = request
    this.#upstreams = upstreams
  }

  /** Begins a search. */
  begin (): void {
    this.#last = undefined
  }

  /** Why no untried upstream takes requests now, or took them at the last search. Undefined if one did. */
  get cause (): Unavailability['cause'] | undefined {
    return (this.#shortest ?? this.#last)?.cause
  }

  /**
   * Time until an upstream that was not tried yet takes requests again, in ms. 0 if one takes requests now, or if the
   * time is not known.
   */
  get timeUntilAvailable (): number {
    const first = this.#shortest
    return first === undefined ? 0 : first.end - this.#context.clock.now()
  }

  /**
   * Returns 'closed' if waiting until a time on `Clock.now` is pointless, because no untried upstream takes requests
   * before then.
   */
  closedPast (until: number): 'closed' | undefined {
    this.#last = this.#shortest
    const end = this.#last?.end ?? -Infinity
    return end > until && end > this.#context.clock.now() ? 'closed' : undefined
  }

  /**
   * The refusal if no upstream takes requests now, or if none did at the last search. That search counts too, since a
   * token may have arrived after it. Undefined if the cause is a pause: an upstream that only refused requests has not
   * said when it takes them again.
   */
  get refusal (): Fault | undefined {
    const { clock, availability, random } = this.#context
    const first = availability.shortestUnavailability(this.#upstreams(), noUpstreams, this.#request.priority) ?? this.#last
    if (first === undefined || first.cause === 'pause') return undefined
    const time = first.end - clock.now()
    return first.cause === 'rest' ? refusals.resting(Math.max(0, time), random()) : refusals.limited(time > 0 ? time : undefined, random())
  }

  /** Why none of the untried upstreams takes a request now, and until when. Undefined if one does. */
  get #shortest (): Unavailability | undefined {
    const { tried, priority } = this.#request
    return this.#context.availability.shortestUnavailability(this.#upstreams(), tried, priority)
  }
}
