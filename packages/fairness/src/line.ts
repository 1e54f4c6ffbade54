/**
 * Requests that wait for places of one room, kept so that who is next is found by looking at one request of each kind of each team, not at all of them: several hundred
 * wait where one gateway keeps the queue of a whole fleet under overload. Owns who waits; who goes first is decided in `order.ts`.
 */
import { compare, isLate, kindOf, leastPart, nextServed, standing, type Standing, type Waiting } from './order.js'
import { type TeamUsage } from './usage.js'

/** A request and the number of its arrival here, by which equals keep their order. */
interface Entry<Each> {
  readonly request: Each
  readonly sequence: number
}

/** Requests among which only the time decides, the least time left first: so those that are late stand before the others. */
type Group<Each> = Array<Entry<Each>>

/** Requests of a group that are of one kind now, and the first of them. */
interface Part<Each> {
  readonly kind: string
  readonly count: number
  readonly first: Standing<Each>
  readonly sequence: number
}

const nobody: ReadonlySet<never> = new Set<never>()

/** Requests that wait. */
export class WaitingLine<Each extends Waiting> implements Iterable<Each> {
  readonly #groups = new Map<string, Group<Each>>()
  /** The numbers of all that wait, who came first in front. */
  readonly #sequences = new Map<Each, number>()
  #sequence = 0
  /** No request waits for a shorter time than until then. */
  #firstEnd = Infinity

  constructor (waiting: Iterable<Each> = []) {
    for (const each of waiting) this.add(each)
  }

  get size (): number {
    return this.#sequences.size
  }

  has (request: Each): boolean {
    return this.#sequences.has(request)
  }

  /** Those that wait, in the order in which they came. */
  [Symbol.iterator] (): Iterator<Each> {
    return this.#sequences.keys()
  }

  /** The groups of which some wait, as `groupOf` names them. */
  get groups (): Iterable<string> {
    return this.#groups.keys()
  }

  /** How many wait before one within its group. */
  before (request: Each): number {
    return this.#groups.get(groupOf(request))?.findIndex(each => each.request === request) ?? 0
  }

  add (request: Each): void {
    const entry = { request, sequence: ++this.#sequence }
    const key = groupOf(request)
    const group = this.#groups.get(key) ?? []
    this.#groups.set(key, group)
    group.splice(position(group, each => compareTimes(each.request, request) <= 0), 0, entry)
    this.#sequences.set(request, entry.sequence)
    this.#firstEnd = Math.min(this.#firstEnd, request.until)
  }

  remove (request: Each): void {
    if (!this.#sequences.delete(request)) return
    const key = groupOf(request)
    const group = this.#groups.get(key) ?? []
    group.splice(group.findIndex(each => each.request === request), 1)
    if (group.length === 0) this.#groups.delete(key)
  }

  /** Until when all wait, on `Clock.now`, in ms; Infinity where none does. */
  get firstEnd (): number {
    return this.size === 0 ? Infinity : this.#firstEnd
  }

  /** Removes those that wait no longer, and returns them. */
  takeEnded (now: number): Each[] {
    if (this.#firstEnd >= now) return []
    const ended = [...this].filter(({ until }) => until < now)
    for (const each of ended) this.remove(each)
    this.#firstEnd = [...this].reduce((first, { until }) => Math.min(first, until), Infinity)
    return ended
  }

  /** The one that gets the next place, as by `nextServed`; of those that wait no longer none must be left. @param besides those that cannot use that place */
  next (usage: TeamUsage, now: number, besides: ReadonlySet<Each> = nobody): Each | undefined {
    if (besides.size > 0) return nextServed([...this].filter(each => !besides.has(each)), usage, now)
    const parts = this.#parts(usage, now)
    const neglected = this.#neglected(parts, usage, now)
    if (neglected.length > 1) return nextServed([...this], usage, now)
    const among = neglected.length === 0 ? parts : parts.filter(({ kind }) => kind === neglected[0])
    return among.length === 0 ? undefined : among.reduce((first, each) => compareParts(each, first) < 0 ? each : first).first.request
  }

  #parts (usage: TeamUsage, now: number): Array<Part<Each>> {
    const parts: Array<Part<Each>> = []
    const teams = new Map<string, Standing<Each>>()
    const add = ({ request, sequence }: Entry<Each>, count: number): void => {
      const ofTeam = teams.get(request.team) ?? standing(request, usage, now)
      teams.set(request.team, ofTeam)
      parts.push({ kind: kindOf(request, now), count, sequence, first: { ...ofTeam, request, early: request.early === true, late: isLate(request, now) } })
    }
    for (const group of this.#groups.values()) {
      const late = position(group, ({ request }) => isLate(request, now))
      if (late > 0) add(group[0], late)
      if (late < group.length) add(group[late], group.length - late)
    }
    return parts
  }

  /** The kinds that had too little of the room. */
  #neglected (parts: ReadonlyArray<Part<Each>>, usage: TeamUsage, now: number): string[] {
    const counts = new Map<string, number>()
    for (const { kind, count } of parts) counts.set(kind, (counts.get(kind) ?? 0) + count)
    return [...counts].filter(([kind, count]) => (usage.partOf(kind, now) ?? 1) < leastPart * count / this.size).map(([kind]) => kind)
  }
}

/** The group of a request: only the time tells those of one group apart. */
export function groupOf ({ priority, team, again, early }: Waiting): string {
  return `${priority} ${String(again === true)} ${String(early === true)} ${team}`
}

function compareTimes (a: Waiting, b: Waiting): number {
  return a.inTimeUntil - b.inTimeUntil || a.arrivedAt - b.arrivedAt
}

function compareParts<Each extends Waiting> (a: Part<Each>, b: Part<Each>): number {
  return compare(a.first, b.first) || a.sequence - b.sequence
}

/** How many of a list, whose first ones fulfil a condition, do so. */
function position<Each> (list: readonly Each[], fulfils: (each: Each) => boolean): number {
  let [least, most] = [0, list.length]
  while (least < most) {
    const middle = (least + most) >> 1
    if (fulfils(list[middle])) least = middle + 1
    else most = middle
  }
  return least
}
