/**
 * The requests that wait for places of one room. They are stored in sorted groups, so that finding the next request
 * reads one request of each kind and team instead of all. Several hundred requests wait where one gateway holds the
 * queue of a whole fleet under overload. Owns the waiting requests; `order.ts` decides their order.
 */
import { compare, isLate, kindOf, minShare, nextServed, sortKey, type SortKey, type WaitingRequest } from './order.js'
import { type TeamUsage } from './usage.js'

/** A request and its arrival number. Equal requests stay in the order of arrival. */
interface Entry<Each> {
  readonly request: Each
  readonly sequence: number
}

/** Requests that differ only in their times, sorted by the time left. Late requests therefore come first. */
type Group<Each> = Array<Entry<Each>>

/** The requests of a group that are of one kind now: the first of them and their number. */
interface Candidate<Each> {
  readonly kind: string
  readonly count: number
  readonly first: SortKey<Each>
  readonly sequence: number
}

const noneExcluded: ReadonlySet<never> = new Set<never>()

/** The waiting requests of one room. */
export class WaitingQueue<Each extends WaitingRequest> implements Iterable<Each> {
  readonly #groups = new Map<string, Group<Each>>()
  /** The arrival numbers of all waiting requests, in the order of arrival. */
  readonly #sequences = new Map<Each, number>()
  #sequence = 0
  /** Lower bound of `until` of all waiting requests. */
  #minUntil = Infinity

  constructor (waiting: Iterable<Each> = []) {
    for (const each of waiting) this.add(each)
  }

  get size (): number {
    return this.#sequences.size
  }

  has (request: Each): boolean {
    return this.#sequences.has(request)
  }

  /** The waiting requests in the order of arrival. */
  [Symbol.iterator] (): Iterator<Each> {
    return this.#sequences.keys()
  }

  /** The names of the groups that are not empty (`groupOf`). */
  get groups (): Iterable<string> {
    return this.#groups.keys()
  }

  /** The number of requests before a request within its group. */
  countBefore (request: Each): number {
    return this.#groups.get(groupOf(request))?.findIndex(each => each.request === request) ?? 0
  }

  add (request: Each): void {
    const entry = { request, sequence: ++this.#sequence }
    const key = groupOf(request)
    const group = this.#groups.get(key) ?? []
    this.#groups.set(key, group)
    group.splice(partitionPoint(group, each => compareTimes(each.request, request) <= 0), 0, entry)
    this.#sequences.set(request, entry.sequence)
    this.#minUntil = Math.min(this.#minUntil, request.until)
  }

  remove (request: Each): void {
    if (!this.#sequences.delete(request)) return
    const key = groupOf(request)
    const group = this.#groups.get(key) ?? []
    group.splice(group.findIndex(each => each.request === request), 1)
    if (group.length === 0) this.#groups.delete(key)
  }

  /** The earliest time at which a wait can end, on `Clock.now`, in ms. Infinity if no request waits. */
  get minUntil (): number {
    return this.size === 0 ? Infinity : this.#minUntil
  }

  /** Removes the requests whose wait has ended, and returns them. */
  takeExpired (now: number): Each[] {
    if (this.#minUntil >= now) return []
    const ended = [...this].filter(({ until }) => until < now)
    for (const each of ended) this.remove(each)
    this.#minUntil = [...this].reduce((first, { until }) => Math.min(first, until), Infinity)
    return ended
  }

  /**
   * The request that gets the next place, the same one that `nextServed` returns. Requests whose wait has ended must
   * have been removed before.
   * @param excluded requests that cannot use the place
   */
  next (usage: TeamUsage, now: number, excluded: ReadonlySet<Each> = noneExcluded): Each | undefined {
    if (excluded.size > 0) return nextServed([...this].filter(each => !excluded.has(each)), usage, now)
    const candidates = this.#candidates(usage, now)
    const starvedKinds = this.#starvedKinds(candidates, usage, now)
    if (starvedKinds.length > 1) return nextServed([...this], usage, now)
    const eligible = starvedKinds.length === 0 ? candidates : candidates.filter(({ kind }) => kind === starvedKinds[0])
    return eligible.length === 0 ? undefined : eligible.reduce((first, each) => compareCandidates(each, first) < 0 ? each : first).first.request
  }

  #candidates (usage: TeamUsage, now: number): Array<Candidate<Each>> {
    const candidates: Array<Candidate<Each>> = []
    const teams = new Map<string, SortKey<Each>>()
    const add = ({ request, sequence }: Entry<Each>, count: number): void => {
      const ofTeam = teams.get(request.team) ?? sortKey(request, usage, now)
      teams.set(request.team, ofTeam)
      candidates.push({ kind: kindOf(request, now), count, sequence, first: { ...ofTeam, request, early: request.early === true, late: isLate(request, now) } })
    }
    for (const group of this.#groups.values()) {
      const late = partitionPoint(group, ({ request }) => isLate(request, now))
      if (late > 0) add(group[0], late)
      if (late < group.length) add(group[late], group.length - late)
    }
    return candidates
  }

  /** The kinds that got less than their minimum share of the room. */
  #starvedKinds (candidates: ReadonlyArray<Candidate<Each>>, usage: TeamUsage, now: number): string[] {
    const counts = new Map<string, number>()
    for (const { kind, count } of candidates) counts.set(kind, (counts.get(kind) ?? 0) + count)
    return [...counts].filter(([kind, count]) => (usage.shareOfKind(kind, now) ?? 1) < minShare * count / this.size).map(([kind]) => kind)
  }
}

/** The name of a request's group. Requests of one group differ only in their times. */
export function groupOf ({ priority, team, again, early }: WaitingRequest): string {
  return `${priority} ${String(again === true)} ${String(early === true)} ${team}`
}

function compareTimes (a: WaitingRequest, b: WaitingRequest): number {
  return a.inTimeUntil - b.inTimeUntil || a.arrivedAt - b.arrivedAt
}

function compareCandidates<Each extends WaitingRequest> (a: Candidate<Each>, b: Candidate<Each>): number {
  return compare(a.first, b.first) || a.sequence - b.sequence
}

/** The length of the longest prefix whose items match a predicate. No item after that prefix may match. */
function partitionPoint<Each> (list: readonly Each[], matches: (each: Each) => boolean): number {
  let [low, high] = [0, list.length]
  while (low < high) {
    const middle = (low + high) >> 1
    if (matches(list[middle])) low = middle + 1
    else high = middle
  }
  return low
}
