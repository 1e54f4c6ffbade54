/** `eiderwindctl explain`: reads log files, prints the explanation as text or JSON, and gives the exit status. */
import { explain, type LogLine } from './explain.js'
import { readLogs } from './logfiles.js'
import { type Print } from './session.js'
import { statuses } from './usage.js'

/** What `explain` is called with. */
export interface Question {
  readonly id: string
  readonly files: readonly string[]
  readonly json: boolean
}

/** Prints the lines about an id and the cause. Returns the exit status: bad usage where a file cannot be read. */
export function explainFiles ({ id, files, json }: Question, { out, error }: { readonly out: Print, readonly error: Print }): number {
  const lines = readLogs(files, error)
  if (lines === undefined) return statuses.usage
  const { story, cause } = explain(lines, id)
  if (json) out(JSON.stringify({ id, cause, story }))
  else {
    for (const line of story) out(plain(line))
    out(cause)
  }
  return statuses.ok
}

function plain ({ time, event: _event, name, level: _level, node, ...fields }: LogLine): string {
  const rest = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`).join(' ')
  return `${time} ${node ?? ''} ${name} ${rest}`
}
