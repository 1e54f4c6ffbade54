/**
 * The account of lateness from gateways' logs: for each route and for each second, how many answers were late and what they lost most of
 * their time to, and how many requests got none. Pure: lines in, rows out. Answers in time are sampled in the logs, so they are not counted.
 */
import { counts } from './counts.js'
import { type LogLine } from './explain.js'

/** What made answers late, in the order of the columns: the values of `late` in `request-ended`. */
export const latenesses = ['waiting', 'attempts', 'first', 'resume', 'pause'] as const

/** Endings of requests that got no whole answer, in the order of the columns: the beginnings of `outcome` in `request-ended`. */
export const failures = ['busy', 'no-replica', 'upstream-down', 'lost', 'cut', 'deadline', 'caller', 'stalled'] as const

/** One row of the account: what happened on a route, or within a second. */
export interface LateRow {
  /** The route, or the second as the logs write it. */
  readonly of: string
  readonly late: Readonly<Record<typeof latenesses[number], number>>
  readonly failed: Readonly<Record<typeof failures[number], number>>
}

/** Length of a time to the second, such as `2026-12-02T10:00:01`. */
const toSecond = 19

/** The rows of all routes, by name. */
export function lateByRoute (lines: readonly LogLine[]): LateRow[] {
  return rows(lines, line => String(line.route))
}

/** The rows of the seconds in which any request of a line ended, in order. */
export function lateBySecond (lines: readonly LogLine[]): LateRow[] {
  return rows(lines, line => line.time.slice(0, toSecond))
}

function rows (lines: readonly LogLine[], keyOf: (line: LogLine) => string): LateRow[] {
  const groups = new Map<string, LogLine[]>()
  for (const line of lines) {
    if (line.name !== 'request-ended') continue
    const key = keyOf(line)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [line])
    else group.push(line)
  }
  return [...groups].sort(([a], [b]) => a < b ? -1 : 1).map(([of, group]) => ({
    of,
    late: counts(latenesses, each => group.filter(line => line.late === each && isAnswered(line)).length),
    failed: counts(failures, each => group.filter(line => outcomeOf(line) === each).length)
  }))
}

function outcomeOf ({ outcome }: LogLine): string {
  return String(outcome).split(' ')[0]
}

function isAnswered (line: LogLine): boolean {
  return outcomeOf(line) === 'answered'
}
