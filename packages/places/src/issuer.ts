/**
 * Issues the places at the heads of the rooms that this gateway owns. The next request in a room's queue gets the
 * next free place. Owns the queues, in memory only. A gateway that takes over knows the load from the last
 * heartbeats; requests that waited at the former issuer request a place again or search alone.
 * Relies on `FreePlaces` for free places, on `Grants` for places that are granted but not yet counted, and on
 * `RoomQueue` for the order of requests.
 */
import { type Clock } from '@eiderwind/clock'
import { localSender, type PlaceRequest, type Reply, type CountUpdate } from './request.js'
import { Grants } from './grants.js'
import { FreePlaces, type Head, type FreePlacesOptions } from './freeplaces.js'
import { type Room } from './room.js'
import { RoomQueue } from './roomqueue.js'

/** Dependencies of `Issuer`. */
export interface IssuerOptions extends FreePlacesOptions {
  readonly clock: Clock
  /**
   * Sends the reply to a place request.
   * @param to the request's `from`
   */
  readonly deliver: (to: string, reply: Reply) => void
}

/**
 * Upper and lower bound of the time between two checks of a queue without other events, in ms. A check finds heads
 * that have opened and requests that have waited too long.
 */
const maxCheckInterval = 20
const minCheckInterval = 1

/** Issues places. */
export class Issuer {
  readonly #options: IssuerOptions
  readonly #queues = new Map<string, RoomQueue>()
  readonly #grants: Grants
  readonly #freePlaces: FreePlaces
  /** Place requests received, places granted and place requests refused. */
  received = 0
  granted = 0
  refused = 0

  constructor (options: IssuerOptions) {
    this.#options = options
    this.#grants = new Grants(options.clock)
    this.#freePlaces = new FreePlaces(options, this.#grants)
  }

  /** Requests that wait in the queues. */
  get waiting (): number {
    return [...this.#queues.values()].reduce((sum, { waiting }) => sum + waiting.size, 0)
  }

  /**
   * Replies at once: with a place, with a refusal because there is none in time, or that the request waits. A waiting
   * request gets a second reply later.
   */
  request (room: Room, request: PlaceRequest): void {
    const { clock, deliver } = this.#options
    const queue = this.#queue(room)
    const now = clock.now()
    this.received++
    queue.add(request, now)
    this.#serve(queue)
    if (!queue.waiting.has(request)) return
    const wait = Math.max(this.#freePlaces.closedFor(room), queue.expectedWait(request, now))
    if (now + wait < request.until) return deliver(request.from, { place: 'wait', number: request.number })
    queue.drop(request.from, request.number)
    this.#refuse(queue, request, now)
  }

  /** Removes a place request that its gateway no longer needs. */
  drop ({ key }: Room, from: string, number: number): void {
    this.#queues.get(key)?.drop(from, number)
  }

  /** Handles a gateway's report about an upstream, where a place may have become free. */
  receiveCount (room: Room, from: string, { upstream, count, seen, shut }: CountUpdate): void {
    if (from !== localSender) this.#options.counts.set(from, upstream, count)
    if (shut !== undefined) this.#freePlaces.exclude(upstream, shut)
    this.#grants.acknowledgeAt(from, upstream, seen)
    this.serve(room)
  }

  /**
   * Ends the grants that the counts of a gateway's heartbeat include.
   * @param seen the last of this gateway's grants that the counts may include
   */
  acknowledgeGrants (from: string, seen: number | undefined): void {
    this.#grants.acknowledge(from, seen)
  }

  /** Ends the grant of a request of this gateway, once the request uses its place or no longer needs it. */
  settle (order: number): void {
    this.#grants.settle(localSender, order)
  }

  /** Grants the free places to waiting requests. Must be called after each change. */
  serve ({ key }: Room): void {
    const queue = this.#queues.get(key)
    if (queue !== undefined && queue.waiting.size > 0) this.#serve(queue)
  }

  /** Grants the free places of all rooms. */
  serveAll (): void {
    for (const { room } of this.#queues.values()) this.serve(room)
  }

  /** Removes expired state and the state of gateways that are no longer live. */
  forget (isLive: (gateway: string) => boolean): void {
    const now = this.#options.clock.now()
    this.#grants.keepOnly(gateway => gateway === localSender || isLive(gateway))
    this.#freePlaces.forget()
    for (const [key, queue] of this.#queues) {
      queue.forget(now)
      if (queue.isExpired(now)) this.#queues.delete(key)
    }
  }

  #queue (room: Room): RoomQueue {
    const known = this.#queues.get(room.key)
    if (known !== undefined) return known
    const queue = new RoomQueue(room)
    this.#queues.set(room.key, queue)
    return queue
  }

  #serve (queue: RoomQueue): void {
    this.#grantFree(queue)
    this.#schedule(queue)
  }

  /** Refuses the requests whose time is over, and then grants the free places. */
  #grantFree (queue: RoomQueue): void {
    const now = this.#options.clock.now()
    for (const request of queue.takeExpired(now)) this.#refuse(queue, request, now)
    const open = this.#freePlaces.open(queue.room)
    const excluded = new Set<PlaceRequest>()
    for (let free = this.#freePlaces.free(open); free.length > 0; free = this.#freePlaces.free(free)) {
      const next = queue.next(excluded, now)
      if (next === undefined) break
      const head = this.#freePlaces.best(free, next)
      if (head === undefined) excluded.add(next)
      else this.#grant(queue, next, head, now)
    }
    queue.recordWaiting(now)
  }

  /** Refuses the requests whose review is due and that would get no place in time. */
  #review (queue: RoomQueue): void {
    const now = this.#options.clock.now()
    for (const request of queue.review(now)) this.#refuse(queue, request, now)
  }

  #grant (queue: RoomQueue, request: PlaceRequest, { id: upstream }: Head, now: number): void {
    const { from, number } = request
    queue.recordGrant(request, now)
    this.granted++
    this.#options.deliver(from, { place: 'grant', number, upstream, order: this.#grants.add(from, upstream) })
  }

  /**
   * Refuses a request that has left the queue without a place. Its caller should retry when the requests waiting now
   * have been served, or when a head opens.
   */
  #refuse (queue: RoomQueue, { from, number }: PlaceRequest, now: number): void {
    this.refused++
    this.#options.deliver(from, { place: 'later', number, due: Math.max(queue.retryDelay(now), this.#freePlaces.closedFor(queue.room)) })
  }

  #schedule (queue: RoomQueue): void {
    if (queue.waiting.size === 0) {
      queue.timer?.cancel()
      queue.timer = undefined
      return
    }
    if (queue.timer !== undefined) return
    const { clock } = this.#options
    const time = Math.max(minCheckInterval, Math.min(maxCheckInterval, queue.nextCheckAt - clock.now()))
    queue.timer = clock.after(time, () => {
      queue.timer = undefined
      try {
        this.#grantFree(queue)
        this.#review(queue)
      } finally {
        // The requests that wait are checked again even if this check fails.
        this.#schedule(queue)
      }
    })
  }
}
