/**
 * The account of capacity from gateways' logs: for each second, how many engines did what, and how many requests were refused for
 * lack of room. Pure: lines in, rows out. Where requests are refused while engines are idle, forming or broken, time was lost by
 * decisions or orders; where none is, engines were missing.
 */
import { counts } from './counts.js'
import { type LogLine } from './explain.js'

/** What engines do, in the order of the columns: the fields of `engines-surveyed`. */
export const engineWork = ['serving', 'forming', 'broken', 'loading', 'empty', 'idle', 'unlisted', 'missing', 'evacuated'] as const

/** Outcomes of requests that found no room, in the order of the columns: the beginnings of `outcome` in `request-ended`. */
export const lacking = ['busy', 'no-replica', 'upstream-down'] as const

/** One second of the account. */
export interface Second {
  /** As the logs write it, to the second. */
  readonly time: string
  /** Engines by what they did, over all domains that were reported on in this second. */
  readonly engines: Readonly<Record<typeof engineWork[number], number>>
  /** Requests that ended in this second because they found no room. */
  readonly refused: Readonly<Record<typeof lacking[number], number>>
}

/** Length of a time to the second, such as `2026-12-02T10:00:01`. */
const toSecond = 19

/** The seconds in which anything was reported, in order. */
export function capacity (lines: readonly LogLine[]): Second[] {
  const bySecond = new Map<string, LogLine[]>()
  for (const line of lines) {
    if (line.name !== 'engines-surveyed' && line.name !== 'request-ended') continue
    const time = line.time.slice(0, toSecond)
    bySecond.set(time, [...bySecond.get(time) ?? [], line])
  }
  return [...bySecond].sort(([a], [b]) => a < b ? -1 : 1).map(([time, lines]) => second(time, lines))
}

function second (time: string, lines: readonly LogLine[]): Second {
  // Two planners may report on one domain while one hands over to the other: the later report counts.
  const surveys = new Map(lines.filter(each => each.name === 'engines-surveyed').map(each => [each.domain, each]))
  const outcomes = lines.flatMap(each => typeof each.outcome === 'string' ? [each.outcome.split(' ')[0]] : [])
  return {
    time,
    engines: counts(engineWork, work => [...surveys.values()].reduce((sum, each) => sum + Number(each[work] ?? 0), 0)),
    refused: counts(lacking, code => outcomes.filter(each => each === code).length)
  }
}
