/**
 * A queue in the order of `@eiderwind/fairness`, which depends on the shares of teams, lateness and urgency. Owns the
 * recent usage and the rate of free places of each room, in memory only. A request that would not be served within its
 * wait is refused at once.
 */
import { PlaceRate, TeamUsage, decidingRule, expectedWait, kindOf, maxRate, nextServed, servingOrder } from '@eiderwind/fairness'
import { Queue, type Seeker, type Shortage, type WaitHandlers } from './queue.js'

/** The recent usage and the rate of free places of a room. */
class RoomHistory {
  readonly usage = new TeamUsage()
  readonly rate = new PlaceRate()
}

/** A queue that divides room fairly between teams. */
export class FairQueue extends Queue {
  readonly #rooms = new Map<string, RoomHistory>()

  override get teamsAbove (): number {
    const now = this.clock.now()
    return new Set([...this.#rooms.values()].flatMap(({ usage }) => usage.teamsAboveShare(now))).size
  }

  override wait<Value> (seeker: Seeker, find: () => Value | undefined, handlers: WaitHandlers = {}): Promise<Value | undefined> {
    const now = this.clock.now()
    const room = this.#room(seeker.room)
    if (!seeker.offered) room.usage.asked(seeker.team, seeker.work, now)
    const others = this.#waiting(seeker.room)
    const findAndRecord = (): Value | undefined => this.#recordServed(seeker, find())
    if (others.length === 0 || seeker.orderedElsewhere === true || seeker.until <= now) {
      const found = findAndRecord()
      if (found !== undefined || seeker.until <= now) return Promise.resolve(found)
    } else if (this.#wouldTimeOut(seeker, others)) {
      handlers.onShortage?.('queue too long')
      return Promise.resolve(undefined)
    }
    const waited = this.enqueue(seeker, findAndRecord, handlers, () => handlers.onShortage?.(this.#shortage(seeker)))
    if (others.length > 0) this.#serve(seeker.room)
    return waited
  }

  override wake (): void {
    for (const room of new Set(this.waiters.map(({ seeker }) => seeker.room))) this.#serve(room)
  }

  /** Lets the requests that wait for a room search for a place, in serving order. */
  #serve (name: string): void {
    const { usage } = this.#room(name)
    let remaining = this.waiters.filter(({ seeker }) => seeker.room === name)
    for (let served = true; served;) {
      served = false
      const bySeeker = new Map(remaining.map(each => [each.seeker, each]))
      for (const seeker of servingOrder([...bySeeker.keys()], usage, this.clock.now())) {
        const waiter = bySeeker.get(seeker)
        remaining = remaining.filter(each => each !== waiter)
        served = waiter?.retry() ?? false
        // A served request changes the order of the others.
        if (served) break
      }
    }
  }

  /**
   * Counts a found place as served and returns `found`. A string is not a place: it is the reason why waiting is
   * useless.
   */
  #recordServed<Value> (seeker: Seeker, found: Value | undefined): Value | undefined {
    if (found === undefined || typeof found === 'string') return found
    const now = this.clock.now()
    const { usage, rate } = this.#room(seeker.room)
    usage.served(seeker.team, seeker.work, now, kindOf(seeker, now))
    rate.recordTaken(this.#waiting(seeker.room).length > 0, now)
    return found
  }

  /** Whether the wait of a request would end before it is served, even if places become free faster than is likely. */
  #wouldTimeOut (seeker: Seeker, others: readonly Seeker[]): boolean {
    const now = this.clock.now()
    const { usage, rate } = this.#room(seeker.room)
    const known = rate.rateAt(now)
    if (known === undefined) return false
    return expectedWait(seeker, others, usage, maxRate(known, seeker.until - now), now) === Infinity
  }

  /** Why a request whose wait has ended was not served. */
  #shortage (seeker: Seeker): Shortage {
    const now = this.clock.now()
    const { usage } = this.#room(seeker.room)
    const next = nextServed(this.#waiting(seeker.room).filter(each => each !== seeker), usage, now)
    return (next === undefined ? undefined : decidingRule(seeker, next, usage, now)) ?? 'no room'
  }

  #waiting (room: string): Seeker[] {
    return this.waiters.map(({ seeker }) => seeker).filter(each => each.room === room)
  }

  #room (name: string): RoomHistory {
    const known = this.#rooms.get(name)
    if (known !== undefined) return known
    const created = new RoomHistory()
    this.#rooms.set(name, created)
    return created
  }
}
