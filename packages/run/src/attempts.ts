/**
 * What one incarnation of a worker knows of attempts: which it has started, and which must never start. It owns two bounded
 * tables and relies on a steady clock.
 */

/** What became of an attempt, as the worker that was to run it knows. */
export type Fate = 'tombstoned' | 'started'

/** Most attempts that are remembered on each side, unless set: a bound of memory. */
const defaultLimit = 100_000

/** How long a tombstone stands, unless set, in ms: longer than a request can be under way. */
const defaultKeep = 600_000

/** The bounds of what is remembered of attempts. */
export interface AttemptsOptions {
  /** Most attempts that are remembered on each side. Default: 100,000. */
  readonly limit?: number
  /** How long a tombstone stands, in ms: longer than a request can be under way. Default: 600,000. */
  readonly keep?: number
}

/**
 * The attempts that one incarnation of a worker has started, and those that it was told never to start. An entry
 * that lost its connection asks for the fate of its attempt: one that has not started is tombstoned on the spot, and
 * "not run" is true from then on. Where the memory is exhausted the answer is `started`, which promises nothing.
 */
export class Attempts {
  readonly #limit: number
  readonly #keep: number
  readonly #started = new Map<string, number>()
  readonly #tombstones = new Map<string, number>()
  /** When the latest of the forgotten attempts started. */
  #forgotten = -Infinity

  constructor (options: AttemptsOptions = {}) {
    this.#limit = options.limit ?? defaultLimit
    this.#keep = options.keep ?? defaultKeep
  }

  /** Notes that the attempt is being handed to the upstream at steady time `now`. False where it was tombstoned: it must not start. */
  start (attempt: string, now: number): boolean {
    if (this.#tombstones.has(attempt)) return false
    this.#started.set(attempt, now)
    if (this.#started.size > this.#limit) this.#forgetOldest()
    return true
  }

  /**
   * The fate of an attempt at steady time `now`. One that has not started never will.
   *
   * @param age time since the entry sent the attempt, in ms; older than what was forgotten counts as started
   */
  settle (attempt: string, age: number, now: number): Fate {
    if (this.#started.has(attempt) || now - age <= this.#forgotten) return 'started'
    if (this.#tombstones.has(attempt)) return 'tombstoned'
    this.#expire(now)
    if (this.#tombstones.size >= this.#limit) return 'started'
    this.#tombstones.set(attempt, now)
    return 'tombstoned'
  }

  #forgetOldest (): void {
    const [[oldest, at]] = this.#started
    this.#started.delete(oldest)
    this.#forgotten = at
  }

  #expire (now: number): void {
    for (const [attempt, at] of this.#tombstones) {
      if (at > now - this.#keep) return
      this.#tombstones.delete(attempt)
    }
  }
}
