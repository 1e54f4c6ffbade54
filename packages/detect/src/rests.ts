/**
 * Upstreams to which this gateway sends nothing for a while: they turned a request away and asked for that, or it leaves them out by itself
 * (`backoff.ts`). Owns these rests, in memory only: another gateway is asked for itself. Relies on `Intake` to ask `has` before each send, and on identities that differ between two lives of an upstream, so that a rest ends with
 * the life that asked for it.
 *
 * An upstream that refuses at once always has the fewest requests in flight, so without this it is chosen before all others.
 */
import { type Clock } from '@eiderwind/clock'

/**
 * Longest rest that is kept to, in ms. One that asks for more is asked again after this: a number without sense must not take an upstream out of use for
 * ever. Far above the seconds that an overload lasts.
 */
const longestRest = 3_600_000

/** A rest of one upstream. */
export interface Rest {
  /** On `Clock.now`, in ms. */
  readonly end: number
  /** Whether the upstream asked for it. */
  readonly asked: boolean
}

/** Dependencies of `Rests`. */
export interface RestsOptions {
  readonly clock: Clock
  /** Called when a rest begins, not when one is made longer: what has not been sent yet must not be. */
  readonly begun: (id: string) => void
  /** Called when a rest has ended: the upstream takes requests again. */
  readonly ended: () => void
}

/**
 * The rests of upstreams, by their identity. They are timed by the steady clock: it stands still while the machine is suspended and no step of the time of
 * day moves it, so a rest can last longer here than was asked for, never shorter.
 */
export class Rests {
  readonly #options: RestsOptions
  readonly #rests = new Map<string, Rest>()

  constructor (options: RestsOptions) {
    this.#options = options
  }

  /**
   * Takes that an upstream asks for rest, for `time` ms from now. Of several askings the one that ends last holds, whatever order they come in. Returns whether it
   * begins a rest that was asked for: further askings within one, as of requests that were on their way, say little new.
   */
  ask (id: string, time: number): boolean {
    const isNew = time > 0 && this.of(id)?.asked !== true
    this.#extend(id, time, true)
    return isNew
  }

  /** Leaves an upstream out for `time` ms from now, by this gateway's own decision. */
  pause (id: string, time: number): void {
    this.#extend(id, time, false)
  }

  /** Whether an upstream rests, so that nothing may be sent there. */
  has (id: string): boolean {
    return this.left(id) > 0
  }

  /** Time until an upstream has rested, in ms; 0 where it does not rest. */
  left (id: string): number {
    const rest = this.of(id)
    return rest === undefined ? 0 : rest.end - this.#options.clock.now()
  }

  /** How many upstreams rest. */
  get count (): number {
    return this.#rests.size
  }

  /** The rest of an upstream, unless it has ended and the timer has yet to say so. */
  of (id: string): Rest | undefined {
    const rest = this.#rests.get(id)
    return rest !== undefined && rest.end > this.#options.clock.now() ? rest : undefined
  }

  #extend (id: string, time: number, asked: boolean): void {
    if (time <= 0) return
    const { clock, begun } = this.#options
    const now = clock.now()
    const before = this.of(id)
    const end = Math.max(before?.end ?? 0, now + Math.min(time, longestRest))
    this.#rests.set(id, { end, asked: asked || before?.asked === true })
    if (before !== undefined) return
    clock.after(end - now, () => this.#expire(id))
    begun(id)
  }

  /** Ends a rest that is over. One that was made longer meanwhile, or whose timer ran out a little early as those of Node.js do, has its timer set anew. */
  #expire (id: string): void {
    const left = this.left(id)
    if (left > 0) this.#options.clock.after(left, () => this.#expire(id))
    else if (this.#rests.delete(id)) this.#options.ended()
  }
}
