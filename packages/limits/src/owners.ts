/**
 * Which gateway issues the tokens of an upstream, and which part of its limit. The first of the live ones by rendezvous hashing issues, so that all agree without a message and
 * only the upstreams of a gateway that goes change hands. Owns what it found, for a moment, since it is asked for with each choice, and since when each gateway lives.
 */
import { type Clock } from '@eiderwind/clock'
import { weight } from '@eiderwind/hash'

/** Dependencies of `Owners`. */
export interface OwnersOptions {
  readonly clock: Clock
  /** Ids of all gateways that live, this one included. */
  readonly live: () => readonly string[]
  /** Gateways that were heard lately, alive or not, this one included. */
  readonly fleet: () => number
  /** How long a gateway has to live before its part of each limit is issued here, in ms: until then another one may issue it. */
  readonly settleTime: number
}

/** How long a finding holds, in ms: short against the time in which gateways notice each other's end. */
const heldFor = 100

/** The issuers of upstreams' tokens, as one gateway sees them. */
export class Owners {
  readonly #options: OwnersOptions
  readonly #found = new Map<string, string>()
  #liveSince = new Map<string, number>()
  #part = 1
  #until = -Infinity

  constructor (options: OwnersOptions) {
    this.#options = options
  }

  /** The id of the gateway that issues the tokens of an upstream. */
  of (upstream: string): string {
    this.look()
    const found = this.#found.get(upstream) ?? first(upstream, [...this.#liveSince.keys()])
    this.#found.set(upstream, found)
    return found
  }

  /**
   * The part of each limit that its owner issues: as many of the gateways that were heard lately as live. Where the fleet has come apart, all parts issue no more than the
   * whole did.
   */
  get part (): number {
    this.look()
    return this.#part
  }

  /** Looks who lives, where the last look is no longer good. To be called often, also where nothing is limited: who has lived for how long decides once something is. */
  look (): void {
    const { clock, live, fleet, settleTime } = this.#options
    const now = clock.now()
    if (now < this.#until) return
    this.#until = now + heldFor
    this.#found.clear()
    const before = this.#liveSince
    this.#liveSince = new Map(live().map(id => [id, before.get(id) ?? now]))
    const settled = [...this.#liveSince.values()].filter(since => now - since >= settleTime).length
    this.#part = Math.max(1, settled) / Math.max(1, fleet())
  }
}

function first (upstream: string, gateways: readonly string[]): string {
  const weighed = gateways.map(id => ({ id, weight: weight(upstream, id) }))
  return weighed.reduce((best, each) => each.weight > best.weight || (each.weight === best.weight && each.id < best.id) ? each : best).id
}
