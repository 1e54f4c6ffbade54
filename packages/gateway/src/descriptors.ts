/**
 * Grows the descriptor table of this process before callers connect. Linux doubles the table when the process opens
 * more descriptors than it holds, and stops the thread that opens one until every processor has passed through the
 * scheduler: a few milliseconds on an idle machine, up to a second on a busy one. In a gateway that thread is the event
 * loop, so all callers would wait. The table never shrinks.
 */
import { closeSync, open, openSync } from 'node:fs'
import { promisify } from 'node:util'

/** Size to which the table grows: the connections of a thousand callers and as many to upstreams. */
const tableSize = 2048

/** The table doubles from this size on. */
const firstGrowth = 256

/** A file that takes nothing but a descriptor. */
const path = '/dev/null'

const openInBackground = promisify(open)

/**
 * Opens descriptors until the table has `size` entries, and closes them again. The descriptors at which the table grows
 * are opened by a thread of the pool.
 * @returns the size that was reached; less than `size` if the process may not open as many descriptors
 */
export async function growDescriptorTable (size = tableSize): Promise<number> {
  const opened: number[] = []
  let reached = 0
  try {
    for (let next = firstGrowth; next < size; next *= 2) {
      openUpTo(next - 1, opened)
      opened.push(await openInBackground(path, 'r'))
      reached = 2 * next
    }
  } catch {
    // The limit of open descriptors is reached. The table does not need to grow further.
  } finally {
    for (const each of opened) closeSync(each)
  }
  return reached
}

/** Opens descriptors up to and including `last`. */
function openUpTo (last: number, opened: number[]): void {
  for (let descriptor = -1; descriptor < last;) {
    descriptor = openSync(path, 'r')
    opened.push(descriptor)
  }
}
