/**
 * A child process of a development tool or a test. It owns the process and the last lines that it wrote, read as JSON, and waits
 * for the line that a caller describes.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/** One line that a child wrote, read as JSON. */
export type Line = Readonly<Record<string, unknown>>

/** How many lines of a child are kept. */
const keptLines = 2000

/** How long a child may take until it writes what is waited for, in ms. */
const patience = 20_000

/** A process that a development tool or a test has started. */
export class Child {
  readonly name: string
  readonly #process: ChildProcess
  readonly #lines: Line[] = []
  readonly #waiting = new Set<() => void>()
  readonly #ended: Promise<number | null>

  /** Starts Node.js on a script. */
  constructor (name: string, script: string, words: readonly string[]) {
    this.name = name
    this.#process = spawn(process.execPath, [script, ...words], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#ended = new Promise(resolve => this.#process.once('exit', code => resolve(code)))
    for (const stream of [this.#process.stdout, this.#process.stderr]) {
      if (stream !== null) createInterface(stream).on('line', text => this.#note(text))
    }
  }

  get pid (): number {
    return this.#process.pid ?? 0
  }

  get running (): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null
  }

  /** The lines that it has written. */
  get lines (): readonly Line[] {
    return this.#lines
  }

  /** The first line, from number `from` on, that fits. Rejects when it ends or takes too long. */
  async line (fits: (line: Line) => boolean, from = 0): Promise<Line> {
    const late = Date.now() + patience
    while (true) {
      const found = this.#lines.slice(from).find(fits)
      if (found !== undefined) return found
      if (!this.running) throw new Error(`${this.name} ended: ${JSON.stringify(this.#lines.slice(-5))}`)
      if (Date.now() > late) throw new Error(`${this.name} did not write what was waited for: ${JSON.stringify(this.#lines.slice(-5))}`)
      await this.#next()
    }
  }

  signal (name: NodeJS.Signals): void {
    this.#process.kill(name)
  }

  /** Resolves with the exit status, null where a signal ended it. */
  ended (): Promise<number | null> {
    return this.#ended
  }

  #note (text: string): void {
    try {
      this.#lines.push(JSON.parse(text) as Line)
    } catch {
      // Not a log line, such as a stack trace: kept as it is for the messages of failed tests.
      this.#lines.push({ text })
    }
    if (this.#lines.length > keptLines) this.#lines.shift()
    for (const wake of [...this.#waiting]) wake()
  }

  /** Resolves at the next line, at the end, or after a moment. */
  #next (): Promise<void> {
    return new Promise(resolve => {
      const done = (): void => {
        clearTimeout(timer)
        this.#waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, 250)
      this.#waiting.add(done)
      this.#ended.then(done)
    })
  }
}
