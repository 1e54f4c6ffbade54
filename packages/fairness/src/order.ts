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
  /** Whether its caller came back sooner than it was told to. */
  readonly early?: boolean
}

/** Part of the room that each kind of requests has at least while some of it wait, of what it would have if nothing had an order. */
const leastPart = 0.1

/** The one that gets the next place: of a kind that had too little, else the first in order. */
export function nextServed<Each extends Waiting> (waiting: readonly Each[], usage: TeamUsage, now: number): Each | undefined {
  const present = waiting.filter(each => each.until >= now)
  return first(neglected(present, usage, now), usage, now) ?? first(present, usage, now)
}

/** Whether its first event cannot be in time any more. */
export function isLate ({ inTimeUntil }: Waiting, now: number): boolean {
  return inTimeUntil < now
}

/** The requests among which a part of the room is shared out: of one priority, in time or not. */
export function kindOf (request: Waiting, now: number): string {
  return `${request.priority} ${isLate(request, now) ? 'late' : 'in time'}`
}

/**
 * The order of two requests that wait: negative where `a` goes first. A team above its share goes after all others, one that is late after all in time; then the
 * more urgent, the team that was served less for its weight, the one that has less time left, the one that came first.
 */
export function compareWaiting (a: Waiting, b: Waiting, usage: TeamUsage, now: number): number {
  return Number(a.early === true) - Number(b.early === true) ||
    Number(usage.isAbove(a.team, now)) - Number(usage.isAbove(b.team, now)) ||
    Number(isLate(a, now)) - Number(isLate(b, now)) ||
    a.priority - b.priority ||
    usage.relative(a.team, now) - usage.relative(b.team, now) ||
    a.inTimeUntil - b.inTimeUntil ||
    a.arrivedAt - b.arrivedAt
}

function first<Each extends Waiting> (waiting: readonly Each[], usage: TeamUsage, now: number): Each | undefined {
  let first: Each | undefined
  for (const each of waiting) {
    if (first === undefined || compareWaiting(each, first, usage, now) < 0) first = each
  }
  return first
}

/** Those of a kind that had less than its least part of the room. */
function neglected<Each extends Waiting> (waiting: readonly Each[], usage: TeamUsage, now: number): Each[] {
  const counts = new Map<string, number>()
  for (const each of waiting) counts.set(kindOf(each, now), (counts.get(kindOf(each, now)) ?? 0) + 1)
  for (const [kind, count] of counts) {
    if (usage.partOf(kind, now) < leastPart * count / waiting.length) return waiting.filter(each => kindOf(each, now) === kind)
  }
  return []
}
