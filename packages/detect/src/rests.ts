/**
 * Upstreams that have turned a request away and asked this gateway to send nothing for a while. Owns these rests, in memory only: another gateway is asked for
 * itself. Relies on forwarding to ask `has` before each send, and on identities that differ between two lives of an upstream, so that a rest ends with
 * the life that asked for it.
 *
 * An upstream that refuses at once always has the fewest requests in flight, so without this it is chosen before all others. With three gateways before two
 * heads of ten that asked for 3 s, 223 requests reached them within their rests and 114 of 201 requests were not served; with it none, and all were
 * (platform/test/rest.test.ts).
 */
import { type Clock } from '@eiderwind/clock'

/**
 * Longest rest that is kept to, in ms. One that asks for more is asked again after this: a number without sense must not take an upstream out of use for
 * ever. Chosen, not measured: far above the seconds that an overload lasts.
 */
const longestRest = 3_600_000

/** Dependencies of `Rests`. */
export interface RestsOptions {
  readonly clock: Clock
  /** Called when a rest begins, with its length in ms, not when one is made longer: what has not been sent yet must not be. */
  readonly begun: (id: string, time: number) => void
  /** Called when a rest has ended: the upstream takes requests again. */
  readonly ended: () => void
}

/**
 * The rests of upstreams, by their identity. They are timed by the steady clock: it stands still while the machine is suspended and no step of the time of
 * day moves it, so a rest can last longer here than was asked for, never shorter.
 */
export class Rests {
  readonly #options: RestsOptions
  /** When each rest ends, on `Clock.now`. */
  readonly #ends = new Map<string, number>()

  constructor (options: RestsOptions) {
    this.#options = options
  }

  /** Takes that an upstream asks for rest, for `time` ms from now. Of several askings the one that ends last holds, whatever order they come in. */
  ask (id: string, time: number): void {
    const { clock, begun } = this.#options
    const rest = Math.min(time, longestRest)
    const end = clock.now() + rest
    if (rest <= 0 || end <= (this.#ends.get(id) ?? -Infinity)) return
    const isNew = !this.has(id)
    this.#ends.set(id, end)
    clock.after(rest, () => this.#expire(id))
    if (isNew) begun(id, rest)
  }

  /** Whether an upstream rests, so that nothing may be sent there. */
  has (id: string): boolean {
    return this.left(id) > 0
  }

  /** Time until an upstream has rested, in ms; 0 where it does not rest. */
  left (id: string): number {
    return Math.max(0, (this.#ends.get(id) ?? -Infinity) - this.#options.clock.now())
  }

  /** Time until the first of some upstreams has rested, in ms; 0 where one of them does not rest, or there are none. */
  firstEnd (ids: readonly string[]): number {
    return ids.length === 0 ? 0 : Math.min(...ids.map(id => this.left(id)))
  }

  /** How many upstreams rest. */
  get count (): number {
    return this.#ends.size
  }

  /** A rest that was asked for again meanwhile goes on. */
  #expire (id: string): void {
    if (this.has(id) || !this.#ends.delete(id)) return
    this.#options.ended()
  }
}
