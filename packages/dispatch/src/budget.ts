import { type Clock } from '@eiderwind/clock'

/** How many requests may be sent once more, over all entries. */
export interface RetryBudgetOptions {
  /** RetryBudget for each request of callers. */
  readonly ratio: number
  /** Length of the window in which both are counted, in ms. */
  readonly window: number
  /** RetryBudget that all entries together may make beyond the ratio in a window. */
  readonly slack: number
  /** Entries that share the slack, as far as this one knows. */
  readonly entries: () => number
}

/** Parts into which the window is cut. */
const parts = 10

/** The part of what is allowed that is used, so that windows that lie otherwise than ours are kept too. */
const caution = 0.75

interface Part {
  index: number
  requests: number
  repeats: number
}

/** Keeps one service's repeats to a share of its requests. Each entry counts its own requests and its part of the slack. */
export class RetryBudget {
  readonly #clock: Clock
  readonly #options: RetryBudgetOptions
  readonly #parts: Part[] = []

  constructor (clock: Clock, options: RetryBudgetOptions) {
    this.#clock = clock
    this.#options = options
  }

  /** RetryBudget in the running window. */
  get used (): number {
    return this.#sum(part => part.repeats, parts + 1)
  }

  /** How many more repeats are allowed now. */
  get left (): number {
    const { ratio, slack, entries } = this.#options
    const allowed = ratio * this.#sum(part => part.requests, parts - 1) + slack / Math.max(1, entries())
    return Math.floor(caution * allowed) - this.used
  }

  /** Notes a request of a caller. */
  request (): void {
    this.#part().requests++
  }

  /** Takes one repeat, if one is left. */
  take (): boolean {
    if (this.left < 1) return false
    this.#part().repeats++
    return true
  }

  #sum (value: (part: Part) => number, count: number): number {
    const from = this.#index() - count
    return this.#parts.filter(part => part.index > from).reduce((sum, part) => sum + value(part), 0)
  }

  #index (): number {
    return Math.floor(this.#clock.now() / (this.#options.window / parts))
  }

  #part (): Part {
    const index = this.#index()
    const last = this.#parts.at(-1)
    if (last?.index === index) return last
    const part = { index, requests: 0, repeats: 0 }
    this.#parts.push(part)
    if (this.#parts.length > parts + 2) this.#parts.shift()
    return part
  }
}
