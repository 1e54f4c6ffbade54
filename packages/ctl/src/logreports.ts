/**
 * The commands `eiderwindctl capacity`, `late` and `expected`. Each reads log files, prints a report as text or JSON
 * and returns the exit status: `statuses.usage` if a file cannot be read. `capacity.ts`, `late.ts` and `expected.ts`
 * compute the rows.
 */
import { capacity, engineStates, noRoomOutcomes, type CapacityRow } from './capacity.js'
import { expectedErrors, type ErrorRow } from './expected.js'
import { failureOutcomes, lateByRoute, lateBySecond, lateCauses, type LateRow } from './late.js'
import { readLogs } from './logfiles.js'
import { type Print } from './session.js'
import { statuses } from './usage.js'

/** Arguments of these commands. */
export interface ReportOptions {
  readonly files: readonly string[]
  readonly json: boolean
}

/** Prints one row for each second. Returns the exit status. */
export function printCapacity ({ files, json }: ReportOptions, { out, error }: { readonly out: Print, readonly error: Print }): number {
  const lines = readLogs(files, error)
  if (lines === undefined) return statuses.usage
  if (!json) out(['second'.padEnd(firstColumnWidth), ...[...engineStates, ...noRoomOutcomes].map(name => name.padStart(columnWidth))].join(''))
  for (const each of capacity(lines)) out(json ? JSON.stringify(each) : capacityRow(each))
  return statuses.ok
}

/** Prints late answers and failures by route, then by second. Returns the exit status. */
export function printLate ({ files, json }: ReportOptions, { out, error }: { readonly out: Print, readonly error: Print }): number {
  const lines = readLogs(files, error)
  if (lines === undefined) return statuses.usage
  for (const [title, rows] of [['route', lateByRoute(lines)], ['second', lateBySecond(lines)]] as const) {
    if (!json) out([title.padEnd(firstColumnWidth), ...[...lateCauses, ...failureOutcomes].map(name => name.padStart(columnWidth))].join(''))
    for (const each of rows) out(json ? JSON.stringify({ by: title, ...each }) : lateRow(each))
  }
  return statuses.ok
}

/** Prints the errors of the forecast times of first events, by the inputs of the forecast. Returns the exit status. */
export function printExpected ({ files, json }: ReportOptions, { out, error }: { readonly out: Print, readonly error: Print }): number {
  const lines = readLogs(files, error)
  if (lines === undefined) return statuses.usage
  if (!json) out(['by'.padEnd(firstColumnWidth), 'of'.padEnd(firstColumnWidth), ...errorColumns.map(name => name.padStart(columnWidth))].join(''))
  for (const each of expectedErrors(lines)) out(json ? JSON.stringify(each) : expectedRow(each))
  return statuses.ok
}

/** Columns of the forecast report. All are in ms except `requests`, which is a count. */
const errorColumns = ['requests', 'bias', 'median', 'nineTenths', 'largest'] as const

function expectedRow (each: ErrorRow): string {
  return [each.by.padEnd(firstColumnWidth), each.of.padEnd(firstColumnWidth), ...errorColumns.map(name => String(each[name]).padStart(columnWidth))].join('')
}

function lateRow ({ of, late, failed }: LateRow): string {
  const cells = [...lateCauses.map(each => late[each]), ...failureOutcomes.map(each => failed[each])]
  return [of.padEnd(firstColumnWidth), ...cells.map(each => String(each).padStart(columnWidth))].join('')
}

/** Widths of the columns, in characters. */
const firstColumnWidth = 20
const columnWidth = 14

function capacityRow ({ time, engines, refused }: CapacityRow): string {
  const cells = [...engineStates.map(each => engines[each]), ...noRoomOutcomes.map(each => refused[each])]
  return [time.padEnd(firstColumnWidth), ...cells.map(each => String(each).padStart(columnWidth))].join('')
}
