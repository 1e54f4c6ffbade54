/**
 * What teams were served lately, and whether one is above its share. Owns its sums, in memory only.
 * Times are on `Clock.now`, in ms; work is in units of the mean request of its service.
 */
import { DecayingSums, countedTime } from './decaying.js'
import { UsualDemand } from './usual.js'

/** Half-life of what was served, in ms: longer than callers of a stream wait (6 to 8 s), so that a surge counts until its callers have given up. */
const halfLife = 10_000

/** Weight that each team has at least, as a part of the mean weight: one that seldom asks is served at once all the same. */
const leastWeight = 0.25

/** A team is above its share only by more than chance gives: this many standard deviations of a count of that size. */
const chance = 2

/** Work served lately, by team, and what teams usually ask for. */
export class TeamUsage {
  readonly #served: DecayingSums<string>
  readonly #kinds: DecayingSums<string>
  readonly #usual: UsualDemand
  #since: number | undefined

  constructor (served = new DecayingSums<string>(halfLife), kinds = new DecayingSums<string>(halfLife), usual = new UsualDemand(), since?: number) {
    this.#served = served
    this.#kinds = kinds
    this.#usual = usual
    this.#since = since
  }

  /** Counts a request that came, whether it is served or not. Where none is counted, all teams weigh the same. */
  asked (team: string, work: number, now: number): void {
    this.#usual.asked(team, work, now)
  }

  /** Counts a request that was served. @param kind of requests, each of which has a part of the room */
  served (team: string, work: number, now: number, kind?: string): void {
    this.#since ??= now
    this.#served.add(team, work, now)
    if (kind !== undefined) this.#kinds.add(kind, work, now)
  }

  /** Work that a team was served lately. */
  of (team: string, now: number): number {
    return this.#served.of(team, now)
  }

  /** The part that a kind of requests had of all that was served lately; undefined where nothing was. */
  partOf (kind: string, now: number): number | undefined {
    const total = this.#kinds.total(now)
    return total === 0 ? undefined : this.#kinds.of(kind, now) / total
  }

  /** Weight of a team, by what it usually asks for; the mean weight is 1. */
  weight (team: string): number {
    const relative = this.#usual.relative(team)
    return relative === undefined ? 1 : (1 - leastWeight) * relative + leastWeight
  }

  /** Work that a team was served lately, for its weight. */
  relative (team: string, now: number): number {
    return this.of(team, now) / this.weight(team)
  }

  /** Whether a team was served more than its share of the room and also more than it usually asks for. */
  isAbove (team: string, now: number): boolean {
    const fair = this.#served.total(now) * this.weight(team) / Math.max(this.#served.size, 1)
    const usual = this.#usual.rate(team) * countedTime(halfLife, now - (this.#since ?? now))
    const share = Math.max(fair, usual)
    return this.of(team, now) > share + chance * Math.sqrt(share) + 1
  }

  /** The teams that are above their share. */
  above (now: number): string[] {
    return this.#served.names.filter(team => this.isAbove(team, now))
  }

  /** A copy that counts what is served for itself. */
  copy (): TeamUsage {
    return new TeamUsage(this.#served.copy(), this.#kinds.copy(), this.#usual, this.#since)
  }
}
