/**
 * What requests that only time tells apart (of one team, priority and return) get of the places of a room while some of them always wait. It is not they then who come too
 * seldom, so the next of them will get as much, whoever comes later and goes first. Owns these rates. Times are on `Clock.now`, in ms.
 */
import { Rate } from './rate.js'

/** How long some of them have to have waited until their rate is known, and up to which gap that counts as always. */
const leastTime = 500
const longestGap = 100

interface Backlog {
  /** Of the places given since some always wait. */
  rate: Rate
  since: number
  waitedAt: number
}

/** The groups of requests of one room that wait. */
export class Backlogs {
  readonly #groups = new Map<string, Backlog>()

  /** Takes which groups wait now. */
  look (groups: Iterable<string>, now: number): void {
    for (const group of groups) {
      const known = this.#groups.get(group)
      if (known !== undefined && now - known.waitedAt <= longestGap) known.waitedAt = now
      else this.#groups.set(group, { rate: new Rate(), since: now, waitedAt: now })
    }
  }

  /** Counts a place that was given to one of a group. */
  given (group: string, now: number): void {
    this.#groups.get(group)?.rate.add(now)
  }

  /** Places a second that a group gets; undefined where it has not always waited lately. */
  rate (group: string, now: number): number | undefined {
    const known = this.#groups.get(group)
    if (known === undefined || now - known.waitedAt > longestGap || now - known.since < leastTime) return undefined
    return known.rate.at(now) ?? 0
  }

  /** Forgets the groups that wait no more. */
  forget (now: number): void {
    for (const [group, { waitedAt }] of this.#groups) if (now - waitedAt > longestGap) this.#groups.delete(group)
  }
}
