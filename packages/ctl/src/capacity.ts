/**
 * The capacity report from gateways' logs. For each second it counts the engines in each state and the requests that
 * were refused for lack of room. If requests were refused while engines were idle, forming or broken, the planner's
 * decisions or orders took too long; if no engine was in these states, there were too few engines. Pure functions.
 */
import { countByName } from './counts.js'
import { type LogLine } from './explain.js'

/** The states of engines, in the order of the columns. They are the fields of the log event `engines-surveyed`. */
export const engineStates = ['serving', 'forming', 'broken', 'loading', 'empty', 'idle', 'unlisted', 'missing', 'evacuated'] as const

/**
 * Outcomes of requests that found no room, in the order of the columns: the first word of `outcome` in
 * `request-ended`.
 */
export const noRoomOutcomes = ['busy', 'no-replica', 'upstream-down'] as const

/** The row of one second. */
export interface CapacityRow {
  /** Time as in the logs, cut to the second. */
  readonly time: string
  /** Engines by state, summed over all domains that were surveyed in this second. */
  readonly engines: Readonly<Record<typeof engineStates[number], number>>
  /** Requests that ended in this second because they found no room. */
  readonly refused: Readonly<Record<typeof noRoomOutcomes[number], number>>
}

/** Length in characters of a time cut to the second, such as `2026-12-02T10:00:01`. */
const secondLength = 19

/** The rows of all seconds with a survey or an ended request, in order of time. */
export function capacity (lines: readonly LogLine[]): CapacityRow[] {
  const bySecond = new Map<string, LogLine[]>()
  for (const line of lines) {
    if (line.name !== 'engines-surveyed' && line.name !== 'request-ended') continue
    const time = line.time.slice(0, secondLength)
    bySecond.set(time, [...bySecond.get(time) ?? [], line])
  }
  return [...bySecond].sort(([a], [b]) => a < b ? -1 : 1).map(([time, lines]) => rowOf(time, lines))
}

function rowOf (time: string, lines: readonly LogLine[]): CapacityRow {
  // Two planners may report on one domain during a handover. The later report counts.
  const surveys = new Map(lines.filter(each => each.name === 'engines-surveyed').map(each => [each.domain, each]))
  const outcomes = lines.flatMap(each => typeof each.outcome === 'string' ? [each.outcome.split(' ')[0]] : [])
  return {
    time,
    engines: countByName(engineStates, state => [...surveys.values()].reduce((sum, each) => sum + Number(each[state] ?? 0), 0)),
    refused: countByName(noRoomOutcomes, code => outcomes.filter(each => each === code).length)
  }
}
