/** Reads the resource usage of a process from /proc (Linux only), and runs a task at a steady rate to load it. */
import { readFileSync } from 'node:fs'

/** Clock ticks per second in /proc: 100 on every Linux in use (proc(5)). */
const ticksPerS = 100

/** Processor time that a process has used, in ms. */
export function processorTime (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  const [user, system] = [Number(fields[11]), Number(fields[12])]
  return (user + system) * 1000 / ticksPerS
}

/** Resident memory of a process, in KiB. */
export function residentMemory (pid: number): number {
  const line = readFileSync(`/proc/${pid}/status`, 'utf8').split('\n').find(each => each.startsWith('VmRSS:')) ?? ''
  return Number(/\d+/.exec(line)?.[0])
}

/** Waits for `span` ms. */
export function pause (span: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, span))
}

/** Starts `task` `rate` times per second for `span` ms. Returns how often it was started. Runs may overlap. */
export async function atRate (rate: number, span: number, task: (index: number) => Promise<unknown>): Promise<number> {
  const startedAt = performance.now()
  const open = new Set<Promise<unknown>>()
  let done = 0
  while (performance.now() - startedAt < span) {
    const due = Math.floor((performance.now() - startedAt) / 1000 * rate)
    while (done < due) {
      // Failed calls count too: the measured process also spends time on them, and the figures are per call made.
      const each = task(done++).catch(() => {}).finally(() => open.delete(each))
      open.add(each)
    }
    await pause(2)
  }
  await Promise.all(open)
  return done
}
