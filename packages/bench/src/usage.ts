/** What a process uses, read from /proc (Linux only), and the load that the measurements put on it. */
import { readFileSync } from 'node:fs'

/** Clock ticks a second in /proc (proc(5); 100 on every Linux in use). */
const ticks = 100

/** Processor time that a process has used, in ms. */
export function processorTime (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  const [user, system] = [Number(fields[11]), Number(fields[12])]
  return (user + system) * 1000 / ticks
}

/** Resident memory of a process, in KiB. */
export function residentMemory (pid: number): number {
  const line = readFileSync(`/proc/${pid}/status`, 'utf8').split('\n').find(each => each.startsWith('VmRSS:')) ?? ''
  return Number(/\d+/.exec(line)?.[0])
}

/** Waits, in ms. */
export function pause (span: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, span))
}

/** Does `task` at a steady rate for a time and gives how often it was done. Tasks may overlap. */
export async function atRate (rate: number, span: number, task: (index: number) => Promise<unknown>): Promise<number> {
  const startedAt = performance.now()
  const open = new Set<Promise<unknown>>()
  let done = 0
  while (performance.now() - startedAt < span) {
    const due = Math.floor((performance.now() - startedAt) / 1000 * rate)
    while (done < due) {
      // A call that fails is counted too: it costs the measured process time as well, and the figures are per call made.
      const each = task(done++).catch(() => {}).finally(() => open.delete(each))
      open.add(each)
    }
    await pause(2)
  }
  await Promise.all(open)
  return done
}
