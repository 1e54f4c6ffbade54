/**
 * How much work callers ask for of each model, smoothed: what the planner composes replicas by. Owns the smoothed counts;
 * relies on being sampled at a steady interval (`sampling.ts`).
 */
import { type Demand } from '@eiderwind/forming'

/** Weight of the newest of two samples a second, so that a change counts by two thirds after 5 s. */
const newestWeight = 0.1

/** Offered requests, over all gateways, below which shares by model say nothing. */
const fewestRequests = 8

/** The load that callers offer to each model, at all gateways, smoothed. */
export class ModelLoad {
  readonly #smoothed = new Map<string, number>()

  /** Takes a sample: the load offered to each model, one record a gateway. Requests without a model ('') are left out. */
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
    return total < fewestRequests ? new Map() : new Map([...this.#smoothed].map(([model, count]) => [model, count / total]))
  }
}
