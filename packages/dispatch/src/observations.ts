/**
 * What this gateway has observed of plain upstreams: moving averages of the time until the answer and of the share of
 * failures. Owns these averages, in memory only; an upstream that was never observed is taken to be fast.
 */

/** Weight of the newest observation in the averages. */
const weight = 0.2

/** Cost of an upstream whose every request fails, in parts of one that never fails, less one. */
const failureCost = 8

/** Time that an upstream is taken to need before its first observation, and the least that is reckoned with, in ms. */
const leastTime = 1

/**
 * Upstreams of which averages are kept. Those of upstreams that went away are never removed singly; beyond this number
 * all are forgotten: far above the plain upstreams of one service.
 */
const maxUpstreams = 1000

interface Averages {
  /** Time until an answer that is no failure, in ms. */
  time: number
  /** Share of failures, 0 to 1. */
  failures: number
}

/** Moving averages of the times and failures of plain upstreams. */
export class Observations {
  readonly #averages = new Map<string, Averages>()

  /** Takes in how a request went. @param time until its end, in ms */
  add (id: string, time: number, failed: boolean): void {
    const averages = this.#averages.get(id) ?? { time, failures: 0 }
    if (!failed) averages.time += weight * (time - averages.time)
    averages.failures += weight * (Number(failed) - averages.failures)
    this.#averages.set(id, averages)
    if (this.#averages.size > maxUpstreams) this.#averages.clear()
  }

  /** Expected time of one more request at an upstream with `inFlight` requests, in ms, raised by its share of failures. */
  cost (id: string, inFlight: number): number {
    const { time, failures } = this.#averages.get(id) ?? { time: leastTime, failures: 0 }
    return (inFlight + 1) * Math.max(time, leastTime) * (1 + failureCost * failures)
  }
}
