/**
 * The rates at which groups of requests get places while some of each group always wait. A group is the requests that
 * differ only in time: same team, priority and retry state. Owns these rates. Times are on `Clock.now`, in ms.
 * While some of a group always wait, its rate is not limited by the group's own demand. The next requests of the
 * group can therefore expect the same rate, even if later arrivals overtake them.
 */
import { Rate } from './rate.js'

/** How long a group must have waited until its rate is known, and the longest gap within such a wait, in ms. */
const minBacklogTime = 500
const maxGap = 100

interface Backlog {
  /** The rate of the places that the group got since `since`. */
  rate: Rate
  since: number
  lastWaitedAt: number
}

/** The waiting groups of one room. */
export class Backlogs {
  readonly #groups = new Map<string, Backlog>()

  /** Records which groups wait now. */
  recordWaiting (groups: Iterable<string>, now: number): void {
    for (const group of groups) {
      const known = this.#groups.get(group)
      if (known !== undefined && now - known.lastWaitedAt <= maxGap) known.lastWaitedAt = now
      else this.#groups.set(group, { rate: new Rate(), since: now, lastWaitedAt: now })
    }
  }

  /** Counts a place that was granted to a request of a group. */
  recordGrant (group: string, now: number): void {
    this.#groups.get(group)?.rate.add(now)
  }

  /** Places per second that a group gets; undefined if it has not always waited recently. */
  rate (group: string, now: number): number | undefined {
    const known = this.#groups.get(group)
    if (known === undefined || now - known.lastWaitedAt > maxGap || now - known.since < minBacklogTime) return undefined
    return known.rate.at(now) ?? 0
  }

  /** Removes the groups that no longer wait. */
  forget (now: number): void {
    for (const [group, { lastWaitedAt }] of this.#groups) if (now - lastWaitedAt > maxGap) this.#groups.delete(group)
  }
}
