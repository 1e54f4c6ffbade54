/**
 * Requests that wait for an upstream with room. Owns their order: the most urgent first, among equals the oldest.
 * Relies on `wake` being called whenever room may have appeared. How long a request may wait is decided in `waiting.ts`.
 */
import { type Clock } from '@eiderwind/clock'
import { type Rule, type Waiting } from '@eiderwind/fairness'

/** A request that looks for room. */
export interface Seeker extends Waiting {
  /** What it looks for room in: requests of other rooms do not compete with it. */
  readonly room: string
  /** Whether it was sent to an upstream before. */
  readonly offered: boolean
  /** Whether the queue for all gateways decides when it is served, so that what waits here says nothing of its prospect. Absent: no. */
  readonly orderedElsewhere?: boolean
}

/** Why a request found no room. */
export type Shortage = Rule | 'no room' | 'queue too long'

/** What a request that waits is told. */
export interface WaitHandlers {
  /** Called with a function that ends the wait early, unless something was found at once. */
  readonly onWait?: (cancel: () => void) => void
  /** Called where it ends with nothing, if the queue knows why. */
  readonly onShortage?: (shortage: Shortage) => void
}

/** One that waits. */
interface Waiter {
  readonly seeker: Seeker
  /** Looks for room again, and ends the wait if there is some. Returns whether it has ended. */
  readonly retry: () => boolean
}

/** A queue of requests that wait for room. */
export class Queue {
  protected readonly clock: Clock
  protected readonly waiters: Waiter[] = []

  constructor (clock: Clock) {
    this.clock = clock
  }

  get count (): number {
    return this.waiters.length
  }

  /** Teams that are above their share of a room. */
  get teamsAbove (): number {
    return 0
  }

  /** Resolves with what `find` returns as soon as that is defined, or with undefined when the request waits no longer. */
  wait<Value> (seeker: Seeker, find: () => Value | undefined, handlers: WaitHandlers = {}): Promise<Value | undefined> {
    const found = find()
    if (found !== undefined || seeker.until <= this.clock.now()) return Promise.resolve(found)
    return this.enqueue(seeker, find, handlers)
  }

  /** Looks for room again for every waiting request, in the order of the queue. */
  wake (): void {
    for (const waiter of [...this.waiters]) waiter.retry()
  }

  protected enqueue<Value> (seeker: Seeker, find: () => Value | undefined, { onWait }: WaitHandlers, onTimeout?: () => void): Promise<Value | undefined> {
    return new Promise(resolve => {
      const end = (value: Value | undefined): void => {
        timer.cancel()
        this.#remove(waiter)
        resolve(value)
      }
      const retry = (): boolean => {
        const value = find()
        if (value !== undefined) end(value)
        return value !== undefined
      }
      const waiter: Waiter = { seeker, retry }
      const timer = this.clock.after(seeker.until - this.clock.now(), () => {
        onTimeout?.()
        end(undefined)
      })
      this.#insert(waiter)
      onWait?.(() => end(undefined))
    })
  }

  #insert (waiter: Waiter): void {
    const index = this.waiters.findIndex(each => each.seeker.priority > waiter.seeker.priority)
    this.waiters.splice(index < 0 ? this.waiters.length : index, 0, waiter)
  }

  #remove (waiter: Waiter): void {
    const index = this.waiters.indexOf(waiter)
    if (index >= 0) this.waiters.splice(index, 1)
  }
}
