import TinyQueue from 'tinyqueue'
import { Clock, type Subscription, type Task } from '@eiderwind/clock'

interface Due {
  readonly at: number
  readonly order: number
  readonly task: Task
  cancelled: boolean
}

/** A clock that jumps from one task to the next, for measurements with very many tasks. */
export class EventClock extends Clock {
  readonly #due = new TinyQueue<Due>([], (a, b) => a.at - b.at || a.order - b.order)
  #now = 0
  #order = 0

  now (): number {
    return this.#now
  }

  holderNow (): number {
    return this.#now
  }

  wall (): number {
    return this.#now
  }

  after (delay: number, task: Task): Subscription {
    const due: Due = { at: this.#now + Math.max(0, delay), order: this.#order++, task, cancelled: false }
    this.#due.push(due)
    return { cancel: () => { due.cancelled = true } }
  }

  /** Does everything that falls due until `end`, and lets promises settle after each task. */
  async run (end: number): Promise<void> {
    for (let due = this.#due.peek(); due !== undefined && due.at <= end; due = this.#due.peek()) {
      this.#due.pop()
      if (due.cancelled) continue
      this.#now = due.at
      due.task()
      await undefined
      await undefined
    }
    this.#now = end
  }
}
