/**
 * Decides which waiting request gets the next place, that is, the right to send one request to a head. Pure; relies on
 * `TeamUsage` for the recent usage.
 *
 * The order matters when the load exceeds the room: on a surge of one team, when callers retry after a refusal, or when
 * urgent and less urgent requests compete.
 */
import { type TeamUsage } from './usage.js'

/** A request that waits for room. Times are on `Clock.now`, in ms. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Empty if callers need no key. */
  readonly team: string
  /** The cost of the request, in units of the mean request of its service. 1 if unknown. */
  readonly work: number
  readonly arrivedAt: number
  /** The latest start at which its first event is still in time. */
  readonly inTimeUntil: number
  /** The end of its wait. */
  readonly until: number
  /** Whether its caller was refused before and retries. */
  readonly again?: boolean
  /** Whether its caller retries before the time in `Retry-After`. */
  readonly early?: boolean
}

/**
 * Minimum share of each kind of requests in the recent usage, as a part of the kind's share of the waiting requests. A
 * kind below it is served first, so that the order cannot starve a kind completely.
 */
export const minShare = 0.05

/** The values by which the rules order a request. Computed once per decision. */
export interface SortKey<Each> {
  readonly request: Each
  readonly early: boolean
  readonly aboveShare: boolean
  readonly late: boolean
  /** Recent usage of its team, divided by the weight of the team. */
  readonly weightedUsage: number
}

/** Why a request is served after another one. The values appear in log fields and metric labels. */
export type Rule = 'came back early' | 'team above its share' | 'late' | 'less urgent' | 'came back' | 'team was served more' | 'more time left' | 'came later'

/** The rules by precedence: the first rule by which two requests differ decides. Negative: `a` is served first. */
const rules: ReadonlyArray<readonly [Rule, (a: SortKey<WaitingRequest>, b: SortKey<WaitingRequest>) => number]> = [
  ['came back early', (a, b) => Number(a.early) - Number(b.early)],
  ['team above its share', (a, b) => Number(a.aboveShare) - Number(b.aboveShare)],
  ['late', (a, b) => Number(a.late) - Number(b.late)],
  ['less urgent', (a, b) => a.request.priority - b.request.priority],
  ['came back', (a, b) => Number(a.request.again === true) - Number(b.request.again === true)],
  ['team was served more', (a, b) => a.weightedUsage - b.weightedUsage],
  ['more time left', (a, b) => a.request.inTimeUntil - b.request.inTimeUntil],
  ['came later', (a, b) => a.request.arrivedAt - b.request.arrivedAt]
]

/** The request that gets the next place: the first of a starved kind, otherwise the first in order. */
export function nextServed<Each extends WaitingRequest> (waiting: readonly Each[], usage: TeamUsage, now: number): Each | undefined {
  const keys = sortKeys(waiting, usage, now)
  const candidates = starved(keys, usage, now) ?? keys
  return candidates.length === 0 ? undefined : candidates.reduce((first, each) => compare(each, first) < 0 ? each : first).request
}

/** All waiting requests in the order in which they get places. The order holds until one of them is served. */
export function servingOrder<Each extends WaitingRequest> (waiting: readonly Each[], usage: TeamUsage, now: number): Each[] {
  const keys = sortKeys(waiting, usage, now).sort(compare)
  const first = starved(keys, usage, now) ?? []
  return [...new Set([...first, ...keys])].map(({ request }) => request)
}

/** Compares two waiting requests: negative if `a` is served first, 0 if no rule distinguishes them. */
export function compareWaiting (a: WaitingRequest, b: WaitingRequest, usage: TeamUsage, now: number): number {
  return compare(sortKey(a, usage, now), sortKey(b, usage, now))
}

/** The rule by which a request is served after `ahead`. Undefined if it is not served after `ahead`. */
export function decidingRule (request: WaitingRequest, ahead: WaitingRequest, usage: TeamUsage, now: number): Rule | undefined {
  const a = sortKey(request, usage, now)
  const b = sortKey(ahead, usage, now)
  const deciding = rules.find(([, order]) => order(a, b) !== 0)
  return deciding !== undefined && deciding[1](a, b) > 0 ? deciding[0] : undefined
}

/** Whether the first event of a request can no longer be in time. */
export function isLate ({ inTimeUntil }: WaitingRequest, now: number): boolean {
  return inTimeUntil < now
}

/**
 * The kind of a request, for its minimum share of the room: its priority, and whether it is late, a retry or a first
 * attempt.
 */
export function kindOf (request: WaitingRequest, now: number): string {
  return `${request.priority} ${isLate(request, now) ? 'late' : request.again === true ? 'again' : 'first'}`
}

/** Compares two requests: negative if `a` is served first. */
export function compare (a: SortKey<WaitingRequest>, b: SortKey<WaitingRequest>): number {
  for (const [, order] of rules) {
    const difference = order(a, b)
    if (difference !== 0) return difference
  }
  return 0
}

/**
 * The sort keys of the requests whose wait has not ended. The parts that depend on the team are computed once per team.
 */
function sortKeys<Each extends WaitingRequest> (waiting: readonly Each[], usage: TeamUsage, now: number): Array<SortKey<Each>> {
  const teams = new Map<string, SortKey<Each>>()
  return waiting.filter(each => each.until >= now).map(request => {
    const known = teams.get(request.team)
    if (known !== undefined) return { ...known, request, early: request.early === true, late: isLate(request, now) }
    const made = sortKey(request, usage, now)
    teams.set(request.team, made)
    return made
  })
}

/** Computes the sort key of one request from the current usage of its team. For many requests use `sortKeys`. */
export function sortKey<Each extends WaitingRequest> (request: Each, usage: TeamUsage, now: number): SortKey<Each> {
  const { team, early } = request
  return { request, early: early === true, aboveShare: usage.isAboveShare(team, now), late: isLate(request, now), weightedUsage: usage.weightedUsage(team, now) }
}

/** The requests of a kind that got less than its minimum share of the room. Undefined if there is no such kind. */
function starved<Each extends WaitingRequest> (waiting: ReadonlyArray<SortKey<Each>>, usage: TeamUsage, now: number): Array<SortKey<Each>> | undefined {
  const kinds = new Map<string, Array<SortKey<Each>>>()
  for (const each of waiting) {
    const kind = kindOf(each.request, now)
    const ofKind = kinds.get(kind)
    if (ofKind === undefined) kinds.set(kind, [each])
    else ofKind.push(each)
  }
  for (const [kind, ofKind] of kinds) {
    if ((usage.shareOfKind(kind, now) ?? 1) < minShare * ofKind.length / waiting.length) return ofKind
  }
  return undefined
}
