/** The one queue of a room: who waits, and what is known for deciding who is next. Owns the asks of all gateways; when they are served is decided in `issuer.ts`. */
import { type Subscription } from '@eiderwind/clock'
import { TeamUsage, WaitingLine, kindOf } from '@eiderwind/fairness'
import { type Ask } from './ask.js'
import { Prospects } from './prospects.js'
import { type Room } from './room.js'

/** How long an empty queue is kept, in ms: what its teams usually ask for is learnt over minutes. */
const keptFor = 600_000

/** The queue of a room. Times are on `Clock.now`, in ms. */
export class RoomQueue {
  readonly room: Room
  readonly line = new WaitingLine<Ask>()
  /** The next look at the queue, if nothing else happens in it. */
  timer: Subscription | undefined
  readonly #asks = new Map<string, Ask>()
  /** Those whose prospect has yet to be looked at. */
  readonly #unreviewed = new Set<Ask>()
  readonly #usage = new TeamUsage()
  readonly #prospects = new Prospects()
  #usedAt = 0

  constructor (room: Room) {
    this.room = room
  }

  /** Puts an ask into the queue, instead of its earlier datagram where it comes twice. */
  add (ask: Ask, now: number): void {
    this.#usedAt = now
    if (!this.drop(ask.from, ask.number)) this.#usage.asked(ask.team, ask.work, now)
    this.#asks.set(keyOf(ask.from, ask.number), ask)
    this.line.add(ask)
    if (ask.reviewAt !== undefined) this.#unreviewed.add(ask)
  }

  /** Removes an ask. Returns whether it waited. */
  drop (from: string, number: number): boolean {
    const key = keyOf(from, number)
    const ask = this.#asks.get(key)
    if (ask === undefined) return false
    this.line.remove(ask)
    this.#forget(ask)
    return true
  }

  /** Removes those that have waited as long as they can, and returns them. */
  takeEnded (now: number): Ask[] {
    const ended = this.line.takeEnded(now)
    for (const each of ended) this.#forget(each)
    return ended
  }

  /** Removes those that would not be served in time, of those whose review is due, and returns them. */
  review (now: number): Ask[] {
    const due = [...this.#unreviewed].filter(({ reviewAt = Infinity }) => reviewAt <= now)
    for (const each of due) this.#unreviewed.delete(each)
    const hopeless = this.#prospects.hopeless(due, this.line, this.#usage, now)
    for (const { from, number } of hopeless) this.drop(from, number)
    return hopeless
  }

  /** When the next review is due, or somebody waits no longer; Infinity where nobody waits. */
  get nextLook (): number {
    return [...this.#unreviewed].reduce((first, { reviewAt = Infinity }) => Math.min(first, reviewAt), this.line.firstEnd)
  }

  /** The one that gets the next place. @param besides those that cannot use it */
  next (besides: ReadonlySet<Ask>, now: number): Ask | undefined {
    return this.line.next(this.#usage, now, besides)
  }

  /** Takes that a place is given to an ask, which leaves. */
  served (ask: Ask, now: number): void {
    this.drop(ask.from, ask.number)
    this.#usage.served(ask.team, ask.work, now, kindOf(ask, now))
    this.#prospects.given(ask, now)
  }

  /** Takes that all were served for which there are places now. */
  look (now: number): void {
    this.#prospects.look(this.line, now)
  }

  /** In how many ms an ask that has just come would be served. */
  expected (ask: Ask, now: number): number {
    return this.#prospects.wait(ask, this.line, this.#usage, now)
  }

  /** In how many ms a refused caller should come back; 0: as after any refusal. */
  due (now: number): number {
    return this.#prospects.return(this.line.size, now)
  }

  /** Forgets what is over. */
  forget (now: number): void {
    this.#prospects.forget(now)
  }

  /** Whether it is not worth keeping. */
  isOver (now: number): boolean {
    return this.line.size === 0 && now - this.#usedAt > keptFor
  }

  #forget (ask: Ask): void {
    this.#asks.delete(keyOf(ask.from, ask.number))
    this.#unreviewed.delete(ask)
  }
}

function keyOf (from: string, number: number): string {
  return `${number} ${from}`
}
