/**
 * The recent usage of each team, and whether a team is above its share. Owns its sums, in memory only; relies on
 * `BaselineDemand` for the weights. Times are on `Clock.now`, in ms. Work is in units of the mean request of its
 * service.
 */
import { DecayingSums, effectiveWindow } from './decaying.js'
import { BaselineDemand } from './baseline.js'

/**
 * Half-life of recent usage, in ms. It is longer than callers of a stream wait (6 to 8 s), so that a surge counts until
 * its callers have timed out.
 */
const halfLife = 10_000

/**
 * Minimum weight of a team, as a part of the mean weight. A team that rarely sends requests is still served at once.
 */
const minWeight = 0.25

/**
 * A team is above its share only if its usage exceeds the share by more than this many standard deviations of a count
 * of that size. Smaller differences may be due to chance.
 */
const toleratedDeviations = 2

/** Recent usage and usual demand by team. */
export class TeamUsage {
  readonly #served: DecayingSums<string>
  readonly #kinds: DecayingSums<string>
  readonly #demand: BaselineDemand
  #since: number | undefined

  constructor (served = new DecayingSums<string>(halfLife), kinds = new DecayingSums<string>(halfLife), demand = new BaselineDemand(), since?: number) {
    this.#served = served
    this.#kinds = kinds
    this.#demand = demand
    this.#since = since
  }

  /**
   * Counts an arriving request, whether it is served or not. Without counted requests all teams have the same weight.
   */
  recordRequest (team: string, work: number, now: number): void {
    this.#demand.add(team, work, now)
  }

  /**
   * Counts a served request.
   * @param kind the kind of the request (`kindOf`); each kind has a minimum share of the room
   */
  recordServed (team: string, work: number, now: number, kind?: string): void {
    this.#since ??= now
    this.#served.add(team, work, now)
    if (kind !== undefined) this.#kinds.add(kind, work, now)
  }

  /** Recent usage of a team. */
  servedTo (team: string, now: number): number {
    return this.#served.valueAt(team, now)
  }

  /** Share of a kind of requests in the recent usage of all kinds. Undefined if no request with a kind was served. */
  shareOfKind (kind: string, now: number): number | undefined {
    const total = this.#kinds.totalAt(now)
    return total === 0 ? undefined : this.#kinds.valueAt(kind, now) / total
  }

  /** Weight of a team, from its usual demand. The mean weight is 1. */
  weight (team: string): number {
    const relative = this.#demand.relative(team)
    return relative === undefined ? 1 : (1 - minWeight) * relative + minWeight
  }

  /** Recent usage of a team, divided by its weight. */
  weightedUsage (team: string, now: number): number {
    return this.servedTo(team, now) / this.weight(team)
  }

  /** Whether the recent usage of a team exceeds both its share of the room and its usual demand. */
  isAboveShare (team: string, now: number): boolean {
    const fair = this.#served.totalAt(now) * this.weight(team) / Math.max(this.#served.size, 1)
    const usual = this.#demand.rate(team) * effectiveWindow(halfLife, now - (this.#since ?? now))
    const share = Math.max(fair, usual)
    return this.servedTo(team, now) > share + toleratedDeviations * Math.sqrt(share) + 1
  }

  teamsAboveShare (now: number): string[] {
    return this.#served.names.filter(team => this.isAboveShare(team, now))
  }

  /** A copy with its own usage counts. The usual demand is shared with the original. */
  copy (): TeamUsage {
    return new TeamUsage(this.#served.copy(), this.#kinds.copy(), this.#demand, this.#since)
  }
}
