/**
 * The attempts at one incarnation of a worker: those that it has started, and those that must never start. It owns two
 * bounded tables and relies on a monotonic clock.
 *
 * An attempt is one transmission of a request to a worker. A tombstone is the record that an attempt must never start.
 */

/** The fate of an attempt: it was tombstoned and never starts, or it may have started. */
export type AttemptFate = 'tombstoned' | 'started'

/** Default for the maximum number of attempts in each table. It limits the use of memory. */
const defaultLimit = 100_000

/** Default time for which a tombstone is retained: longer than a request can be in transit. */
const defaultRetentionMs = 600_000

/** The limits of the tables of attempts. */
export interface AttemptsOptions {
  /** Maximum number of started attempts, and of tombstones. Default: 100,000. */
  readonly limit?: number
  /** How long a tombstone is retained, in ms. It must be longer than a request can be in transit. Default: 600,000. */
  readonly retention?: number
}

/**
 * The attempts that one incarnation of a worker has started, and the tombstones of attempts that must never start.
 *
 * An entry that lost its connection requests the fate of its attempt. If the attempt has not started, it gets a
 * tombstone, and the entry can safely report that it has not run. If a table is full, the answer is `started`: the
 * attempt may have run.
 */
export class Attempts {
  readonly #limit: number
  readonly #retention: number
  readonly #started = new Map<string, number>()
  readonly #tombstones = new Map<string, number>()
  /** Start time of the attempt that was dropped from the table last, on the monotonic clock. */
  #lastForgottenStart = -Infinity

  constructor (options: AttemptsOptions = {}) {
    this.#limit = options.limit ?? defaultLimit
    this.#retention = options.retention ?? defaultRetentionMs
  }

  /**
   * Records that the attempt starts at monotonic time `now`. Returns false if it has a tombstone and must not start.
   */
  start (attempt: string, now: number): boolean {
    if (this.#tombstones.has(attempt)) return false
    this.#started.set(attempt, now)
    if (this.#started.size > this.#limit) this.#forgetOldestStarted()
    return true
  }

  /**
   * Returns the fate of an attempt at monotonic time `now`. An attempt that has not started gets a tombstone.
   *
   * @param age time since the entry sent the attempt, in ms. An attempt that was sent before the start of the attempt
   * dropped last counts as started, because its own record may have been dropped.
   */
  settle (attempt: string, age: number, now: number): AttemptFate {
    if (this.#started.has(attempt) || now - age <= this.#lastForgottenStart) return 'started'
    if (this.#tombstones.has(attempt)) return 'tombstoned'
    this.#expireTombstones(now)
    if (this.#tombstones.size >= this.#limit) return 'started'
    this.#tombstones.set(attempt, now)
    return 'tombstoned'
  }

  #forgetOldestStarted (): void {
    const [[oldest, at]] = this.#started
    this.#started.delete(oldest)
    this.#lastForgottenStart = at
  }

  #expireTombstones (now: number): void {
    for (const [attempt, at] of this.#tombstones) {
      if (at > now - this.#retention) return
      this.#tombstones.delete(attempt)
    }
  }
}
