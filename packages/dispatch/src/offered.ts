/**
 * Estimates how many requests of each model would be in flight if none were refused for lack of room. The planner
 * chooses the replicas of each model by this estimate. The requests in flight alone are not enough: they never exceed
 * the room of a model, so the model that lacks most room would seem to need no more. Owns the refusals of the last
 * second and the mean time in flight of each model. Times are on `Clock.now`, in ms.
 */
import { type Clock } from '@eiderwind/clock'
import { RecentEvents } from '@eiderwind/detect'

/** Weight of the newest sample, at two samples per second. Requests are in flight for some seconds. */
const newestWeight = 0.2

/** Assumed time in flight of a model without requests in flight, in s. */
const defaultTimeInFlight = 1

/** Counts of the requests in flight. */
export interface ModelCounts {
  /** Requests in flight by model. */
  readonly models: () => Readonly<Record<string, number>>
  /** Number of requests of a model that were sent in the last second. */
  readonly rate: (model: string) => number
}

/** Smoothed counts of a model. */
interface SmoothedCounts {
  readonly inFlight: number
  readonly rate: number
}

/** The load that callers offer to each model, including refused requests. */
export class OfferedLoad {
  readonly #counts: ModelCounts
  readonly #smoothedCounts = new Map<string, SmoothedCounts>()
  /** First attempts that were refused for lack of room, by model. */
  readonly #refused: RecentEvents

  constructor (clock: Clock, counts: ModelCounts) {
    this.#counts = counts
    this.#refused = new RecentEvents(clock)
  }

  /**
   * Counts a request of a model that is refused for lack of room. To be called for first attempts only, since a retry
   * comes from the same caller.
   */
  countRefused (model: string): void {
    this.#refused.add(model)
  }

  /** Samples the requests in flight and their rates. To be called at a fixed interval, twice a second. */
  sample (): void {
    const { models, rate } = this.#counts
    for (const [model, inFlight] of Object.entries(models())) {
      const smoothedCounts = this.#smoothedCounts.get(model) ?? { inFlight, rate: rate(model) }
      this.#smoothedCounts.set(model, { inFlight: smoothed(smoothedCounts.inFlight, inFlight), rate: smoothed(smoothedCounts.rate, rate(model)) })
    }
  }

  /** The estimated number of requests that would be in flight, by model. */
  get models (): Record<string, number> {
    const models = this.#counts.models()
    const refused = [...this.#refused.names].filter(model => this.#refused.count(model) > 0)
    const names = new Set([...Object.keys(models), ...refused])
    return Object.fromEntries([...names].map(model => [model, (models[model] ?? 0) + this.#unmet(model)]))
  }

  /** Requests that would be in flight in addition to the present ones, by Little's law. */
  #unmet (model: string): number {
    return Math.round(this.#refused.count(model) * this.#timeInFlight(model))
  }

  /** Mean time in flight of a request of a model, in s. */
  #timeInFlight (model: string): number {
    const smoothedCounts = this.#smoothedCounts.get(model)
    return smoothedCounts === undefined || smoothedCounts.rate < 1 ? defaultTimeInFlight : smoothedCounts.inFlight / smoothedCounts.rate
  }
}

function smoothed (before: number, newest: number): number {
  return before + newestWeight * (newest - before)
}
