/**
 * Owns the rests of upstreams. A rest is a time in which this gateway sends an upstream no requests: either the
 * upstream refused a request and asked for a rest, or the gateway decided it by itself (`backoff.ts`). Rests are stored
 * in memory only, and each gateway has its own.
 *
 * Relies on `Availability` to check `has` before each send. Relies also on ids that differ between two incarnations of
 * an upstream, so that a rest ends with the incarnation that asked for it.
 *
 * An upstream that refuses at once always has the fewest requests in flight. Without rests it would be chosen before
 * all others.
 */
import { type Clock } from '@eiderwind/clock'

/**
 * Longest rest, in ms. An upstream that asked for more is tried again after this time: an absurd value must not take it
 * out of use for ever. Far above the seconds that an overload lasts.
 */
const maxRest = 3_600_000

/** A rest of one upstream. */
export interface Rest {
  /** When it ends, on `Clock.now`. */
  readonly end: number
  /** Whether the upstream asked for it. */
  readonly requested: boolean
}

/** Dependencies of `Rests`. */
export interface RestsOptions {
  readonly clock: Clock
  /**
   * Called when a rest begins, not when one is extended. Requests that are assigned to the upstream but have not been
   * sent yet must then be withdrawn.
   */
  readonly begun: (id: string) => void
  /** Called when a rest has ended and the upstream takes requests again. */
  readonly ended: () => void
}

/**
 * The rests of upstreams, by upstream id. They are timed by the monotonic clock, which stands still while the machine
 * is suspended and is unaffected by steps of the wall clock. A rest can therefore last longer here than requested, but
 * never shorter.
 */
export class Rests {
  readonly #options: RestsOptions
  readonly #rests = new Map<string, Rest>()

  constructor (options: RestsOptions) {
    this.#options = options
  }

  /**
   * Records that an upstream asks for a rest of `time` ms from now. If rests overlap, the one that ends last holds, in
   * whatever order they arrive. Returns whether a requested rest begins. No rest begins if the upstream asks again
   * during a requested rest, for example in answers to requests that were on their way: that gives little new
   * information.
   */
  recordRestRequest (id: string, time: number): boolean {
    const isNew = time > 0 && this.of(id)?.requested !== true
    this.#extend(id, time, true)
    return isNew
  }

  /** Leaves an upstream out for `time` ms from now, by this gateway's own decision. */
  pause (id: string, time: number): void {
    this.#extend(id, time, false)
  }

  /** Whether an upstream rests, so that nothing may be sent there. */
  has (id: string): boolean {
    return this.remaining(id) > 0
  }

  /** Remaining time of an upstream's rest, in ms; 0 if it does not rest. */
  remaining (id: string): number {
    const rest = this.of(id)
    return rest === undefined ? 0 : rest.end - this.#options.clock.now()
  }

  /** The number of upstreams that rest. */
  get count (): number {
    return this.#rests.size
  }

  /** The rest of an upstream. Undefined once it has ended, even if its timer has not fired yet. */
  of (id: string): Rest | undefined {
    const rest = this.#rests.get(id)
    return rest !== undefined && rest.end > this.#options.clock.now() ? rest : undefined
  }

  #extend (id: string, time: number, requested: boolean): void {
    if (time <= 0) return
    const { clock, begun } = this.#options
    const now = clock.now()
    const before = this.of(id)
    const end = Math.max(before?.end ?? 0, now + Math.min(time, maxRest))
    this.#rests.set(id, { end, requested: requested || before?.requested === true })
    if (before !== undefined) return
    clock.after(end - now, () => this.#expire(id))
    begun(id)
  }

  /**
   * Ends a rest that is over. Sets the timer again if the rest was extended meanwhile, or if the timer fired slightly
   * early, as those of Node.js do.
   */
  #expire (id: string): void {
    const left = this.remaining(id)
    if (left > 0) this.#options.clock.after(left, () => this.#expire(id))
    else if (this.#rests.delete(id)) this.#options.ended()
  }
}
