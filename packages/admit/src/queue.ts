/**
 * The queue in front of an engine. It decides which request runs next and which is refused. Owns the places in use and
 * the waiting requests; relies on the caller to return each ticket once. It measures how long a request holds a place,
 * but does not limit that time.
 */
import { Err, Ok, type Result } from 'ts-results-es'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'

/** A request that enters the queue. */
export interface Request {
  readonly team: string
  /** When the caller times out, on `Clock.now`. */
  readonly deadline: number
}

/** The right to run a request. It must be returned exactly once. */
export interface Ticket {
  /** Returns the place, which goes to the next waiting request. Further calls have no effect. */
  done (): void
}

/** A ticket or a refusal. */
export type Admission = Result<Ticket, Fault>

/** The bounds of a queue. */
export interface Bounds {
  /** Maximum number of running requests. */
  readonly concurrency: number
  /** Maximum number of waiting requests. */
  readonly queue: number
}

/** Inverse of the weight of the newest sample in the moving average of the hold time of a place. */
const holdTimeSamples = 16

/**
 * Maximum expected wait as a share of the time until the deadline. It is well below 1 since the estimate is rough and
 * the request also needs time to run.
 */
const waitShare = 0.5

/** Assumed hold time before the first place was returned, in ms. */
const initialHoldTimeMs = 1000

interface Waiter {
  readonly team: string
  readonly settle: (admission: Admission) => void
  readonly expiry: Subscription
}

/** The running and waiting requests of a team. */
interface TeamState {
  running: number
  readonly waiting: Waiter[]
}

/**
 * Admission to one upstream. Up to `concurrency` requests run and up to `queue` requests wait; others are refused at
 * once. A free place goes to the waiting team with the fewest running requests relative to its priority.
 *
 * If the queue is full, a request of a team below its share of the queue replaces the newest waiting request of the
 * team furthest above its share. The replaced request is refused at once. A request is also refused at once if its
 * expected wait, by the recent hold times, exceeds half of the time until its deadline.
 */
export class Queue {
  readonly #clock: Clock
  readonly #teams = new Map<string, TeamState>()
  #bounds: Bounds
  #priorities: ReadonlyMap<string, number> = new Map()
  #running = 0
  #waiting = 0
  #closed: 'leaving' | 'not-serving' | undefined
  /** Moving average of the hold time of a place, in ms. Undefined before the first place was returned. */
  #meanHoldTimeMs: number | undefined

  constructor (clock: Clock, bounds: Bounds) {
    this.#clock = clock
    this.#bounds = bounds
  }

  get running (): number {
    return this.#running
  }

  get waiting (): number {
    return this.#waiting
  }

  /**
   * Sets new bounds and priorities. Running and waiting requests are not refused by this.
   * @param priorities weight of each team; a team with a higher value gets more places, and one without a value has 1
   */
  configure (bounds: Bounds, priorities: ReadonlyMap<string, number>): void {
    this.#bounds = bounds
    this.#priorities = priorities
    this.#admitWaiting()
  }

  /** Refuses all waiting and new requests. Running requests continue. */
  close (code: 'leaving' | 'not-serving'): void {
    this.#closed = code
    for (const state of this.#teams.values()) {
      for (const waiter of state.waiting.splice(0)) this.#refuse(waiter, new Fault(code))
    }
  }

  /** Accepts new requests again after `close`. */
  open (): void {
    this.#closed = undefined
  }

