/**
 * The attempts in flight. Cancels those at a worker whose reports have stopped. Owns the list of attempts and a timer.
 * Relies on `targets.ts` for whether a worker is live.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Cancel } from '@eiderwind/wire'
import { type Target, type Targets } from './targets.js'

/** Interval between checks of the workers of all attempts in flight, in ms. */
const checkInterval = 500

/** A check counts as late if the previous one was longer ago than this time, in ms. */
const maxCheckGap = 2 * checkInterval

interface AttemptInFlight {
  readonly target: Target
  readonly cancel: Cancel
}

/**
 * The attempts in flight. A frozen worker keeps its connections open, so an attempt there would wait until its
 * deadline. When the worker has been silent for too long, its attempts are cancelled. Each request is then tried at
 * another worker or answered.
 */
export class AttemptsInFlight {
  readonly #clock: Clock
  readonly #targets: Targets
  readonly #attempts = new Set<AttemptInFlight>()
  readonly #timer: Subscription
  #checkedAt: number

  constructor (clock: Clock, targets: Targets) {
    this.#clock = clock
    this.#targets = targets
    this.#checkedAt = clock.now()
    this.#timer = clock.every(checkInterval, () => this.#check())
  }

  /** Adds an attempt. The returned function removes it. */
  add (target: Target, cancel: Cancel): () => void {
    const attempt: AttemptInFlight = { target, cancel }
    this.#attempts.add(attempt)
    return () => { this.#attempts.delete(attempt) }
  }

  /** Stops the checks. */
  stop (): void {
    this.#timer.cancel()
  }

  /**
   * Cancels the attempts at workers that are not live. A check that runs late cancels nothing: this process was paused,
   * reports may wait in its sockets, and a missing report says nothing about the worker.
   */
  #check (): void {
    const now = this.#clock.now()
    const isLate = now - this.#checkedAt > maxCheckGap
    this.#checkedAt = now
    if (isLate) return
    for (const { target, cancel } of [...this.#attempts]) {
      if (!this.#targets.isLive(target)) cancel(new Error('The worker stopped reporting.'))
    }
  }
}
