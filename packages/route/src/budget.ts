/**
 * The retry budget of one entry: a token bucket that limits retries to a share of the traffic. Owns the tokens of the
 * bucket, and relies on a clock to refill it at a fixed rate.
 */
import { type Clock } from '@eiderwind/clock'

/** Number of retries allowed for each first attempt. */
const defaultShare = 0.1

/** Number of retries per second that are always allowed. */
const defaultFloor = 2

/** Maximum number of retries that can be saved up. */
const defaultMaxTokens = 50

/** A budget starts with as many retries as the floor allows in this many seconds. */
const startSeconds = 5

/** The settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Number of retries allowed for each first attempt. Default: 0.1. */
  readonly share?: number
  /**
   * Number of retries per second that are always allowed, so that entries with little traffic can retry. Default: 2.
   */
  readonly floor?: number
  /** Maximum number of retries that can be saved up. Default: 50. */
  readonly maxTokens?: number
}

/** Limits retries to a share of the traffic, so that retries cannot multiply an overload. */
export class RetryBudget {
  readonly #clock: Clock
  readonly #share: number
  readonly #floor: number
  readonly #maxTokens: number
  #tokens: number
  #refilledAt: number

  constructor (clock: Clock, options: RetryBudgetOptions = {}) {
    this.#clock = clock
    this.#share = options.share ?? defaultShare
    this.#floor = options.floor ?? defaultFloor
    this.#maxTokens = options.maxTokens ?? defaultMaxTokens
    this.#tokens = Math.min(this.#maxTokens, this.#floor * startSeconds)
    this.#refilledAt = clock.now()
  }

  /** Records a first attempt. */
  deposit (): void {
    this.#tokens = Math.min(this.#maxTokens, this.#tokens + this.#share)
  }

  /** Takes one retry out of the budget. Returns false if there is none. */
  withdraw (): boolean {
    const now = this.#clock.now()
    this.#tokens = Math.min(this.#maxTokens, this.#tokens + (now - this.#refilledAt) / 1000 * this.#floor)
    this.#refilledAt = now
    if (this.#tokens < 1) return false
    this.#tokens--
    return true
  }
}
