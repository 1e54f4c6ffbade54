/**
 * What teams were served lately, and what they usually ask for: by both, whether a team is above its share. Owns its sums, in memory only.
 * Times are on `Clock.now`, in ms; work is in units of the mean request of its service.
 */
import { DecayingSums } from './decaying.js'

/** Half-life of what was served, in ms: longer than callers of a stream wait (6 to 8 s), so that a surge counts until its callers have given up. */
const servedHalfLife = 10_000

/** Half-life of what is usual, in ms: a surge of a minute changes it little, and a team that grows has its new share within some of these. */
const usualHalfLife = 600_000

/** Weight that each team has at least, as a part of the mean weight: one that seldom asks is served at once all the same. */
const leastWeight = 0.25

/** A team is above its share only by more than chance gives: this many standard deviations of a count of that size. */
const chance = 2

/** Work served lately, by team, and what teams usually ask for. */
export class TeamUsage {
  readonly #served: DecayingSums<string>
  readonly #asked: DecayingSums<string>
  readonly #kinds: DecayingSums<string>
  #since: number | undefined

  constructor (served = new DecayingSums<string>(servedHalfLife), asked = new DecayingSums<string>(usualHalfLife), kinds = new DecayingSums<string>(servedHalfLife)) {
    this.#served = served
    this.#asked = asked
    this.#kinds = kinds
  }

  /** Counts a request that came, whether it is served or not. Where none is counted, all teams weigh the same. */
  asked (team: string, work: number, now: number): void {
    this.#since ??= now
    this.#asked.add(team, work, now)
  }

  /** Counts a request that was served. @param kind of requests, each of which has a part of the room */
  served (team: string, work: number, now: number, kind?: string): void {
    this.#served.add(team, work, now)
    if (kind !== undefined) this.#kinds.add(kind, work, now)
  }

  /** Work that a team was served lately. */
  of (team: string, now: number): number {
    return this.#served.of(team, now)
  }

  /** The part that a kind of requests had of all that was served lately; 1 where nothing was. */
  partOf (kind: string, now: number): number {
    const total = this.#kinds.total(now)
    return total === 0 ? 1 : this.#kinds.of(kind, now) / total
  }

  /** Weight of a team: its part of what is usually asked for; the mean weight is 1. */
  weight (team: string, now: number): number {
    const total = this.#asked.total(now)
    if (total === 0) return 1
    const relative = this.#asked.of(team, now) * this.#asked.size / total
    return (1 - leastWeight) * relative + leastWeight
  }

  /** Work that a team was served lately, for its weight. */
  relative (team: string, now: number): number {
    return this.of(team, now) / this.weight(team, now)
  }

  /** Whether a team was served more than its share of the room and also more than it usually asks for. */
  isAbove (team: string, now: number): boolean {
    const served = this.of(team, now)
    const share = Math.max(this.#fair(team, now), this.#usual(team, now))
    return served > share + chance * Math.sqrt(share) + 1
  }

  copy (): TeamUsage {
    const copy = new TeamUsage(this.#served.copy(), this.#asked.copy(), this.#kinds.copy())
    copy.#since = this.#since
    return copy
  }

  /** Its part, by weight, of all that was served lately. */
  #fair (team: string, now: number): number {
    const teams = Math.max(this.#served.size, this.#asked.size, 1)
    return this.#served.total(now) * this.weight(team, now) / teams
  }

  /** What it usually asks for in the time over which what was served counts. */
  #usual (team: string, now: number): number {
    const time = now - (this.#since ?? now)
    return time <= 0 ? 0 : this.#asked.of(team, now) * countedTime(servedHalfLife, time) / countedTime(usualHalfLife, time)
  }
}

/** The time over which a decaying sum counts that began so long ago. */
function countedTime (halfLife: number, time: number): number {
  return halfLife / Math.LN2 * (1 - 2 ** (-time / halfLife))
}
