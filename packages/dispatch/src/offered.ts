/**
 * How many requests of each model would be in flight if none found too little room: what the planner composes replicas by. Answers loads of which a part is refused: what is
 * in flight alone never exceeds the room that a model has, so that the model which lacks most of it would seem to need none. Owns the refusals of the last while and how
 * long requests of each model are in flight. Times are on `Clock.now`, in ms.
 */
import { type Clock } from '@eiderwind/clock'
import { RecentEvents } from '@eiderwind/detect'

/** Weight of the newest of two samples a second: requests are in flight for some seconds. */
const newestWeight = 0.2

/** How long a request is taken to be in flight where none of its model was, in s. */
const assumedTime = 1

/** What is in flight, as far as it is read here. */
export interface ModelCounts {
  /** Requests in flight by model. */
  readonly models: () => Readonly<Record<string, number>>
  /** Requests of a model that were sent in the last second. */
  readonly rate: (model: string) => number
}

/** Smoothed counts of a model. */
interface Usual {
  readonly inFlight: number
  readonly rate: number
}

/** The load that callers offer to each model. */
export class OfferedLoad {
  readonly #counts: ModelCounts
  readonly #usual = new Map<string, Usual>()
  /** Callers who were refused for lack of room, by model. */
  readonly #refused: RecentEvents

  constructor (clock: Clock, counts: ModelCounts) {
    this.#counts = counts
    this.#refused = new RecentEvents(clock)
  }

  /** Counts a caller of a model who is refused for lack of room. One who comes back is the same caller: count first tries only. */
  refused (model: string): void {
    this.#refused.add(model)
  }

  /** Takes a sample of how long requests are in flight. To be called at a steady interval. */
  sample (): void {
    const { models, rate } = this.#counts
    for (const [model, inFlight] of Object.entries(models())) {
      const usual = this.#usual.get(model) ?? { inFlight, rate: rate(model) }
      this.#usual.set(model, { inFlight: smoothed(usual.inFlight, inFlight), rate: smoothed(usual.rate, rate(model)) })
    }
  }

  /** Requests that would be in flight, by model, in whole ones. */
  get models (): Record<string, number> {
    const models = this.#counts.models()
    const refused = [...this.#refused.names].filter(model => this.#refused.count(model) > 0)
    const names = new Set([...Object.keys(models), ...refused])
    return Object.fromEntries([...names].map(model => [model, (models[model] ?? 0) + this.#missing(model)]))
  }

  /** Requests that would be in flight beside those that are, by Little's law. */
  #missing (model: string): number {
    return Math.round(this.#refused.count(model) * this.#timeInFlight(model))
  }

  /** In s. */
  #timeInFlight (model: string): number {
    const usual = this.#usual.get(model)
    return usual === undefined || usual.rate < 1 ? assumedTime : usual.inFlight / usual.rate
  }
}

function smoothed (before: number, newest: number): number {
  return before + newestWeight * (newest - before)
}
