/**
 * A queue whose order is that of `@eiderwind/fairness`: shares of teams, what can still be in time, urgency. Owns, for each room, what was served lately and how fast
 * places come free, in memory only. A request for which the queue before it is too long is not kept waiting.
 */
import { PlaceRate, TeamUsage, decidingRule, expectedWait, kindOf, mostRate, nextServed, servingOrder } from '@eiderwind/fairness'
import { Queue, type Seeker, type Shortage, type WaitHandlers } from './queue.js'

/** What is known of a room. */
class Room {
  readonly usage = new TeamUsage()
  readonly rate = new PlaceRate()
}

/** A queue that shares room out fairly. */
export class FairQueue extends Queue {
  readonly #rooms = new Map<string, Room>()

  override get teamsAbove (): number {
    const now = this.clock.now()
    return new Set([...this.#rooms.values()].flatMap(({ usage }) => usage.above(now))).size
  }

  override wait<Value> (seeker: Seeker, find: () => Value | undefined, handlers: WaitHandlers = {}): Promise<Value | undefined> {
    const now = this.clock.now()
    const room = this.#room(seeker.room)
    if (!seeker.offered) room.usage.asked(seeker.team, seeker.work, now)
    const others = this.#waiting(seeker.room)
    const counted = (): Value | undefined => this.#counted(seeker, find())
    if (others.length === 0 || seeker.orderedElsewhere === true || seeker.until <= now) {
      const found = counted()
      if (found !== undefined || seeker.until <= now) return Promise.resolve(found)
    } else if (this.#isInVain(seeker, others)) {
      handlers.onShortage?.('queue too long')
      return Promise.resolve(undefined)
    }
    const waited = this.enqueue(seeker, counted, handlers, () => handlers.onShortage?.(this.#shortage(seeker)))
    if (others.length > 0) this.#serve(seeker.room)
    return waited
  }

  override wake (): void {
    for (const room of new Set(this.waiters.map(({ seeker }) => seeker.room))) this.#serve(room)
  }

  /** Has those that wait for a room look for a place, each after those that go before it. */
  #serve (name: string): void {
    const { usage } = this.#room(name)
    let left = this.waiters.filter(({ seeker }) => seeker.room === name)
    for (let served = true; served;) {
      served = false
      const bySeeker = new Map(left.map(each => [each.seeker, each]))
      for (const seeker of servingOrder([...bySeeker.keys()], usage, this.clock.now())) {
        const waiter = bySeeker.get(seeker)
        left = left.filter(each => each !== waiter)
        served = waiter?.retry() ?? false
        // What was served changes the order of the rest.
        if (served) break
      }
    }
  }

  /** Counts what was found, unless it is a word that says that there is nothing to wait for. */
  #counted<Value> (seeker: Seeker, found: Value | undefined): Value | undefined {
    if (found === undefined || typeof found === 'string') return found
    const now = this.clock.now()
    const { usage, rate } = this.#room(seeker.room)
    usage.served(seeker.team, seeker.work, now, kindOf(seeker, now))
    rate.taken(this.#waiting(seeker.room).length > 0, now)
    return found
  }

  /** Whether its time would end before its turn came, even if places came free faster than is likely. */
  #isInVain (seeker: Seeker, others: readonly Seeker[]): boolean {
    const now = this.clock.now()
    const { usage, rate } = this.#room(seeker.room)
    const known = rate.of(now)
    if (known === undefined) return false
    return expectedWait(seeker, others, usage, mostRate(known, seeker.until - now), now) === Infinity
  }

  /** Why a request whose time is over was not served. */
  #shortage (seeker: Seeker): Shortage {
    const now = this.clock.now()
    const { usage } = this.#room(seeker.room)
    const ahead = nextServed(this.#waiting(seeker.room).filter(each => each !== seeker), usage, now)
    return (ahead === undefined ? undefined : decidingRule(seeker, ahead, usage, now)) ?? 'no room'
  }

  #waiting (room: string): Seeker[] {
    return this.waiters.map(({ seeker }) => seeker).filter(each => each.room === room)
  }

  #room (name: string): Room {
    const known = this.#rooms.get(name)
    if (known !== undefined) return known
    const made = new Room()
    this.#rooms.set(name, made)
    return made
  }
}
