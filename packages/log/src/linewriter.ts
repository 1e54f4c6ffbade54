/**
 * Writes log lines without blocking, because a process that serves must not wait for the reader of its log. It owns a
 * token bucket and a bounded buffer. Lines beyond either limit are dropped and counted, and the process logs the count
 * as `lines-dropped`.
 */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import sonic, { type SonicBoom } from 'sonic-boom'
import { type Level } from './events.js'

/** File descriptor of standard output. */
const standardOutput = 1

/** Refill rate of the token bucket, in lines per second. */
const linesPerSecond = 100

/** Size of the token bucket, in lines: what accumulates in three seconds. */
const burstLines = 300

/**
 * Lines that the token bucket lends to events at level `error`. Other events must not displace the reason why a process
 * ends.
 */
const errorReserve = 100

/** Size of the buffer for a slow reader, in bytes: slightly more than a burst of lines of 800 bytes each. */
const bufferSize = 256 * 1024

/** Options of a line writer. */
export interface LineWriterOptions {
  /** File descriptor to which lines are written. Default: standard output. */
  readonly fd?: number
  /** Monotonic time, in ms. */
  readonly now: () => number
}

/** Writes lines without blocking, and counts dropped lines. */
export class LineWriter {
  readonly #stream: SonicBoom
  readonly #now: () => number
  #tokens = burstLines
  /** When the tokens were last refilled. */
  #refilledAt: number
  #dropped = 0
  #ending = false

  constructor ({ fd = standardOutput, now }: LineWriterOptions) {
    setNonBlocking(fd)
    // A write to a full pipe is retried while the process serves, but not while the process ends.
    this.#stream = new sonic.SonicBoom({ fd, sync: false, maxLength: bufferSize, retryEAGAIN: () => !this.#ending })
    this.#stream.on('drop', () => { this.#dropped++ })
    // Errors of the log cannot be reported anywhere. A process continues to serve when its log has lost its reader.
    this.#stream.on('error', () => {})
    this.#now = now
    this.#refilledAt = now()
  }

  /** The sink to pass to a `Log`. */
  readonly sink = (line: string, level: Level = 'info'): void => {
    const now = this.#now()
    this.#tokens = Math.min(burstLines, this.#tokens + (now - this.#refilledAt) / 1000 * linesPerSecond)
    this.#refilledAt = now
    if (this.#tokens < leastTokens(level)) {
      this.#dropped++
      return
    }
    this.#tokens--
    this.#stream.write(`${line}\n`)
  }

  /** Number of lines dropped since the last call. */
  takeDropped (): number {
    const dropped = this.#dropped
    this.#dropped = 0
    return dropped
  }

  /** Writes as much of the buffer as the reader takes at once. Called at the end of the process. */
  end (): void {
    this.#ending = true
    try {
      this.#stream.flushSync()
    } catch {
      // If the reader is gone or has stopped reading, the last lines are lost. This cannot be reported anywhere.
    }
  }
}

/** Tokens that must be left for a line of this level. */
function leastTokens (level: Level): number {
  return level === 'error' ? 1 - errorReserve : 1
}

/**
 * Sets a pipe or socket to non-blocking mode. A write that waits for a reader that has stopped reading would delay the
 * exit of the process. Creating a `Socket` object sets the mode; the object is not used otherwise. Writes to files do
 * not wait for a reader, so files are left unchanged.
 */
function setNonBlocking (fd: number): void {
  const kind = fstatSync(fd)
  if (kind.isFIFO() || kind.isSocket()) new Socket({ fd, readable: false, writable: true }).unref()
}
