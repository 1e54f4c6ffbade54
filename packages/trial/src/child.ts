/**
 * Runs a child process of a development tool or a test. `Child` owns the process and its last output lines, parsed as
 * JSON. A caller can wait for a line that matches a predicate.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/** An output line of a child, parsed as JSON. */
export type Line = Readonly<Record<string, unknown>>

/** Number of output lines retained for each child. The oldest are dropped first. */
const maxLines = 2000

/** How long `waitForLine` waits, in ms. */
const maxWaitMs = 20_000

/**
 * A process that a development tool or a test has started. Lines of standard output and standard error go into one
 * list.
 */
export class Child {
  readonly name: string
  readonly #process: ChildProcess
  readonly #lines: Line[] = []
  readonly #waiters = new Set<() => void>()
  readonly #ended: Promise<number | null>

  /** Starts Node.js with a script and its arguments. */
  constructor (name: string, script: string, args: readonly string[]) {
    this.name = name
    this.#process = spawn(process.execPath, [script, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#ended = new Promise(resolve => this.#process.once('exit', code => resolve(code)))
    for (const stream of [this.#process.stdout, this.#process.stderr]) {
      if (stream !== null) createInterface(stream).on('line', text => this.#addLine(text))
    }
  }

  get pid (): number {
    return this.#process.pid ?? 0
  }

  get running (): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null
  }

  /** The retained lines, oldest first. */
  get lines (): readonly Line[] {
    return this.#lines
  }

  /**
   * Resolves with the first line at index `from` or later that matches. Rejects if the process ends first, or after
   * `maxWaitMs`.
   */
  async waitForLine (matches: (line: Line) => boolean, from = 0): Promise<Line> {
    const deadline = Date.now() + maxWaitMs
    while (true) {
      const found = this.#lines.slice(from).find(matches)
      if (found !== undefined) return found
      if (!this.running) throw new Error(`${this.name} ended before it wrote the expected line; last lines: ${JSON.stringify(this.#lines.slice(-5))}`)
      if (Date.now() > deadline) throw new Error(`${this.name} did not write the expected line in time; last lines: ${JSON.stringify(this.#lines.slice(-5))}`)
      await this.#nextLine()
    }
  }

  signal (name: NodeJS.Signals): void {
    this.#process.kill(name)
  }

  /** Resolves with the exit status, or with null if a signal ended the process. */
  ended (): Promise<number | null> {
    return this.#ended
  }

  #addLine (text: string): void {
    try {
      this.#lines.push(JSON.parse(text) as Line)
    } catch {
      // Not a log line but, for example, a stack trace. It is retained as text for the messages of failed tests.
      this.#lines.push({ text })
    }
    if (this.#lines.length > maxLines) this.#lines.shift()
    for (const wake of [...this.#waiters]) wake()
  }

  /** Resolves at the next line, when the process ends, or after 250 ms. */
  #nextLine (): Promise<void> {
    return new Promise(resolve => {
      const done = (): void => {
        clearTimeout(timer)
        this.#waiters.delete(done)
        resolve()
      }
      const timer = setTimeout(done, 250)
      this.#waiters.add(done)
      this.#ended.then(done)
    })
  }
}
