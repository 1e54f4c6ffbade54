/**
 * How many loads from the weight store may run, of this planner and of those before it. Owns the loads that this planner has
 * ordered and the tokens for new ones; relies on the roster to show when a load has ended.
 */
import { type Clock } from '@eiderwind/clock'
import { type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { holds } from './engines.js'

/**
 * Loads that may begin at once after a quiet time. The deployments allow 1.1 times the rate over 5 s, and 3 loads more; 2 stays
 * below that at any rate. Not compared with other numbers.
 */
const burst = 2

/** A load that is never seen to end counts as ended after this many times its own time. */
const loadPatience = 3

/** A load that is to begin. */
export interface LoadRequest {
  /** Holds the weight store's limits: loads begun in a second, and running at a time. */
  readonly engine: Engine
  readonly node: string
  readonly model: string
  /** How long it takes if no other runs, in ms. */
  readonly duration: number
  /** How many loads must still be able to begin beside it. */
  readonly keepFree: number
  /** Whether the rate applies. The limit of loads at a time always does. */
  readonly rated: boolean
}

interface Load {
  readonly model: string
  /** When it counts as ended whatever is listed, on `Clock.now`. */
  readonly until: number
}

/**
 * Permits for loads: a token bucket for the rate, and a limit of loads at a time. The bucket starts empty, since the planner of
 * a moment ago, in another process, may have used up the rate.
 */
export class LoadLimit {
  readonly #clock: Clock
  readonly #othersLoads: () => ReadonlyMap<string, string>
  /** Loads in progress, by node. */
  readonly #running = new Map<string, Load>()
  #tokens = 0
  #filledAt: number

  /** @param othersLoads the loads in progress by orders of other planners: the model, by node */
  constructor (clock: Clock, othersLoads: () => ReadonlyMap<string, string> = () => new Map()) {
    this.#clock = clock
    this.#othersLoads = othersLoads
    this.#filledAt = clock.now()
  }

  /** Acquires a permit for one load. Returns whether there was one. */
  acquire ({ engine, node, model, duration, keepFree, rated }: LoadRequest): boolean {
    const now = this.#clock.now()
    this.#tokens = rated ? Math.min(burst, this.#tokens + (now - this.#filledAt) / 1000 * engine.loadRate) : 0
    this.#filledAt = now
    const besides = new Set([...this.#running.keys(), ...this.#othersLoads().keys()])
    besides.delete(node)
    const permitted = (!rated || this.#tokens >= 1) && besides.size < engine.loadsAtOnce - keepFree
    if (!permitted) return false
    if (rated) this.#tokens--
    this.#running.set(node, { model, until: now + loadPatience * duration })
    return true
  }

  /** The model whose weights an engine loads by this planner's order, or by that of one before it. */
  loading (node: string): string | undefined {
    return this.#running.get(node)?.model ?? this.#othersLoads().get(node)
  }

  /** Whether a load in progress is by another planner's order. */
  isOthers (node: string): boolean {
    return !this.#running.has(node) && this.#othersLoads().has(node)
  }

  /** Loads in progress by this planner's orders. */
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
