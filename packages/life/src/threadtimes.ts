/**
 * Reads from the operating system how long the main thread ran and how long it waited for a processor. Owns the open
 * file. On systems without this file the times are unknown.
 */
import { closeSync, openSync, readSync } from 'node:fs'

/** Times of the main thread since its start, in ms. */
export interface ThreadTimes {
  /** Time for which it ran on a processor. */
  readonly processor: number
  /** Time for which it was ready to run and no processor ran it. */
  readonly waited: number
}

/** The scheduler's counters of the thread that opens the file: both times in ns, then the number of time slices. */
const path = '/proc/thread-self/schedstat'

/** Upper bound on the length of the file, in bytes: three 64-bit numbers. */
const maxLength = 64

const nanosecondsPerMillisecond = 1e6

/** Reads the times of the main thread. */
export class ThreadTimesReader {
  readonly #buffer = Buffer.alloc(maxLength)
  #file: number | undefined

  open (): void {
    try {
      this.#file = openSync(path, 'r')
    } catch {
      // This system does not offer the counters. Log lines then omit the times.
    }
  }

  /** The times up to now, or undefined if the system does not offer them. */
  read (): ThreadTimes | undefined {
    if (this.#file === undefined) return undefined
    const length = this.#fill(this.#file)
    if (length === 0) return undefined
    const [processor, waited] = this.#buffer.toString('latin1', 0, length).split(' ').map(each => Number(each) / nanosecondsPerMillisecond)
    return { processor, waited }
  }

  #fill (file: number): number {
    try {
      return readSync(file, this.#buffer, 0, maxLength, 0)
    } catch {
      // The counters are no longer offered. As after a failed `open`, log lines omit the times.
      this.close()
      return 0
    }
  }

  close (): void {
    if (this.#file !== undefined) closeSync(this.#file)
    this.#file = undefined
  }
}
