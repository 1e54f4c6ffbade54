/**
 * Attempts in flight, by worker, so that those at a worker that has gone silent are given up. Owns their list and a timer;
 * relies on the board for when each worker was last heard.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Cancel } from '@eiderwind/wire'
import { type Target, type Targets } from './targets.js'

/** Time between two looks at the workers of what is in flight, in ms. */
const checkInterval = 500

/** Time between two looks above which this process counts as late itself, in ms. */
const maxCheckDelay = 2 * checkInterval

interface AttemptInFlight {
  readonly target: Target
  readonly cancel: Cancel
}

/**
 * The attempts in flight. A worker that freezes keeps its connections open, so an attempt there would wait until its
 * deadline; once the worker has been silent for too long, its attempts are given up and go on elsewhere, or are answered.
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

  /** Notes an attempt in flight. The returned function takes it out again. */
  add (target: Target, cancel: Cancel): () => void {
    const attempt: AttemptInFlight = { target, cancel }
    this.#attempts.add(attempt)
    return () => { this.#attempts.delete(attempt) }
  }

  /** Looks no more. */
  stop (): void {
    this.#timer.cancel()
  }

  /** Looks, unless this process itself is late: then reports wait in its own sockets, and silence says nothing about the workers. */
  #check (): void {
    const now = this.#clock.now()
    const isLate = now - this.#checkedAt > maxCheckDelay
    this.#checkedAt = now
    if (isLate) return
    for (const { target, cancel } of [...this.#attempts]) {
      if (!this.#targets.isLive(target)) cancel(new Error('The worker went silent.'))
    }
  }
}
