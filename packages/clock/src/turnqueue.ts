/**
 * Bounds the work that is done in one turn of the event loop. Tasks beyond the bound run in the following turns, in
 * order. Work that concerns many callers at once would otherwise delay all other callers.
 */
import { type Clock, type Task } from './clock.js'

/** Runs tasks in order, a bounded number in each turn of the event loop. */
export class TurnQueue {
  readonly #clock: Clock
  readonly #maxPerTurn: number
  #tasks: Task[] = []
  /** Number of tasks that ran in this turn. */
  #count = 0
  #isScheduled = false

  constructor (clock: Clock, maxPerTurn: number) {
    this.#clock = clock
    this.#maxPerTurn = maxPerTurn
  }

  /** Runs a task now, or in a later turn if this turn's tasks are used up. A task must check whether it still applies. */
  run (task: Task): void {
    this.#tasks.push(task)
    this.#runDue()
  }

  #runDue (): void {
    const due = this.#tasks.splice(0, this.#maxPerTurn - this.#count)
    this.#count += due.length
    this.#schedule()
    try {
      for (let task = due.shift(); task !== undefined; task = due.shift()) task()
    } finally {
      // Left only if a task threw: the next turn runs them.
      this.#tasks.unshift(...due)
    }
  }

  #schedule (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    this.#clock.after(0, () => {
      this.#isScheduled = false
      this.#count = 0
      if (this.#tasks.length > 0) this.#runDue()
    })
  }
}
