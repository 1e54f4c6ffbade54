/**
 * Engines that a planner has not heard from since it took over. The list may name an engine for seconds after its death,
 * and only the planner before may have found it silent. Until such an engine answers a probe, it is put into no replica.
 * Owns the probes of these engines. Relies on the reconciler to add engines and to call `check` at each of its passes,
 * and on `Liveness` for those that stay silent.
 */
import { type Clock } from '@eiderwind/clock'
import { type Roster } from '@eiderwind/roster'
import { type NodeAddress, type Probes } from './probes.js'

/** Dependencies of `Unverified`. */
export interface UnverifiedOptions {
  readonly clock: Clock
  readonly roster: Roster
  readonly probes: Probes
  /** When this process last resumed after a pause of its own, on `Clock.now`. */
  readonly resumedAt: () => number
  /** Called with an engine that left `missed` consecutive probes unanswered. */
  readonly silent: (id: string, missed: number) => void
  /** Called after an engine has answered or was found silent. */
  readonly changed: () => void
  /** Called with an error that nothing else handles. */
  readonly failed: (error: unknown) => void
}

/** Consecutive missed probes after which an engine is silent. A single lost packet delays a connection that far. */
const missedProbesLimit = 2

/** Maximum number of probes under way, so that their answers are not delayed by each other. */
const maxProbes = 50

interface UnverifiedEngine extends NodeAddress {
  missed: number
  isProbed: boolean
}

/** The engines that have not answered a probe yet. */
export class Unverified {
  readonly #options: UnverifiedOptions
  readonly #engines = new Map<string, UnverifiedEngine>()

  constructor (options: UnverifiedOptions) {
    this.#options = options
  }

  /** Ids of the engines that have not answered yet. */
  get ids (): ReadonlySet<string> {
    return new Set(this.#engines.keys())
  }

  /**
   * Whether some of the engines have neither answered nor missed a probe yet. A step that is planned before would be
   * planned again as soon as they answer.
   */
  awaitsFirstAnswer (engines: readonly NodeAddress[]): boolean {
    return engines.some(({ id }) => this.#engines.get(id)?.missed === 0)
  }

  /** Adds listed engines. */
  add (engines: readonly NodeAddress[]): void {
    for (const { id, address } of engines) this.#engines.set(id, { id, address, missed: 0, isProbed: false })
  }

  /** Probes the engines, a bounded number at a time, and drops those that are not listed any more. */
  check (): void {
    const { roster } = this.#options
    for (const id of this.#engines.keys()) if (roster.find(id) === undefined) this.#engines.delete(id)
    const engines = [...this.#engines.values()]
    const probesLeft = maxProbes - engines.filter(each => each.isProbed).length
    for (const each of engines.filter(({ isProbed }) => !isProbed).slice(0, Math.max(0, probesLeft))) this.#probe(each)
  }

  #probe (engine: UnverifiedEngine): void {
    const { clock, probes, resumedAt, changed, failed } = this.#options
    const probedAt = clock.now()
    engine.isProbed = true
    probes.isReachable(engine.address).then(reachable => {
      engine.isProbed = false
      // A time-out that elapsed during a pause of this process says nothing about the engine.
      if (reachable) this.#engines.delete(engine.id)
      else if (resumedAt() < probedAt) this.#recordMissed(engine)
      changed()
    }).catch(failed)
  }

  #recordMissed (engine: UnverifiedEngine): void {
    engine.missed++
    if (engine.missed < missedProbesLimit || this.#engines.get(engine.id) !== engine) return
    this.#engines.delete(engine.id)
    this.#options.silent(engine.id, engine.missed)
  }
}
