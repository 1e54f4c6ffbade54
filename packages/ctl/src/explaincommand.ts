/**
 * The command `eiderwindctl explain`. It reads log files, prints an explanation as text or JSON and returns the exit
 * status.
 */
import { explain, type LogLine } from './explain.js'
import { readLogs } from './logfiles.js'
import { type Print } from './session.js'
import { statuses } from './usage.js'

/** Arguments of `explain`. */
export interface ExplainOptions {
  readonly id: string
  readonly files: readonly string[]
  readonly json: boolean
}

/** Prints the lines about an id and the cause. Returns the exit status: `statuses.usage` if a file cannot be read. */
export function printExplanation ({ id, files, json }: ExplainOptions, { out, error }: { readonly out: Print, readonly error: Print }): number {
  const lines = readLogs(files, error)
  if (lines === undefined) return statuses.usage
  const { story, cause } = explain(lines, id)
  if (json) out(JSON.stringify({ id, cause, story }))
  else {
    for (const line of story) out(textLine(line))
    out(cause)
  }
  return statuses.ok
}

function textLine ({ time, event: _event, name, level: _level, node, ...fields }: LogLine): string {
  const rest = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`).join(' ')
  return `${time} ${node ?? ''} ${name} ${rest}`
}
