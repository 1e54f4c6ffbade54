/**
 * A queue in the order of `@eiderwind/fairness`, which depends on the shares of teams, lateness and urgency. Owns the
 * recent usage and the rate of free places of each room, in memory only. A request that would not be served within its
 * wait is refused at once.
 */
import { PlaceRate, TeamUsage, decidingRule, expectedWait, kindOf, maxRate, nextServed, servingOrder } from '@eiderwind/fairness'
import { Queue, type QueuedRequest, type Shortage, type WaitHandlers } from './queue.js'

/** The recent usage and the rate of free places of a room. */
class RoomHistory {
  readonly usage = new TeamUsage()
  readonly rate = new PlaceRate()
}

/** A queue that divides room fairly between teams. */
export class FairQueue extends Queue {
  readonly #rooms = new Map<string, RoomHistory>()

  override get teamsAboveShare (): number {
    const now = this.clock.now()
    return new Set([...this.#rooms.values()].flatMap(({ usage }) => usage.teamsAboveShare(now))).size
  }

  override wait<Value> (request: QueuedRequest, find: () => Value | undefined, handlers: WaitHandlers = {}): Promise<Value | undefined> {
    const now = this.clock.now()
    const room = this.#room(request.room)
    if (!request.attempted) room.usage.recordRequest(request.team, request.work, now)
    const others = this.#waiting(request.room)
    const findAndRecord = (): Value | undefined => this.#recordServed(request, find())
    if (others.length === 0 || request.orderedElsewhere === true || request.until <= now) {
      const found = findAndRecord()
      if (found !== undefined || request.until <= now) return Promise.resolve(found)
    } else if (this.#wouldTimeOut(request, others)) {
      handlers.onShortage?.('queue too long')
      return Promise.resolve(undefined)
    }
    const waited = this.enqueue(request, findAndRecord, handlers, () => handlers.onShortage?.(this.#shortage(request)))
    if (others.length > 0) this.#serve(request.room)
    return waited
  }

  override wake (): void {
    for (const room of new Set(this.waiters.map(({ request }) => request.room))) this.#serve(room)
  }

  /** Lets the requests that wait for a room search for a place, in serving order. */
  #serve (name: string): void {
    const { usage } = this.#room(name)
    let remaining = this.waiters.filter(({ request }) => request.room === name)
    for (let served = true; served;) {
      served = false
      const byRequest = new Map(remaining.map(each => [each.request, each]))
      for (const request of servingOrder([...byRequest.keys()], usage, this.clock.now())) {
        const waiter = byRequest.get(request)
        remaining = remaining.filter(each => each !== waiter)
        served = waiter?.retry() ?? false
        // A served request changes the order of the others.
        if (served) break
      }
    }
  }

  /**
   * Returns `found`, and counts the request as served if `found` is a place. A string is the reason why waiting is
   * useless.
   */
  #recordServed<Value> (request: QueuedRequest, found: Value | undefined): Value | undefined {
    if (found === undefined || typeof found === 'string') return found
    const now = this.clock.now()
    const { usage, rate } = this.#room(request.room)
    usage.recordServed(request.team, request.work, now, kindOf(request, now))
    rate.recordTaken(this.#waiting(request.room).length > 0, now)
    return found
  }

  /** Whether the wait of a request would end before it is served, even if places become free faster than is likely. */
  #wouldTimeOut (request: QueuedRequest, others: readonly QueuedRequest[]): boolean {
    const now = this.clock.now()
    const { usage, rate } = this.#room(request.room)
    const known = rate.rateAt(now)
    if (known === undefined) return false
    return expectedWait(request, others, usage, maxRate(known, request.until - now), now) === Infinity
  }

  /** Why a request whose wait has ended was not served. */
  #shortage (request: QueuedRequest): Shortage {
    const now = this.clock.now()
    const { usage } = this.#room(request.room)
    const next = nextServed(this.#waiting(request.room).filter(each => each !== request), usage, now)
    return (next === undefined ? undefined : decidingRule(request, next, usage, now)) ?? 'no room'
  }

  #waiting (room: string): QueuedRequest[] {
    return this.waiters.map(({ request }) => request).filter(each => each.room === room)
  }

  #room (name: string): RoomHistory {
    const known = this.#rooms.get(name)
    if (known !== undefined) return known
    const created = new RoomHistory()
    this.#rooms.set(name, created)
    return created
  }
}
