/**
 * Which of the requests that wait gets the next place. Pure; relies on `TeamUsage` for what was served before.
 *
 * Answers loads above what there is room for: a surge of one team, callers who come back after a refusal, urgent and less urgent requests together.
 */
import { type TeamUsage } from './usage.js'

/** A request that waits for room. Times are on `Clock.now`, in ms. */
export interface Waiting {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Empty where callers need no key. */
  readonly team: string
  /** In units of the mean request of its service; 1 where it is not known. */
  readonly work: number
  readonly arrivedAt: number
  /** The latest start at which its first event still comes in time. */
  readonly inTimeUntil: number
  /** When it waits no longer. */
  readonly until: number
  /** Whether its caller was refused before and came back. */
  readonly again?: boolean
  /** Whether its caller came back sooner than it was told to. */
  readonly early?: boolean
}

/** Part of the room that each kind of requests has at least while some of it wait, of what it would have if nothing had an order. */
export const leastPart = 0.05

/** What the order of a request depends on, worked out once for a decision. */
export interface Standing<Each> {
  readonly request: Each
  readonly early: boolean
  readonly above: boolean
  readonly late: boolean
  /** What its team was served lately, for its weight. */
  readonly relative: number
}

/** Why a request goes after another one. */
export type Rule = 'came back early' | 'team above its share' | 'late' | 'less urgent' | 'came back' | 'team was served more' | 'more time left' | 'came later'

/** The rules, first to last: the first by which two requests differ decides. Negative: `a` goes first. */
const rules: ReadonlyArray<readonly [Rule, (a: Standing<Waiting>, b: Standing<Waiting>) => number]> = [
  ['came back early', (a, b) => Number(a.early) - Number(b.early)],
  ['team above its share', (a, b) => Number(a.above) - Number(b.above)],
  ['late', (a, b) => Number(a.late) - Number(b.late)],
  ['less urgent', (a, b) => a.request.priority - b.request.priority],
  ['came back', (a, b) => Number(a.request.again === true) - Number(b.request.again === true)],
  ['team was served more', (a, b) => a.relative - b.relative],
  ['more time left', (a, b) => a.request.inTimeUntil - b.request.inTimeUntil],
  ['came later', (a, b) => a.request.arrivedAt - b.request.arrivedAt]
]

/** The one that gets the next place: of a kind that had too little, else the first in order. */
export function nextServed<Each extends Waiting> (waiting: readonly Each[], usage: TeamUsage, now: number): Each | undefined {
  const present = standings(waiting, usage, now)
  const among = neglected(present, usage, now) ?? present
  return among.length === 0 ? undefined : among.reduce((first, each) => compare(each, first) < 0 ? each : first).request
}

/** All that wait, in the order in which they get places as long as none was served. */
export function servingOrder<Each extends Waiting> (waiting: readonly Each[], usage: TeamUsage, now: number): Each[] {
  const present = standings(waiting, usage, now).sort(compare)
  const before = neglected(present, usage, now) ?? []
  return [...new Set([...before, ...present])].map(({ request }) => request)
}

/** The order of two requests that wait: negative where `a` goes first, 0 where no rule tells them apart. */
export function compareWaiting (a: Waiting, b: Waiting, usage: TeamUsage, now: number): number {
  return compare(standing(a, usage, now), standing(b, usage, now))
}

/** The rule by which a request goes after another one; undefined where it does not. */
export function decidingRule (request: Waiting, ahead: Waiting, usage: TeamUsage, now: number): Rule | undefined {
  const a = standing(request, usage, now)
  const b = standing(ahead, usage, now)
  const deciding = rules.find(([, order]) => order(a, b) !== 0)
  return deciding !== undefined && deciding[1](a, b) > 0 ? deciding[0] : undefined
}

/** Whether its first event cannot be in time any more. */
export function isLate ({ inTimeUntil }: Waiting, now: number): boolean {
  return inTimeUntil < now
}

/** The requests among which a part of the room is shared out: of one priority, late, come back in time, or first tries. */
export function kindOf (request: Waiting, now: number): string {
  return `${request.priority} ${isLate(request, now) ? 'late' : request.again === true ? 'again' : 'first'}`
}

/** The order of two requests: negative where `a` goes first. */
export function compare (a: Standing<Waiting>, b: Standing<Waiting>): number {
  for (const [, order] of rules) {
    const difference = order(a, b)
    if (difference !== 0) return difference
  }
  return 0
}

/** Those that still wait. */
function standings<Each extends Waiting> (waiting: readonly Each[], usage: TeamUsage, now: number): Array<Standing<Each>> {
  const teams = new Map<string, Standing<Each>>()
  return waiting.filter(each => each.until >= now).map(request => {
    const known = teams.get(request.team)
    if (known !== undefined) return { ...known, request, early: request.early === true, late: isLate(request, now) }
    const made = standing(request, usage, now)
    teams.set(request.team, made)
    return made
  })
}

/** What the order of a request depends on. */
export function standing<Each extends Waiting> (request: Each, usage: TeamUsage, now: number): Standing<Each> {
  const { team, early } = request
  return { request, early: early === true, above: usage.isAbove(team, now), late: isLate(request, now), relative: usage.relative(team, now) }
}

/** Those of a kind that had less than its least part of the room, where there is one. */
function neglected<Each extends Waiting> (waiting: ReadonlyArray<Standing<Each>>, usage: TeamUsage, now: number): Array<Standing<Each>> | undefined {
  const kinds = new Map<string, Array<Standing<Each>>>()
  for (const each of waiting) {
    const kind = kindOf(each.request, now)
    const of = kinds.get(kind)
    if (of === undefined) kinds.set(kind, [each])
    else of.push(each)
  }
  for (const [kind, of] of kinds) {
    if ((usage.partOf(kind, now) ?? 1) < leastPart * of.length / waiting.length) return of
  }
  return undefined
}
