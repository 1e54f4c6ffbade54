/** `eiderwindctl capacity`: reads log files, prints the account of capacity as text or JSON, and gives the exit status. */
import { capacity, engineWork, lacking, type Second } from './capacity.js'
import { readLogs } from './logfiles.js'
import { type Print } from './session.js'
import { statuses } from './usage.js'

/** What `capacity` is called with. */
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

/** Widths of the columns, in characters. */
const columnTime = 20
const columnWidth = 14

function row ({ time, engines, refused }: Second): string {
  const cells = [...engineWork.map(each => engines[each]), ...lacking.map(each => refused[each])]
  return [time.padEnd(columnTime), ...cells.map(each => String(each).padStart(columnWidth))].join('')
}
