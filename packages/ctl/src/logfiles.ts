/** Reads gateways' log files for the commands that work on logs. */
import { readFileSync } from 'node:fs'
import { readLine, type LogLine } from './explain.js'
import { type Print } from './session.js'

/** Reads all events of the files. If a file cannot be read, prints an error and returns undefined. */
export function readLogs (files: readonly string[], error: Print): LogLine[] | undefined {
  const lines: LogLine[] = []
  for (const file of files) {
    try {
      lines.push(...readFileSync(file, 'utf8').split('\n').map(readLine).filter(each => each !== undefined))
    } catch (failure) {
      error(`${file} cannot be read (${(failure as { code?: string }).code ?? 'unknown'}). Give the path of a log.`)
      return undefined
    }
  }
  return lines
}
