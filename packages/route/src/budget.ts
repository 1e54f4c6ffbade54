/**
 * The retry budget of one entry: a token bucket that keeps retries to a share of the traffic. It owns its tokens and relies
 * on a clock for those that come with time.
 */
import { type Clock } from '@eiderwind/clock'

/** Retries allowed for each first attempt. */
const defaultShare = 0.1

/** Retries a second that are always allowed. */
const defaultFloor = 2

/** Most retries that can be saved up. */
const defaultMost = 50

/** Seconds of the floor with which a budget starts. */
const startSeconds = 5

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
    this.#share = options.share ?? defaultShare
    this.#floor = options.floor ?? defaultFloor
    this.#most = options.most ?? defaultMost
    this.#tokens = Math.min(this.#most, this.#floor * startSeconds)
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
