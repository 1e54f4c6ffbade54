/**
 * Which gateway keeps the tokens of an upstream: the first of the live ones by rendezvous hashing, so that all agree without a message and only the upstreams of a
 * gateway that goes change hands. Owns what it found, for a moment, since it is asked for with each choice.
 */
import { type Clock } from '@eiderwind/clock'
import { weight } from '@eiderwind/hash'

/** How long a finding holds, in ms: short against the time in which gateways notice each other's end. */
const heldFor = 100

/** The owners of upstreams' tokens, as one gateway sees them. */
export class Owners {
  readonly #clock: Clock
  readonly #live: () => readonly string[]
  readonly #found = new Map<string, string>()
  #until = -Infinity

  /** @param live ids of all gateways that live, this one included */
  constructor (clock: Clock, live: () => readonly string[]) {
    this.#clock = clock
    this.#live = live
  }

  /** The id of the gateway that keeps the tokens of an upstream. */
  of (upstream: string): string {
    const now = this.#clock.now()
    if (now >= this.#until) {
      this.#found.clear()
      this.#until = now + heldFor
    }
    const found = this.#found.get(upstream) ?? first(upstream, this.#live())
    this.#found.set(upstream, found)
    return found
  }
}

function first (upstream: string, gateways: readonly string[]): string {
  const weighed = gateways.map(id => ({ id, weight: weight(upstream, id) }))
  return weighed.reduce((best, each) => each.weight > best.weight || (each.weight === best.weight && each.id < best.id) ? each : best).id
}
