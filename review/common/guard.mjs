/**
 * Ends what a script has started, however the script itself ends: also by SIGKILL, which lets it end nothing. Reads
 * lines from the script: `+PID` and `-PID` for a process that has started or ended, `/PATH` for its temporary folder.
 * Acts once its input is closed.
 */
import { rmSync } from 'node:fs'
import { createInterface } from 'node:readline'

const pids = new Set()
let folder

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => {})
createInterface({ input: process.stdin }).on('line', line => {
  if (line.startsWith('/')) folder = line
  else if (line.startsWith('+')) pids.add(Number(line.slice(1)))
  else pids.delete(Number(line.slice(1)))
}).on('close', () => {
  for (const pid of pids) {
    try {
      process.kill(pid, 'SIGKILL')
    } catch {
      // It has just ended.
    }
  }
  if (folder !== undefined) rmSync(folder, { recursive: true, force: true })
})
