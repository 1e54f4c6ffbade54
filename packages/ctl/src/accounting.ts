/** `eiderwindctl capacity`, `late` and `expected`: read log files, print an account of them as text or JSON, and give the exit status. */
import { capacity, engineWork, lacking, type Second } from './capacity.js'
import { expectedErrors, type ErrorRow } from './expected.js'
import { failures, lateByRoute, lateBySecond, latenesses, type LateRow } from './late.js'
import { readLogs } from './logfiles.js'
import { type Print } from './session.js'
import { statuses } from './usage.js'

/** What a command is called with. */
export interface AccountOptions {
  readonly files: readonly string[]
  readonly json: boolean
}

/** Prints one row for each second. Returns the exit status: bad usage where a file cannot be read. */
export function accountFiles ({ files, json }: AccountOptions, { out, error }: { readonly out: Print, readonly error: Print }): number {
  const lines = readLogs(files, error)
  if (lines === undefined) return statuses.usage
  if (!json) out(['second'.padEnd(columnTime), ...[...engineWork, ...lacking].map(name => name.padStart(columnWidth))].join(''))
  for (const each of capacity(lines)) out(json ? JSON.stringify(each) : row(each))
  return statuses.ok
}

/** Prints late answers and failures by route, then by second. Returns the exit status: bad usage where a file cannot be read. */
export function lateFiles ({ files, json }: AccountOptions, { out, error }: { readonly out: Print, readonly error: Print }): number {
  const lines = readLogs(files, error)
  if (lines === undefined) return statuses.usage
  for (const [title, rows] of [['route', lateByRoute(lines)], ['second', lateBySecond(lines)]] as const) {
    if (!json) out([title.padEnd(columnTime), ...[...latenesses, ...failures].map(name => name.padStart(columnWidth))].join(''))
    for (const each of rows) out(json ? JSON.stringify({ by: title, ...each }) : lateRow(each))
  }
  return statuses.ok
}

/** Prints how far off expected first events were, by what the expectation rested on. Returns the exit status: bad usage where a file cannot be read. */
export function expectedFiles ({ files, json }: AccountOptions, { out, error }: { readonly out: Print, readonly error: Print }): number {
  const lines = readLogs(files, error)
  if (lines === undefined) return statuses.usage
  if (!json) out(['by'.padEnd(columnTime), 'of'.padEnd(columnTime), ...errorColumns.map(name => name.padStart(columnWidth))].join(''))
  for (const each of expectedErrors(lines)) out(json ? JSON.stringify(each) : errorRow(each))
  return statuses.ok
}

/** The columns of errors, in ms but for the first. */
const errorColumns = ['requests', 'bias', 'median', 'nineTenths', 'largest'] as const

function errorRow (each: ErrorRow): string {
  return [each.by.padEnd(columnTime), each.of.padEnd(columnTime), ...errorColumns.map(name => String(each[name]).padStart(columnWidth))].join('')
}

function lateRow ({ of, late, failed }: LateRow): string {
  const cells = [...latenesses.map(each => late[each]), ...failures.map(each => failed[each])]
  return [of.padEnd(columnTime), ...cells.map(each => String(each).padStart(columnWidth))].join('')
}

/** Widths of the columns, in characters. */
const columnTime = 20
const columnWidth = 14

function row ({ time, engines, refused }: Second): string {
  const cells = [...engineWork.map(each => engines[each]), ...lacking.map(each => refused[each])]
  return [time.padEnd(columnTime), ...cells.map(each => String(each).padStart(columnWidth))].join('')
}
