/**
 * The report on late answers from gateways' logs. For each route and each second it counts late answers by what took
 * most of their time, and requests that got no complete answer. Answers in time are sampled in the logs, so they are
 * not counted. Pure functions.
 */
import { countByName } from './counts.js'
import { type LogLine } from './explain.js'

/** The causes of late answers, in the order of the columns: the values of `late` in `request-ended`. */
export const lateCauses = ['waiting', 'attempts', 'first', 'resume', 'pause'] as const

/**
 * Outcomes of requests without a complete answer, in the order of the columns: the first word of `outcome` in
 * `request-ended`.
 */
export const failureOutcomes = ['busy', 'no-replica', 'upstream-down', 'lost', 'cut', 'deadline', 'caller', 'stalled'] as const

/** The counts of one route or one second. */
export interface LateRow {
  /** The route, or the time as in the logs, cut to the second. */
  readonly of: string
  readonly late: Readonly<Record<typeof lateCauses[number], number>>
  readonly failed: Readonly<Record<typeof failureOutcomes[number], number>>
}

/** Length in characters of a time cut to the second, such as `2026-12-02T10:00:01`. */
const secondLength = 19

/** One row for each route, ordered by name. */
export function lateByRoute (lines: readonly LogLine[]): LateRow[] {
  return rows(lines, line => String(line.route))
}

/** One row for each second in which a logged request ended, in order of time. */
export function lateBySecond (lines: readonly LogLine[]): LateRow[] {
  return rows(lines, line => line.time.slice(0, secondLength))
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
    late: countByName(lateCauses, each => group.filter(line => line.late === each && isAnswered(line)).length),
    failed: countByName(failureOutcomes, each => group.filter(line => outcomeOf(line) === each).length)
  }))
}

function outcomeOf ({ outcome }: LogLine): string {
  return String(outcome).split(' ')[0]
}

function isAnswered (line: LogLine): boolean {
  return outcomeOf(line) === 'answered'
}
