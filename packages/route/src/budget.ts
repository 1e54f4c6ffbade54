import { type Clock } from '@eiderwind/clock'

/** The settings of a retry budget. */
export interface BudgetOptions {
  /** Retries allowed for each first attempt. Default: 0.1. */
  readonly share?: number
  /** Retries a second that are always allowed, so that little traffic can retry too. Default: 2. */
  readonly floor?: number
  /** Most retries that can be saved up. Default: 50. */
  readonly most?: number
}

/** Keeps retries to a share of the traffic, so that they cannot multiply an overload. */
export class Budget {
  readonly #clock: Clock
  readonly #share: number
  readonly #floor: number
  readonly #most: number
  #tokens: number
  #at: number

  constructor (clock: Clock, options: BudgetOptions = {}) {
    this.#clock = clock
    this.#share = options.share ?? 0.1
    this.#floor = options.floor ?? 2
    this.#most = options.most ?? 50
    this.#tokens = Math.min(this.#most, this.#floor * 5)
    this.#at = clock.now()
  }

  /** Notes a first attempt. */
  deposit (): void {
    this.#tokens = Math.min(this.#most, this.#tokens + this.#share)
  }

  /** Takes one retry, if there is one. */
  withdraw (): boolean {
    const now = this.#clock.now()
    this.#tokens = Math.min(this.#most, this.#tokens + (now - this.#at) / 1000 * this.#floor)
    this.#at = now
    if (this.#tokens < 1) return false
    this.#tokens--
    return true
  }
}
