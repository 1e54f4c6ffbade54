/**
 * The retry budget of one service at this gateway. Owns the counts of requests and retries of the last window. The
 * gateways exchange no messages about it: each counts its own requests and uses an equal part of the shared slack.
 * Relies on `request` being called for every caller's request. Which retries need the budget is decided in `retry.ts`.
 */
import { type Clock } from '@eiderwind/clock'

/** How many retries all gateways together may make in any window. */
export interface RetryBudgetOptions {
  /** Retries for each request of a caller. */
  readonly ratio: number
  /** Length of the window in which both are counted, in ms. */
  readonly window: number
  /** Retries that all gateways together may make beyond the ratio in one window. */
  readonly slack: number
  /** Gateways that share the slack, as far as this one knows. */
  readonly gateways: () => number
}

/** Parts into which the window is cut; their size is the precision of the count. */
const parts = 10

/**
 * The part of the allowed retries that is used, so that the bound also holds in windows that begin at other times than
 * ours.
 */
const caution = 0.75

interface Part {
  readonly index: number
  requests: number
  retries: number
}

/** Keeps the retries of one service to a share of its requests. */
export class RetryBudget {
  readonly #clock: Clock
  readonly #options: RetryBudgetOptions
  readonly #parts: Part[] = []

  constructor (clock: Clock, options: RetryBudgetOptions) {
    this.#clock = clock
    this.#options = options
  }

  /** Retries made in the current window. One part more than the window is counted, since the oldest is partly in it. */
  get used (): number {
    return this.#sum(part => part.retries, parts + 1)
  }

  /** Retries that may still be made now. Requests are counted over one part less than the window, so never too many. */
  get left (): number {
    const { ratio, slack, gateways } = this.#options
    const allowed = ratio * this.#sum(part => part.requests, parts - 1) + slack / Math.max(1, gateways())
    return Math.floor(caution * allowed) - this.used
  }

  /** Counts a request of a caller. */
  request (): void {
    this.#current().requests++
  }

  /** Takes one retry, and says whether one was left. */
  take (): boolean {
    if (this.left < 1) return false
    this.#current().retries++
    return true
  }

  /** Sums `value` over the newest `count` parts. */
  #sum (value: (part: Part) => number, count: number): number {
    const from = this.#index() - count
    return this.#parts.filter(part => part.index > from).reduce((sum, part) => sum + value(part), 0)
  }

  #index (): number {
    return Math.floor(this.#clock.now() / (this.#options.window / parts))
  }

  #current (): Part {
    const index = this.#index()
    const last = this.#parts.at(-1)
    if (last?.index === index) return last
    const part = { index, requests: 0, retries: 0 }
    this.#parts.push(part)
    if (this.#parts.length > parts + 2) this.#parts.shift()
    return part
  }
}
