/**
 * The places at the heads of the rooms that this gateway keeps for all: the next request of a room's one queue gets the next free place. Owns the queues, in memory only: a
 * gateway that takes over knows the load by the last heartbeats, and whoever waited asks again or is served alone. Relies on `Openings` for where there are places,
 * on `Grants` for those on their way, and on `RoomQueue` for who is next.
 */
import { type Clock } from '@eiderwind/clock'
import { ownAsk, type Ask, type Reply, type Word } from './ask.js'
import { Grants } from './grants.js'
import { Openings, type Head, type OpeningsOptions } from './openings.js'
import { type Room } from './room.js'
import { RoomQueue } from './roomqueue.js'

/** Dependencies of `Issuer`. */
export interface IssuerOptions extends OpeningsOptions {
  readonly clock: Clock
  /** Answers an ask. @param to its `from` */
  readonly deliver: (to: string, reply: Reply) => void
}

/** Longest and shortest time between two looks at a queue in which nothing else has happened, in ms: heads may have opened, and requests have waited too long. */
const lookInterval = 20
const leastInterval = 1

/** Issues places. */
export class Issuer {
  readonly #options: IssuerOptions
  readonly #queues = new Map<string, RoomQueue>()
  readonly #grants: Grants
  readonly #openings: Openings
  /** Asks taken, places given and asks refused. */
  asked = 0
  given = 0
  refused = 0

  constructor (options: IssuerOptions) {
    this.#options = options
    this.#grants = new Grants(options.clock)
    this.#openings = new Openings(options, this.#grants)
  }

  /** Requests that wait here. */
  get waiting (): number {
    return [...this.#queues.values()].reduce((sum, { line }) => sum + line.size, 0)
  }

  /** Answers at once: with a place, that there is none in time, or that the request waits. One that waits gets another answer later. */
  ask (room: Room, ask: Ask): void {
    const { clock, deliver } = this.#options
    const queue = this.#queue(room)
    const now = clock.now()
    this.asked++
    queue.add(ask, now)
    this.#serve(queue)
    if (!queue.line.has(ask)) return
    const wait = Math.max(this.#openings.closedFor(room), queue.expected(ask, now))
    if (now + wait < ask.until) return deliver(ask.from, { place: 'wait', number: ask.number })
    queue.drop(ask.from, ask.number)
    this.#refuse(queue, ask, now)
  }

  /** Ends an ask that its gateway no longer needs. */
  drop ({ key }: Room, from: string, number: number): void {
    this.#queues.get(key)?.drop(from, number)
  }

  /** Takes what a gateway says of an upstream: a place may have come free there. */
  hear (room: Room, from: string, { upstream, count, seen, shut }: Word): void {
    if (from !== ownAsk) this.#options.counts.set(from, upstream, count)
    if (shut !== undefined) this.#openings.shut(upstream, shut)
    this.#grants.shownAt(from, upstream, seen)
    this.serve(room)
  }

  /** Takes that the counts of a gateway's heartbeat are known. @param seen the last of this gateway's grants that they may show */
  heard (from: string, seen: number | undefined): void {
    this.#grants.shown(from, seen)
  }

  /** Takes that an own request uses its place, or does not need it. */
  settle (order: number): void {
    this.#grants.settle(ownAsk, order)
  }

  /** Gives the places that are free now to those that wait. To be called when something has changed. */
  serve ({ key }: Room): void {
    const queue = this.#queues.get(key)
    if (queue !== undefined && queue.line.size > 0) this.#serve(queue)
  }

  /** The same in all rooms. */
  serveAll (): void {
    for (const { room } of this.#queues.values()) this.serve(room)
  }

  /** Forgets what is over. */
  forget (isLive: (gateway: string) => boolean): void {
    const now = this.#options.clock.now()
    this.#grants.keepOnly(gateway => gateway === ownAsk || isLive(gateway))
    this.#openings.forget()
    for (const [key, queue] of this.#queues) {
      queue.forget(now)
      if (queue.isOver(now)) this.#queues.delete(key)
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
    this.#give(queue)
    this.#schedule(queue)
  }

  /** Gives the places that are free now, once those have left whose time is over. */
  #give (queue: RoomQueue): void {
    const now = this.#options.clock.now()
    for (const ask of queue.takeEnded(now)) this.#refuse(queue, ask, now)
    const open = this.#openings.open(queue.room)
    const unfit = new Set<Ask>()
    for (let free = this.#openings.free(open); free.length > 0; free = this.#openings.free(free)) {
      const next = queue.next(unfit, now)
      if (next === undefined) break
      const head = this.#openings.best(free, next)
      if (head === undefined) unfit.add(next)
      else this.#grant(queue, next, head, now)
    }
    queue.look(now)
  }

  /** Has those leave that have waited as long as they would alone and would get no place in time. */
  #review (queue: RoomQueue): void {
    const now = this.#options.clock.now()
    for (const ask of queue.review(now)) this.#refuse(queue, ask, now)
  }

  #grant (queue: RoomQueue, ask: Ask, { id: upstream }: Head, now: number): void {
    const { from, number } = ask
    queue.served(ask, now)
    this.given++
    this.#options.deliver(from, { place: 'grant', number, upstream, order: this.#grants.add(from, upstream) })
  }

  /** Answers an ask that has left the queue without a place. Its caller should come back once those that wait now are served, or a head opens. */
  #refuse (queue: RoomQueue, { from, number }: Ask, now: number): void {
    this.refused++
    this.#options.deliver(from, { place: 'later', number, due: Math.max(queue.due(now), this.#openings.closedFor(queue.room)) })
  }

  #schedule (queue: RoomQueue): void {
    if (queue.line.size === 0) {
      queue.timer?.cancel()
      queue.timer = undefined
      return
    }
    if (queue.timer !== undefined) return
    const { clock } = this.#options
    const time = Math.max(leastInterval, Math.min(lookInterval, queue.nextLook - clock.now()))
    queue.timer = clock.after(time, () => {
      queue.timer = undefined
      this.#give(queue)
      this.#review(queue)
      this.#schedule(queue)
    })
  }
}
