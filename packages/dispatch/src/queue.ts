/**
 * The queue of requests that wait for an upstream with room. Owns the waiting requests and their order: the most urgent
 * first, then the oldest. Relies on `wake` being called whenever room may have become free. `waiting.ts` decides how
 * long a request may wait.
 */
import { type Clock } from '@eiderwind/clock'
import { type Rule, type WaitingRequest } from '@eiderwind/fairness'

/** A request that needs room at an upstream. */
export interface QueuedRequest extends WaitingRequest {
  /** The key of the room that it competes for. Requests of different rooms do not compete. */
  readonly room: string
  /** Whether it was sent to an upstream before. */
  readonly attempted: boolean
  /**
   * Whether the queue shared by all gateways decides when it is served. If so, the requests in this queue do not
   * determine its wait. Absent: no.
   */
  readonly orderedElsewhere?: boolean
}

/** Why a request got no room. The values appear in log fields and metric labels. */
export type Shortage = Rule | 'no room' | 'queue too long'

/** Callbacks of a waiting request. */
export interface WaitHandlers {
  /** Called with a function that cancels the wait. Not called if room was found at once. */
  readonly onWait?: (cancel: () => void) => void
  /** Called if the wait ends without room and the reason is known. */
  readonly onShortage?: (shortage: Shortage) => void
}

/** An entry of the queue. */
interface Waiter {
  readonly request: QueuedRequest
  /** Searches for room again, and ends the wait if room is found. Returns whether the wait has ended. */
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

  /** Number of teams that are above their share of a room. */
  get teamsAboveShare (): number {
    return 0
  }

  /** Resolves with the result of `find` as soon as it is defined, or with undefined when the wait ends. */
  wait<Value> (request: QueuedRequest, find: () => Value | undefined, handlers: WaitHandlers = {}): Promise<Value | undefined> {
    const found = find()
    if (found !== undefined || request.until <= this.clock.now()) return Promise.resolve(found)
    return this.enqueue(request, find, handlers)
  }

  /** Searches for room again for each waiting request, in the order of the queue. */
  wake (): void {
    for (const waiter of [...this.waiters]) waiter.retry()
  }

  protected enqueue<Value> (request: QueuedRequest, find: () => Value | undefined, { onWait }: WaitHandlers, onTimeout?: () => void): Promise<Value | undefined> {
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
      const waiter: Waiter = { request, retry }
      const timer = this.clock.after(request.until - this.clock.now(), () => {
        onTimeout?.()
        end(undefined)
      })
      this.#insert(waiter)
      onWait?.(() => end(undefined))
    })
  }

  #insert (waiter: Waiter): void {
    const index = this.waiters.findIndex(each => each.request.priority > waiter.request.priority)
    this.waiters.splice(index < 0 ? this.waiters.length : index, 0, waiter)
  }

  #remove (waiter: Waiter): void {
    const index = this.waiters.indexOf(waiter)
    if (index >= 0) this.waiters.splice(index, 1)
  }
}
