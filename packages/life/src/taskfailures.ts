/**
 * Contains errors of this program: each ends the task in which it is thrown, and nothing else of the process. A task is
 * the work of one callback: of a timer, a datagram, a message, a delivery. Writes the event 110, owns the count, and
 * bounds the lines. `docs/design/failures.md` lists which errors are contained, and why.
 */
import { type Log } from '@eiderwind/log'
import { causeOf } from './cause.js'

/** Upper bound on the lines in each span of this length, in ms. A task may fail many times a second. */
const maxLines = 10
const span = 10_000

/** Dependencies of `TaskFailures`. */
export interface TaskFailuresOptions {
  readonly log: Log
  /** Monotonic time, in ms. Not the timer service, which itself reports failures here. */
  readonly now: () => number
}

/** Runs tasks, logs what they throw, and counts it. */
export class TaskFailures {
  readonly #options: TaskFailuresOptions
  #count = 0
  #lines = 0
  #spanBegunAt = -Infinity

  constructor (options: TaskFailuresOptions) {
    this.#options = options
  }

  /** Number of tasks that have failed. */
  get count (): number {
    return this.#count
  }

  /** Records that a task has failed. @param task its kind; there are few */
  record (task: string, error: unknown): void {
    this.#count++
    if (this.#mayLog()) this.#options.log.write('task-failed', { task, cause: causeOf(error) })
  }

  /** Runs a task. If it throws, that is recorded, and `failed` is called to end what the task was for. */
  run (task: string, work: () => void, failed?: () => void): void {
    try {
      work()
    } catch (error) {
      this.record(task, error)
      failed?.()
    }
  }

  #mayLog (): boolean {
    const now = this.#options.now()
    if (now - this.#spanBegunAt >= span) {
      this.#spanBegunAt = now
      this.#lines = 0
    }
    return this.#lines++ < maxLines
  }
}
