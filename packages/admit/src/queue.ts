/**
 * The queue before an engine: which request runs next, and which is refused. Owns the places that are taken and the requests
 * that wait; relies on its caller to return each ticket once. Order and bounds are decided here, the time at the engine is only
 * observed.
 */
import { Err, Ok, type Result } from 'ts-results-es'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'

/** What a request brings to the queue. */
export interface Request {
  readonly team: string
  /** When the caller gives up, on `Clock.now`. */
  readonly deadline: number
}

/** The right to run. It must be returned exactly once. */
export interface Ticket {
  /** Gives the place to the next in the queue. Calling it again does nothing. */
  done (): void
}

/** The outcome of an entry into the queue. */
export type Admission = Result<Ticket, Fault>

/** The bounds of a queue. */
export interface Bounds {
  /** Requests that run at once. */
  readonly concurrency: number
  /** Requests that wait. */
  readonly queue: number
}

/** One of how many the newest time is in the running mean of the time that a place is held. */
const spellWeight = 16

/** The share of its time that a request may be expected to wait: the estimate is rough, and running takes time too. */
const waitShare = 0.5

/** How long a place is taken to be held before one was returned, in ms. */
const firstSpell = 1000

interface Waiter {
  readonly team: string
  readonly settle: (admission: Admission) => void
  readonly expiry: Subscription
}

/** A team's place in the weighing. */
interface Share {
  running: number
  readonly waiting: Waiter[]
}

/**
 * Admission to one upstream: so many requests run, so many wait, the rest are refused at once. A free place goes to
 * the waiting team that has least running for its priority. When the queue is full, a team below its share of the
 * queue takes the place of the newest waiter of the team furthest above its own; that one is refused at once. So is
 * a request that would, by the time that places were held of late, wait for more than half of the time that it has.
 */
export class Queue {
  readonly #clock: Clock
  readonly #shares = new Map<string, Share>()
  #bounds: Bounds
  #priorities: ReadonlyMap<string, number> = new Map()
  #running = 0
  #waiting = 0
  #closed: 'leaving' | 'not-serving' | undefined
  /** Running mean of the time that a place is held, in ms; undefined until one was returned. */
  #spell: number | undefined

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

  /** Takes other bounds and priorities from now on. What runs or waits already is left alone. */
  configure (bounds: Bounds, priorities: ReadonlyMap<string, number>): void {
    this.#bounds = bounds
    this.#priorities = priorities
    this.#fill()
  }

  /** Refuses everything new from now on, and what waits as well; what runs goes on. */
  close (code: 'leaving' | 'not-serving'): void {
    this.#closed = code
    for (const share of this.#shares.values()) {
      for (const waiter of share.waiting.splice(0)) this.#refuse(waiter, new Fault(code))
    }
  }

  /** Takes new work again after `close`. */
  open (): void {
    this.#closed = undefined
  }

  /** Asks for a place. Settles at once with a ticket or a refusal, or later when a place is free or the deadline passes. */
  enter (request: Request): Promise<Admission> {
    if (this.#closed !== undefined) return settled(Err(new Fault(this.#closed)))
    if (request.deadline <= this.#clock.now()) return settled(Err(new Fault('deadline')))
    if (this.#running < this.#bounds.concurrency && this.#waiting === 0) return settled(Ok(this.#admit(request.team)))
    if (this.#expectedWait(request.team) > waitShare * (request.deadline - this.#clock.now())) return settled(Err(this.#busy()))
    if (this.#waiting >= this.#bounds.queue && !this.#displace(request.team)) return settled(Err(this.#busy()))
    return this.#wait(request)
  }

  /**
   * How long a request of `team` that comes now will wait, in ms: what waits before it, at the rate at which the team's
   * share of the places comes free. 0 until a place has come free, since nothing is known then.
   */
  #expectedWait (team: string): number {
    if (this.#spell === undefined) return 0
    const ahead = this.#shares.get(team)?.waiting.length ?? 0
    const rivals = [...this.#shares].filter(([name, share]) => name === team || share.waiting.length > 0)
    const sum = rivals.reduce((total, [name]) => total + this.#priority(name), 0)
    const places = this.#bounds.concurrency * this.#priority(team) / Math.max(sum, this.#priority(team))
    return ahead * this.#spell / places
  }

  #wait ({ team, deadline }: Request): Promise<Admission> {
    return new Promise(resolve => {
      const expiry = this.#clock.after(deadline - this.#clock.now(), () => {
        this.#remove(waiter)
        this.#refuse(waiter, new Fault('deadline'))
      })
      const waiter: Waiter = { team, settle: resolve, expiry }
      this.#share(team).waiting.push(waiter)
      this.#waiting++
    })
  }

  #admit (team: string): Ticket {
    const share = this.#share(team)
    const since = this.#clock.now()
    share.running++
    this.#running++
    let returned = false
    return {
      done: () => {
        if (returned) return
        returned = true
        share.running--
        this.#running--
        this.#measure(this.#clock.now() - since)
        this.#fill()
      }
    }
  }

  #measure (span: number): void {
    this.#spell = this.#spell === undefined ? span : this.#spell + (span - this.#spell) / spellWeight
  }

  #fill (): void {
    while (this.#running < this.#bounds.concurrency && this.#waiting > 0) {
      const waiter = this.#next().waiting.shift() as Waiter
      this.#waiting--
      waiter.expiry.cancel()
      waiter.settle(Ok(this.#admit(waiter.team)))
    }
  }

  /** The share with somebody waiting that has least running for its priority. */
  #next (): Share {
    const hungry = [...this.#shares].filter(([, share]) => share.waiting.length > 0)
    hungry.sort(([a, x], [b, y]) => x.running / this.#priority(a) - y.running / this.#priority(b))
    return hungry[0][1]
  }

  /** Makes room for `team` by refusing the newest waiter of the team furthest above its share, if `team` is below its own. */
  #displace (team: string): boolean {
    const excess = (name: string, more: number): number => ((this.#shares.get(name)?.waiting.length ?? 0) + more) / this.#priority(name)
    let worst: string | undefined
    for (const [name, share] of this.#shares) {
      if (share.waiting.length === 0) continue
      if (worst === undefined || excess(name, 0) > excess(worst, 0)) worst = name
    }
    if (worst === undefined || worst === team || excess(team, 1) >= excess(worst, 0)) return false
    const waiter = this.#share(worst).waiting.pop() as Waiter
    this.#refuse(waiter, this.#busy())
    return true
  }

  #refuse (waiter: Waiter, fault: Fault): void {
    this.#waiting--
    waiter.expiry.cancel()
    waiter.settle(Err(fault))
  }

  #remove (waiter: Waiter): void {
    const { waiting } = this.#share(waiter.team)
    const index = waiting.indexOf(waiter)
    if (index >= 0) waiting.splice(index, 1)
  }

  /** A refusal that says when the present queue should have run off. */
  #busy (): Fault {
    const off = (this.#waiting + 1) * (this.#spell ?? firstSpell) / this.#bounds.concurrency
    return new Fault('busy', { retryAfter: Math.min(30, Math.max(1, Math.ceil(off / 1000))) })
  }

  #share (team: string): Share {
    let share = this.#shares.get(team)
    if (share === undefined) {
      share = { running: 0, waiting: [] }
      this.#shares.set(team, share)
    }
    return share
  }

  #priority (team: string): number {
    return this.#priorities.get(team) ?? 1
  }
}

function settled (admission: Admission): Promise<Admission> {
  return Promise.resolve(admission)
}