  /**
   * Requests a place. Settles at once with a ticket or a refusal, or later when a place is free or the deadline passes.
   */
  enter (request: Request): Promise<Admission> {
    if (this.#closed !== undefined) return settled(Err(new Fault(this.#closed)))
    if (request.deadline <= this.#clock.now()) return settled(Err(new Fault('deadline')))
    if (this.#running < this.#bounds.concurrency && this.#waiting === 0) return settled(Ok(this.#admit(request.team)))
    if (this.#expectedWait(request.team) > waitShare * (request.deadline - this.#clock.now())) return settled(Err(this.#busy()))
    if (this.#waiting >= this.#bounds.queue && !this.#evict(request.team)) return settled(Err(this.#busy()))
    return this.#wait(request)
  }

  /**
   * Expected wait of a request of `team` that arrives now, in ms: the waiting requests of the team, divided by the rate
   * at which the team's share of the places becomes free. 0 before the first place was returned, since no hold time is
   * known.
   */
  #expectedWait (team: string): number {
    if (this.#meanHoldTimeMs === undefined) return 0
    const ahead = this.#teams.get(team)?.waiting.length ?? 0
    const competing = [...this.#teams].filter(([name, state]) => name === team || state.waiting.length > 0)
    const sum = competing.reduce((total, [name]) => total + this.#priority(name), 0)
    const places = this.#bounds.concurrency * this.#priority(team) / Math.max(sum, this.#priority(team))
    return ahead * this.#meanHoldTimeMs / places
  }

  #wait ({ team, deadline }: Request): Promise<Admission> {
    return new Promise(resolve => {
      const expiry = this.#clock.after(deadline - this.#clock.now(), () => {
        this.#remove(waiter)
        this.#refuse(waiter, new Fault('deadline'))
      })
      const waiter: Waiter = { team, settle: resolve, expiry }
      this.#team(team).waiting.push(waiter)
      this.#waiting++
    })
  }

  #admit (team: string): Ticket {
    const state = this.#team(team)
    const since = this.#clock.now()
    state.running++
    this.#running++
    let returned = false
    return {
      done: () => {
        if (returned) return
        returned = true
        state.running--
        this.#running--
        this.#recordHoldTime(this.#clock.now() - since)
        this.#admitWaiting()
      }
    }
  }

  #recordHoldTime (holdTime: number): void {
    this.#meanHoldTimeMs = this.#meanHoldTimeMs === undefined ? holdTime : this.#meanHoldTimeMs + (holdTime - this.#meanHoldTimeMs) / holdTimeSamples
  }

  #admitWaiting (): void {
    while (this.#running < this.#bounds.concurrency && this.#waiting > 0) {
      const waiter = this.#next().waiting.shift() as Waiter
      this.#waiting--
      waiter.expiry.cancel()
      waiter.settle(Ok(this.#admit(waiter.team)))
    }
  }

  /** The team with waiting requests that has the fewest running requests relative to its priority. */
  #next (): TeamState {
    const candidates = [...this.#teams].filter(([, state]) => state.waiting.length > 0)
    candidates.sort(([a, x], [b, y]) => x.running / this.#priority(a) - y.running / this.#priority(b))
    return candidates[0][1]
  }

  /**
   * If `team` is below its share, refuses the newest waiting request of the team furthest above its share. Returns
   * whether it did.
   */
  #evict (team: string): boolean {
    const excess = (name: string, more: number): number => ((this.#teams.get(name)?.waiting.length ?? 0) + more) / this.#priority(name)
    let worst: string | undefined
    for (const [name, state] of this.#teams) {
      if (state.waiting.length === 0) continue
      if (worst === undefined || excess(name, 0) > excess(worst, 0)) worst = name
    }
    if (worst === undefined || worst === team || excess(team, 1) >= excess(worst, 0)) return false
    const waiter = this.#team(worst).waiting.pop() as Waiter
    this.#refuse(waiter, this.#busy())
    return true
  }

  #refuse (waiter: Waiter, fault: Fault): void {
    this.#waiting--
    waiter.expiry.cancel()
    waiter.settle(Err(fault))
  }

  #remove (waiter: Waiter): void {
    const { waiting } = this.#team(waiter.team)
    const index = waiting.indexOf(waiter)
    if (index >= 0) waiting.splice(index, 1)
  }

  /** A refusal whose `Retry-After` is the expected time until the present queue is empty. */
  #busy (): Fault {
    const drainTimeMs = (this.#waiting + 1) * (this.#meanHoldTimeMs ?? initialHoldTimeMs) / this.#bounds.concurrency
    return new Fault('busy', { retryAfter: Math.min(30, Math.max(1, Math.ceil(drainTimeMs / 1000))) })
  }

  #team (team: string): TeamState {
    let state = this.#teams.get(team)
    if (state === undefined) {
      state = { running: 0, waiting: [] }
      this.#teams.set(team, state)
    }
    return state
  }

  #priority (team: string): number {
    return this.#priorities.get(team) ?? 1
  }
}

function settled (admission: Admission): Promise<Admission> {
  return Promise.resolve(admission)
}
