/**
 * Limits how many loads from the weight store run, including the loads of earlier planners. Owns the loads that this
 * planner has ordered and the tokens for new ones. Relies on the roster to show when a load has ended.
 */
import { type Clock } from '@eiderwind/clock'
import { type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { holds } from './engines.js'

/**
 * Loads that may begin at once after a quiet time. The deployments allow 1.1 times the rate over 5 s, plus 3 loads; 2
 * stays below that at any rate.
 */
const burst = 2

/** A load whose end is not seen counts as ended after this many times its expected duration. */
const loadTimeoutFactor = 3

/** A load that is about to begin. */
export interface LoadRequest {
  /** Holds the weight store's limits: loads begun per second, and concurrent loads. */
  readonly engine: Engine
  readonly node: string
  readonly model: string
  /** Duration of the load if no other load runs, in ms. */
  readonly duration: number
  /** How many further loads must still be able to begin. */
  readonly keepFree: number
  /** Whether the rate applies. The limit of concurrent loads always applies. */
  readonly rated: boolean
}

interface Load {
  readonly model: string
  /** When the load counts as ended even if the list does not show its end, on `Clock.now`. */
  readonly until: number
}

/**
 * Permits for loads: a token bucket for the rate, and a limit of concurrent loads. The bucket starts empty, because an
 * earlier planner in another process may have used up the rate a moment ago.
 */
export class LoadLimit {
  readonly #clock: Clock
  readonly #othersLoads: () => ReadonlyMap<string, string>
  /** Loads in progress, by node. */
  readonly #running = new Map<string, Load>()
  #tokens = 0
  #filledAt: number

  /** @param othersLoads the loads in progress on orders of other planners: the model, by node */
  constructor (clock: Clock, othersLoads: () => ReadonlyMap<string, string> = () => new Map()) {
    this.#clock = clock
    this.#othersLoads = othersLoads
    this.#filledAt = clock.now()
  }

  /** Acquires a permit for one load. Returns whether a permit was available. */
  acquire ({ engine, node, model, duration, keepFree, rated }: LoadRequest): boolean {
    const now = this.#clock.now()
    this.#tokens = rated ? Math.min(burst, this.#tokens + (now - this.#filledAt) / 1000 * engine.loadRate) : 0
    this.#filledAt = now
    const otherNodes = new Set([...this.#running.keys(), ...this.#othersLoads().keys()])
    otherNodes.delete(node)
    const permitted = (!rated || this.#tokens >= 1) && otherNodes.size < engine.loadsAtOnce - keepFree
    if (!permitted) return false
    if (rated) this.#tokens--
    this.#running.set(node, { model, until: now + loadTimeoutFactor * duration })
    return true
  }

  /** The model whose weights an engine loads, on an order of this planner or of an earlier one. */
  loading (node: string): string | undefined {
    return this.#running.get(node)?.model ?? this.#othersLoads().get(node)
  }

  /** Whether an engine's load in progress was ordered by another planner. */
  isOrderedElsewhere (node: string): boolean {
    return !this.#running.has(node) && this.#othersLoads().has(node)
  }

  /** Loads in progress on this planner's orders. */
  get running (): ReadonlyArray<{ readonly node: string, readonly model: string }> {
    return [...this.#running].map(([node, { model }]) => ({ node, model }))
  }

  /** Releases the permits of loads that have ended, and of engines that are gone. */
  release (upstreams: readonly Upstream[]): void {
    const listed = new Map(upstreams.map(each => [each.id, each]))
    for (const [node, { model, until }] of this.#running) {
      const upstream = listed.get(node)
      if (upstream === undefined || holds(upstream, model) || this.#clock.now() > until) this.#running.delete(node)
    }
  }
}
