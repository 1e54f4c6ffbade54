import { type Demand } from '@eiderwind/forming'

/** Weight of the newest sample. */
const weight = 0.1

/** Requests under way below which nothing is concluded from them. */
const least = 8

/** The work that is asked for by model, smoothed over some seconds: requests under way at all entries. */
export class Work {
  readonly #smooth = new Map<string, number>()

  /** Takes a sample: requests under way, by model, one record an entry. */
  sample (entries: ReadonlyArray<Readonly<Record<string, number>>>): void {
    const sums = new Map<string, number>()
    for (const models of entries) {
      for (const [model, count] of Object.entries(models)) if (model !== '') sums.set(model, (sums.get(model) ?? 0) + count)
    }
    for (const model of new Set([...sums.keys(), ...this.#smooth.keys()])) {
      const before = this.#smooth.get(model) ?? 0
      this.#smooth.set(model, before + weight * ((sums.get(model) ?? 0) - before))
    }
  }

  /** The work by model; empty while there is too little to tell. */
  get demand (): Demand {
    const total = [...this.#smooth.values()].reduce((sum, each) => sum + each, 0)
    return total < least ? new Map() : new Map([...this.#smooth].map(([model, count]) => [model, count / total]))
  }
}
