import { type Clock } from '@eiderwind/clock'
import { type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'

/** Loads that may begin at once after a pause. */
const burst = 2

/** A load that is not seen to end is no longer counted after this many times its own time. */
const patience = 3

/** A load that is asked for. */
export interface LoadRequest {
  readonly engine: Engine
  readonly node: string
  readonly model: string
  /** How long it takes alone, in ms. */
  readonly time: number
  /** Loads that must be able to begin beside it. Default: none. */
  readonly room?: number
  /** Whether the rate does not count now. Default: it does. */
  readonly unrated?: boolean
}

interface Load {
  readonly model: string
  readonly until: number
}

/**
 * Keeps loads from the weight store under its rate and under the number that may go on at a time. One that starts
 * does not know what the planner before it let begin, so it starts with nothing saved up.
 */
export class LoadRate {
  readonly #clock: Clock
  readonly #running = new Map<string, Load>()
  #tokens = 0
  #at: number

  constructor (clock: Clock) {
    this.#clock = clock
    this.#at = clock.now()
  }

  /** Takes leave for one load at an engine, if there is any. */
  take ({ engine, node, model, time, room = 0, unrated = false }: LoadRequest): boolean {
    const now = this.#clock.now()
    this.#tokens = unrated ? 0 : Math.min(burst, this.#tokens + (now - this.#at) / 1000 * engine.loadRate)
    this.#at = now
    const running = this.#running.size - Number(this.#running.has(node))
    if ((this.#tokens < 1 && !unrated) || running >= engine.loadsAtOnce - room) return false
    if (!unrated) this.#tokens--
    this.#running.set(node, { model, until: now + patience * time })
    return true
  }

  /** The model that an engine is loading, as far as it was ordered here. */
  loading (node: string): string | undefined {
    return this.#running.get(node)?.model
  }

  /** Forgets the loads that have ended, by what the engines say, or whose engine is gone. */
  settle (upstreams: readonly Upstream[]): void {
    const listed = new Map(upstreams.map(each => [each.id, each]))
    for (const [node, { model, until }] of this.#running) {
      const upstream = listed.get(node)
      const held = upstream?.staged.includes(model) === true || upstream?.loaded.includes(model) === true
      if (upstream === undefined || held || this.#clock.now() > until) this.#running.delete(node)
    }
  }
}
