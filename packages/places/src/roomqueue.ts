/**
 * The shared queue of one room: the waiting place requests of all gateways, and the data that decides their order.
 * Owns these requests. `issuer.ts` decides when they are served.
 */
import { type Subscription } from '@eiderwind/clock'
import { TeamUsage, WaitingQueue, kindOf } from '@eiderwind/fairness'
import { type PlaceRequest } from './request.js'
import { WaitEstimator } from './waitestimator.js'
import { type Room } from './room.js'

/** How long an empty queue is retained, in ms. The usual demand of its teams is learnt over minutes. */
const idleRetention = 600_000

/** The queue of a room. Times are on `Clock.now`, in ms. */
export class RoomQueue {
  readonly room: Room
  readonly waiting = new WaitingQueue<PlaceRequest>()
  /** The next check of the queue, if nothing else happens in it. */
  timer: Subscription | undefined
  readonly #requests = new Map<string, PlaceRequest>()
  /** Requests whose review is still to come. */
  readonly #awaitingReview = new Set<PlaceRequest>()
  readonly #usage = new TeamUsage()
  readonly #waitEstimator = new WaitEstimator()
  #usedAt = 0

  constructor (room: Room) {
    this.room = room
  }

  /** Adds a request to the queue. A repeated datagram replaces the earlier one. */
  add (request: PlaceRequest, now: number): void {
    this.#usedAt = now
    if (!this.drop(request.from, request.number)) this.#usage.recordRequest(request.team, request.work, now)
    this.#requests.set(keyOf(request.from, request.number), request)
    this.waiting.add(request)
    if (request.reviewAt !== undefined) this.#awaitingReview.add(request)
  }

  /** Removes a request. Returns whether it waited. */
  drop (from: string, number: number): boolean {
    const key = keyOf(from, number)
    const request = this.#requests.get(key)
    if (request === undefined) return false
    this.waiting.remove(request)
    this.#remove(request)
    return true
  }

  /** Removes and returns the requests that have waited as long as they can. */
  takeExpired (now: number): PlaceRequest[] {
    const ended = this.waiting.takeExpired(now)
    for (const each of ended) this.#remove(each)
    return ended
  }

  /** Removes and returns the requests that are due for review and would not be served in time. */
  review (now: number): PlaceRequest[] {
    const dueForReview = [...this.#awaitingReview].filter(({ reviewAt = Infinity }) => reviewAt <= now)
    for (const each of dueForReview) this.#awaitingReview.delete(each)
    const rejected = this.#waitEstimator.notServedInTime(dueForReview, this.waiting, this.#usage, now)
    for (const { from, number } of rejected) this.drop(from, number)
    return rejected
  }

  /** When the next review is due or the next wait ends, whichever is earlier; Infinity if no request waits. */
  get nextCheckAt (): number {
    return [...this.#awaitingReview].reduce((first, { reviewAt = Infinity }) => Math.min(first, reviewAt), this.waiting.minUntil)
  }

  /**
   * The request that gets the next place.
   * @param excluded requests that cannot use it
   */
  next (excluded: ReadonlySet<PlaceRequest>, now: number): PlaceRequest | undefined {
    return this.waiting.next(this.#usage, now, excluded)
  }

  /** Records that a place is granted to a request, and removes the request. */
  recordGrant (request: PlaceRequest, now: number): void {
    this.drop(request.from, request.number)
    this.#usage.recordServed(request.team, request.work, now, kindOf(request, now))
    this.#waitEstimator.recordGrant(request, now)
  }

  /** Records which requests still wait after all free places were granted. */
  recordWaiting (now: number): void {
    this.#waitEstimator.recordWaiting(this.waiting, now)
  }

  /** The time after which a request that has just arrived is expected to be served, in ms. */
  expectedWait (request: PlaceRequest, now: number): number {
    return this.#waitEstimator.expectedWait(request, this.waiting, this.#usage, now)
  }

  /** The time after which a refused caller should retry, in ms; 0 stands for the usual `Retry-After`. */
  retryDelay (now: number): number {
    return this.#waitEstimator.retryDelay(this.waiting.size, now)
  }

  /** Removes expired state. */
  forget (now: number): void {
    this.#waitEstimator.forget(now)
  }

  /** Whether the queue can be removed: it is empty and has not been used for long. */
  isExpired (now: number): boolean {
    return this.waiting.size === 0 && now - this.#usedAt > idleRetention
  }

  #remove (request: PlaceRequest): void {
    this.#requests.delete(keyOf(request.from, request.number))
    this.#awaitingReview.delete(request)
  }
}

function keyOf (from: string, number: number): string {
  return `${number} ${from}`
}
