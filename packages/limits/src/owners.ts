/**
 * Determines which gateway issues the tokens of an upstream, and which share of its limit. The owner is the first
 * live gateway by rendezvous hashing. All gateways therefore agree without a message, and only the upstreams of a
 * gateway that leaves change owner. Owns the time since which each gateway is live. Caches the owners briefly,
 * because each choice of an upstream reads them.
 */
import { type Clock } from '@eiderwind/clock'
import { weight } from '@eiderwind/hash'

/** Dependencies of `Owners`. */
export interface OwnersOptions {
  readonly clock: Clock
  /** Ids of all live gateways, including this one. */
  readonly live: () => readonly string[]
  /** Number of gateways that were seen recently, live or not, including this one. */
  readonly fleet: () => number
  /**
   * How long a gateway must be live before its share of each limit is issued here, in ms. Until then another gateway
   * may issue it.
   */
  readonly settleTime: number
}

/**
 * How long cached owners are valid, in ms. It is short compared with the time in which gateways notice that one has
 * ended.
 */
const cacheTime = 100

/** The owners of upstreams, as one gateway sees them. */
export class Owners {
  readonly #options: OwnersOptions
  readonly #cached = new Map<string, string>()
  #liveSince = new Map<string, number>()
  #share = 1
  #validUntil = -Infinity

  constructor (options: OwnersOptions) {
    this.#options = options
  }

  /** The id of the gateway that issues the tokens of an upstream. */
  of (upstream: string): string {
    this.refresh()
    const owner = this.#cached.get(upstream) ?? firstOwner(upstream, [...this.#liveSince.keys()])
    this.#cached.set(upstream, owner)
    return owner
  }

  /**
   * The share of each limit that its owner issues: the number of gateways that have been live for `settleTime`, divided
   * by the number seen recently.
   * If the fleet is partitioned, all partitions together issue no more than the whole fleet did.
   */
  get share (): number {
    this.refresh()
    return this.#share
  }

  /**
   * Updates the live gateways if the cache has expired. Must be called often, even if no upstream is limited: once
   * one is, the time for which each gateway has been live matters.
   */
  refresh (): void {
    const { clock, live, fleet, settleTime } = this.#options
    const now = clock.now()
    if (now < this.#validUntil) return
    this.#validUntil = now + cacheTime
    this.#cached.clear()
    const before = this.#liveSince
    this.#liveSince = new Map(live().map(id => [id, before.get(id) ?? now]))
    const settled = [...this.#liveSince.values()].filter(since => now - since >= settleTime).length
    this.#share = Math.max(1, settled) / Math.max(1, fleet())
  }
}

function firstOwner (upstream: string, gateways: readonly string[]): string {
  const weighted = gateways.map(id => ({ id, weight: weight(upstream, id) }))
  return weighted.reduce((best, each) => each.weight > best.weight || (each.weight === best.weight && each.id < best.id) ? each : best).id
}
