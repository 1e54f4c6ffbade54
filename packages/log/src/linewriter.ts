/**
 * Writes log lines for a process that must not wait for the reader of its log while it serves. It owns a token bucket and a
 * bounded buffer; lines beyond either are dropped and counted, and the process reports the count as `lines-dropped`.
 */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import sonic, { type SonicBoom } from 'sonic-boom'
import { type Sink } from './log.js'

/** File descriptor of standard output. */
const standardOutput = 1

/** Lines a second on average. */
const rate = 100

/** Lines at once after a pause: three seconds' worth. */
const burst = 300

/** Bytes that wait for a slow reader: somewhat more than a burst of lines of 800 bytes. */
const bufferSize = 256 * 1024

/** Options of a line writer. */
export interface LineWriterOptions {
  /** File descriptor that lines go to. Default: standard output. */
  readonly fd?: number
  /** Steady time, in ms. */
  readonly now: () => number
}

/** Writes lines without blocking, and counts those that it drops. */
export class LineWriter {
  readonly #stream: SonicBoom
  readonly #now: () => number
  #tokens = burst
  /** When the tokens were last counted. */
  #at: number
  #dropped = 0
  #ending = false

  constructor ({ fd = standardOutput, now }: LineWriterOptions) {
    unblock(fd)
    // Full pipes are tried again later while the process serves, and never at its end.
    this.#stream = new sonic.SonicBoom({ fd, sync: false, maxLength: bufferSize, retryEAGAIN: () => !this.#ending })
    this.#stream.on('drop', () => { this.#dropped++ })
    // There is no better place to report it: this is the log. A process serves on also when its log has lost its reader.
    this.#stream.on('error', () => {})
    this.#now = now
    this.#at = now()
  }

  /** The sink, for a log. */
  readonly sink: Sink = line => {
    const now = this.#now()
    this.#tokens = Math.min(burst, this.#tokens + (now - this.#at) / 1000 * rate)
    this.#at = now
    if (this.#tokens < 1) {
      this.#dropped++
      return
    }
    this.#tokens--
    this.#stream.write(`${line}\n`)
  }

  /** Lines dropped since the last call. */
  takeDropped (): number {
    const dropped = this.#dropped
    this.#dropped = 0
    return dropped
  }

  /** Writes what is buffered, as far as the reader takes it at once; for the end of the process. */
  end (): void {
    this.#ending = true
    try {
      this.#stream.flushSync()
    } catch {
      // A reader that is gone, or has stopped reading, loses the last lines. There is nowhere else to report it.
    }
  }
}

/**
 * Has writes to a pipe or socket return at once where it is full: a write that waits for a reader that has stopped reading would
 * hold up the exit of the process. A socket object sets the descriptor to non-blocking when it is made, and does nothing else
 * here. Files never wait, so they stay as they are.
 */
function unblock (fd: number): void {
  const kind = fstatSync(fd)
  if (kind.isFIFO() || kind.isSocket()) new Socket({ fd, readable: false, writable: true }).unref()
}
