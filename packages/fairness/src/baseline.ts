/**
 * The baseline demand of each team, that is, how much work it usually requests. The newest requests are left out, so
 * that a surge does not count as usual while it lasts. Owns its sums and snapshots, in memory only. Times are on
 * `Clock.now`, in ms.
 */
import { DecayingSums, effectiveWindow } from './decaying.js'

/**
 * Half-life of the usual demand, in ms. A team whose demand grows permanently reaches its new share within a few
 * half-lives.
 */
const halfLife = 600_000

/**
 * Time until the first snapshot, and the longest interval between two snapshots, in ms. The interval doubles with each
 * snapshot up to that maximum.
 */
const firstIntervalMs = 1000
const maxIntervalMs = 30_000

/** The demand up to a time. */
interface Snapshot {
  readonly sums: DecayingSums<string>
  readonly takenAt: number
}

/** The baseline demand by team, without the newest requests. */
export class BaselineDemand {
  readonly #requested: DecayingSums<string>
  #startedAt: number | undefined
  /** The snapshot in use, and the newer one that replaces it when the next snapshot is taken. */
  #baseline: Snapshot | undefined
  #pending: Snapshot | undefined
  #nextSnapshotAt = 0

  constructor (requested = new DecayingSums<string>(halfLife)) {
    this.#requested = requested
  }

  add (team: string, work: number, now: number): void {
    this.#startedAt ??= now
    if (this.#pending === undefined && this.#nextSnapshotAt === 0) this.#nextSnapshotAt = now + firstIntervalMs
    if (now >= this.#nextSnapshotAt) this.#takeSnapshot(now)
    this.#requested.add(team, work, now)
  }

  /** The usual demand of a team, relative to the mean over the teams. Undefined before two snapshots exist. */
  relative (team: string): number | undefined {
    const baseline = this.#baseline
    if (baseline === undefined) return undefined
    const { sums, takenAt } = baseline
    return sums.valueAt(team, takenAt) * sums.size / sums.totalAt(takenAt)
  }

  /** Work that a team usually requests per ms. 0 before two snapshots exist. */
  rate (team: string): number {
    const baseline = this.#baseline
    if (baseline === undefined || this.#startedAt === undefined) return 0
    return baseline.sums.valueAt(team, baseline.takenAt) / effectiveWindow(halfLife, baseline.takenAt - this.#startedAt)
  }

  #takeSnapshot (now: number): void {
    this.#baseline = this.#pending
    this.#pending = { sums: this.#requested.copy(), takenAt: now }
    this.#nextSnapshotAt = now + Math.min(maxIntervalMs, now - (this.#startedAt ?? now))
  }
}
