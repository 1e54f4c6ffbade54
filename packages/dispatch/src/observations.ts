/**
 * Moving averages of the response time and the failure share of each plain upstream, as observed by this gateway. Owns
 * these averages, in memory only. An upstream without observations is assumed to be fast.
 */

/** Weight of the newest observation in the averages. */
const newestWeight = 0.2

/** The cost of an upstream is multiplied by 1 plus this value if all its requests fail. */
const failureCost = 8

/** Assumed response time of an upstream before its first observation, and the lower bound in all costs, in ms. */
const minTimeMs = 1

/**
 * Maximum number of upstreams with averages. Averages of removed upstreams are not deleted one by one; beyond this
 * number all are deleted. It is far above the number of plain upstreams of one service.
 */
const maxUpstreams = 1000

interface Averages {
  /** Mean time until an answer, without failures, in ms. */
  time: number
  /** Share of failures, 0 to 1. */
  failures: number
}

/** Moving averages of the times and failures of plain upstreams. */
export class Observations {
  readonly #averages = new Map<string, Averages>()

  /** Records the result of a request. @param time until its end, in ms */
  add (id: string, time: number, failed: boolean): void {
    const averages = this.#averages.get(id) ?? { time, failures: 0 }
    if (!failed) averages.time += newestWeight * (time - averages.time)
    averages.failures += newestWeight * (Number(failed) - averages.failures)
    this.#averages.set(id, averages)
    if (this.#averages.size > maxUpstreams) this.#averages.clear()
  }

  /**
   * Expected time of one more request at an upstream with `inFlight` requests, in ms, increased by its failure share.
   */
  cost (id: string, inFlight: number): number {
    const { time, failures } = this.#averages.get(id) ?? { time: minTimeMs, failures: 0 }
    return (inFlight + 1) * Math.max(time, minTimeMs) * (1 + failureCost * failures)
  }
}
