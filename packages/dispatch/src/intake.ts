/**
 * What each upstream takes now: the one question before each send, whoever asks it. An upstream that rests takes nothing, one that names a limit takes as many requests as
 * there are tokens for it. Owns no state of its own; relies on `Rests` and `Tokens`. What an upstream says next of what it takes belongs here too.
 */
import { type Clock } from '@eiderwind/clock'
import { type Rests } from '@eiderwind/detect'
import { type Claim, type Tokens } from '@eiderwind/limits'
import { type Upstream } from '@eiderwind/roster'

/** Why an upstream takes no request now, and until when. */
export interface Closure {
  /** On `Clock.now`, in ms; now where it is not known. */
  readonly end: number
  /** It asked for rest, this gateway leaves it out by itself, or its limit is used up. */
  readonly cause: 'rest' | 'pause' | 'limit'
}

/** Dependencies of `Intake`. */
export interface IntakeOptions {
  readonly clock: Clock
  readonly rests: Rests
  /** Absent where no upstream names a limit. */
  readonly tokens?: Tokens
}

/** What upstreams take. */
export class Intake {
  readonly #options: IntakeOptions

  constructor (options: IntakeOptions) {
    this.#options = options
  }

  /** Whether an upstream takes a request now. */
  has (id: string): boolean {
    const { rests, tokens } = this.#options
    return !rests.has(id) && tokens?.has(id) !== false
  }

  /** Whether an upstream rests, whatever else it takes. */
  rests (id: string): boolean {
    return this.#options.rests.has(id)
  }

  /** Whether an upstream takes requests only with a token for each. */
  isLimited (id: string): boolean {
    return this.#options.tokens?.isLimited(id) === true
  }

  /** Counts a request that is about to be sent to an upstream. */
  take (id: string, claim: Claim | undefined): void {
    this.#options.tokens?.take(id, claim)
  }

  /** Begins the wait of a request for a token. @param until when it waits no longer, on `Clock.now` */
  claim (priority: number, until: number): Claim | undefined {
    return this.#options.tokens?.claim(priority, until)
  }

  /** Asks for a token of one of some upstreams, where only tokens are lacking. @param besides ids of those that do not matter */
  pursue (claim: Claim | undefined, upstreams: ReadonlyArray<Pick<Upstream, 'id'>>, besides: ReadonlySet<string>): void {
    const { rests, tokens } = this.#options
    if (claim === undefined || tokens === undefined) return
    tokens.pursue(claim, upstreams.map(({ id }) => id).filter(id => !besides.has(id) && !rests.has(id)))
  }

  /** Ends the wait of a request for a token. */
  release (claim: Claim | undefined): void {
    if (claim !== undefined) this.#options.tokens?.release(claim)
  }

  /**
   * The closure that ends first of those of some upstreams; undefined where one of them takes requests, or there are none. Asked for each request, so it looks no
   * further than to the first that takes one.
   * @param besides ids of those that do not matter
   * @param priority of the request: more urgent ones have their tokens sooner
   */
  first (upstreams: ReadonlyArray<Pick<Upstream, 'id'>>, besides: ReadonlySet<string>, priority: number): Closure | undefined {
    let first: Closure | undefined
    for (const { id } of upstreams) {
      if (besides.has(id)) continue
      const closure = this.#closure(id, priority)
      if (closure === undefined) return undefined
      if (first === undefined || closure.end < first.end) first = closure
    }
    return first
  }

  #closure (id: string, priority: number): Closure | undefined {
    const { clock, rests, tokens } = this.#options
    const rest = rests.of(id)
    if (rest !== undefined) return { end: rest.end, cause: rest.asked ? 'rest' : 'pause' }
    if (tokens === undefined || tokens.has(id)) return undefined
    return { end: clock.now() + tokens.due(id, priority), cause: 'limit' }
  }
}
