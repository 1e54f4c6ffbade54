/**
 * The smoothed load that callers offer to each model. The planner assigns models to replicas by it. Owns the smoothed
 * counts. Relies on being sampled at a steady interval (`sampling.ts`).
 */
import { type Demand } from '@eiderwind/forming'

/** Weight of the newest sample, at two samples a second: after 5 s a change has taken effect by two thirds. */
const newestWeight = 0.1

/** Minimum number of offered requests, over all gateways, for the shares of the models to be meaningful. */
const minRequests = 8

/** The load that callers offer to each model over all gateways, smoothed. */
export class ModelLoad {
  readonly #smoothed = new Map<string, number>()

  /**
   * Takes a sample: the load offered to each model, with one record for each gateway. Requests without a model ('') are
   * ignored.
   */
  sample (gateways: ReadonlyArray<Readonly<Record<string, number>>>): void {
    const sums = new Map<string, number>()
    for (const models of gateways) {
      for (const [model, count] of Object.entries(models)) if (model !== '') sums.set(model, (sums.get(model) ?? 0) + count)
    }
    for (const model of new Set([...sums.keys(), ...this.#smoothed.keys()])) {
      const before = this.#smoothed.get(model) ?? 0
      this.#smoothed.set(model, before + newestWeight * ((sums.get(model) ?? 0) - before))
    }
  }

  /** Each model's share of the work, from 0 to 1; empty while there are too few requests. */
  get demand (): Demand {
    const total = [...this.#smoothed.values()].reduce((sum, each) => sum + each, 0)
    return total < minRequests ? new Map() : new Map([...this.#smoothed].map(([model, count]) => [model, count / total]))
  }
}
