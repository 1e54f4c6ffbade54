/**
 * The places at the heads of the rooms that this gateway keeps for all: the one queue of each room, whose next request gets the next free place. Owns the queues and the
 * grants that no gateway has shown yet, in memory only: a gateway that takes over knows the load by the last heartbeats, and whoever waited asks again or is served locally.
 *
 * The load of a head is what this gateway has in flight there, what each other one has by its newest word, and the grants that this word does not show. A grant that was
 * lost, told back or never used is over with the next heartbeat of its gateway, so no place is lost for longer. Who is next is decided in `@eiderwind/fairness`.
 */
import { type Clock, type Random, type Subscription } from '@eiderwind/clock'
import { TeamUsage, expectedWait, kindOf, nextServed, type Waiting } from '@eiderwind/fairness'
import { type Counts } from './counts.js'
import { Rate } from './rate.js'
import { type Room } from './room.js'

/** A request that waits for a place, as its gateway tells it. Times are on `Clock.now`, in ms. */
export interface Ask extends Waiting {
  /** Whom to answer; `deliver` knows what it means. */
  readonly from: string
  /** By which the asker knows it again. */
  readonly number: number
  /** Upstreams that it must not be sent to. */
  readonly besides: readonly string[]
  /** The data centre from which it is sent. */
  readonly near: string
}

/** What becomes of an ask. */
export type Reply =
  | { readonly place: 'wait', readonly number: number }
  | { readonly place: 'grant', readonly number: number, readonly upstream: string, readonly order: number }
  | { readonly place: 'later', readonly number: number, readonly due: number }

/** A head of a room. */
export interface Head {
  readonly id: string
  readonly dataCentre: string
  /** Requests up to which it has room. */
  readonly capacity: number
  /** For how long it takes no request, by what this gateway knows, in ms. */
  readonly closedFor: number
}

/** What a gateway says of one upstream. */
export interface Word {
  readonly upstream: string
  /** Its requests in flight there. */
  readonly count: number
  /** The last grant that this count may show. */
  readonly seen: number
  /** For how long it leaves the upstream out, in ms. */
  readonly shut?: number | undefined
}

/** Dependencies of `Issuer`. */
export interface IssuerOptions {
  readonly clock: Clock
  /** The heads of a room that take requests, now or by their own word later, full or not. */
  readonly heads: (room: Room) => readonly Head[]
  /** Requests in flight at an upstream from this gateway. */
  readonly inFlight: (upstream: string) => number
  readonly counts: Counts
  readonly deliver: (to: string, reply: Reply) => void
  /** Breaks ties between heads that are equally good. */
  readonly random: Random
}

/** `Ask.from` where the ask is this gateway's own. */
export const ownAsk = ''

/** How long an asker may keep a place before it sends its request there, in ms. */
export const useTime = 100

/** Time after which a word shows a grant, even if its sender does not say that it has seen it, in ms: what is left of it was lost, or is not used any more. */
const lapse = 2 * useTime

/** Time between two looks at a queue in which nothing else has happened, in ms: heads may have opened, and requests have waited too long. */
const lookInterval = 20

/** How long requests have to wait without a break until places given are taken for places that come free, in ms: before, as many were given as asked for. */
const leastBusy = 500

/** Requests on which the expected wait is computed at most; of a longer queue a part stands for the whole. */
const sample = 64

/** How long an expected wait holds for requests alike, and by how much their patience may differ, in ms. */
const expectationTime = 20
const patienceStep = 100

/** Added to the cost of a head in another data centre: half a request in flight. */
const distanceCost = 0.5

/** Greatest random part of a cost, so that equal heads are taken in turn. */
const tieBreak = 0.1

/** A refused caller is told a time only if the queue takes longer than this, in ms: a usual refusal tells as much. */
const usualReturn = 900

/** How long an empty queue is kept, in ms: what its teams usually ask for is learnt over minutes. */
const keptFor = 600_000

/** Numbers of grants begin with the wall time at the start, so that those of a later life are higher. */
const grantsPerMillisecond = 1000

interface Grant {
  readonly order: number
  readonly to: string
  readonly upstream: string
  readonly at: number
}

/** How long a request of some kind would have waited at a moment, and how many of the kind have come since. */
interface Expectation {
  readonly wait: number
  readonly at: number
  since: number
}

/** The queue of a room. */
interface Queue {
  readonly room: Room
  readonly waiting: Ask[]
  /** When a request asked last, and since when there is always one that waits, on `Clock.now`. */
  usedAt: number
  busySince: number | undefined
  readonly usage: TeamUsage
  /** Places given a second, by the priority of who got them. */
  readonly rates: Map<number, Rate>
  readonly expected: Map<string, Expectation>
  timer: Subscription | undefined
}

/** Issues places. */
export class Issuer {
  readonly #options: IssuerOptions
  readonly #queues = new Map<string, Queue>()
  /** Grants that are not shown yet, by the gateway that has them. */
  readonly #grants = new Map<string, Grant[]>()
  /** How many those are, by upstream. */
  readonly #granted = new Map<string, number>()
  /** Until when an upstream is left out by the word of a gateway that it refused. */
  readonly #shut = new Map<string, number>()
  #order: number
  /** Asks taken, places given and asks refused. */
  asked = 0
  given = 0
  refused = 0

  constructor (options: IssuerOptions) {
    this.#options = options
    this.#order = Math.floor(options.clock.wall()) * grantsPerMillisecond
  }

  /** Requests that wait here. */
  get waiting (): number {
    return [...this.#queues.values()].reduce((sum, { waiting }) => sum + waiting.length, 0)
  }

  /** Answers at once: with a place, that there is none in time, or that the request waits. One that waits gets another answer later. */
  ask (room: Room, ask: Ask): void {
    const { clock, deliver } = this.#options
    const queue = this.#queue(room)
    const now = clock.now()
    this.asked++
    queue.usedAt = now
    if (!this.#drop(queue, ask.from, ask.number)) queue.usage.asked(ask.team, ask.work, now)
    queue.waiting.push(ask)
    this.#serve(queue)
    if (!queue.waiting.includes(ask)) return
    if (now + Math.max(this.#closedFor(queue, now), this.#expected(queue, ask, now)) > ask.until) this.#refuse(queue, ask, now)
    else deliver(ask.from, { place: 'wait', number: ask.number })
  }

  /** Ends an ask that its gateway no longer needs. */
  drop (room: Room, from: string, number: number): void {
    const queue = this.#queues.get(room.key)
    if (queue !== undefined) this.#drop(queue, from, number)
  }

  /** Takes what a gateway says of an upstream: a place may have come free there. */
  hear (room: Room, from: string, { upstream, count, seen, shut }: Word): void {
    const { clock, counts } = this.#options
    if (from !== ownAsk) counts.set(from, upstream, count)
    if (shut !== undefined) this.#shut.set(upstream, clock.now() + shut)
    this.#shown(from, grant => grant.upstream === upstream && (grant.order <= seen || this.#hasLapsed(grant)))
    this.serve(room)
  }

  /** Takes that the counts of a gateway's heartbeat are known. @param seen the last of this gateway's grants that they may show */
  heard (from: string, seen: number | undefined): void {
    this.#shown(from, grant => (seen !== undefined && grant.order <= seen) || this.#hasLapsed(grant))
  }

  /** Takes that an own request uses its place, or does not need it. */
  settle (order: number): void {
    this.#shown(ownAsk, grant => grant.order === order)
  }

  /** Gives the places that are free now to those that wait. To be called when something has changed. */
  serve ({ key }: Room): void {
    const queue = this.#queues.get(key)
    if (queue !== undefined && queue.waiting.length > 0) this.#serve(queue)
  }

  /** The same in all rooms. */
  serveAll (): void {
    for (const { room } of this.#queues.values()) this.serve(room)
  }

  /** Forgets what is over. */
  forget (isLive: (gateway: string) => boolean): void {
    const now = this.#options.clock.now()
    for (const from of [...this.#grants.keys()]) this.#shown(from, () => from !== ownAsk && !isLive(from))
    for (const [upstream, until] of this.#shut) if (until <= now) this.#shut.delete(upstream)
    for (const [key, { waiting, usedAt }] of this.#queues) if (waiting.length === 0 && now - usedAt > keptFor) this.#queues.delete(key)
  }

  #queue (room: Room): Queue {
    const known = this.#queues.get(room.key)
    if (known !== undefined) return known
    const queue: Queue = { room, waiting: [], usedAt: 0, busySince: undefined, usage: new TeamUsage(), rates: new Map(), expected: new Map(), timer: undefined }
    this.#queues.set(room.key, queue)
    return queue
  }

  #serve (queue: Queue): void {
    const now = this.#options.clock.now()
    this.#expire(queue, now)
    const heads = this.#options.heads(queue.room).filter(head => this.#closedTime(head, now) === 0)
    let candidates: readonly Ask[] = queue.waiting
    while (candidates.length > 0) {
      const open = heads.filter(({ id, capacity }) => this.#load(id) < capacity)
      if (open.length === 0) break
      const next = nextServed(candidates, queue.usage, now)
      if (next === undefined) break
      const head = this.#best(open, next)
      candidates = candidates.filter(each => each !== next)
      if (head !== undefined) this.#grant(queue, next, head, now)
    }
    this.#schedule(queue)
  }

  #best (heads: readonly Head[], { besides, near }: Ask): Head | undefined {
    const { random } = this.#options
    let best: Head | undefined
    let least = Infinity
    for (const head of heads) {
      if (besides.includes(head.id)) continue
      const cost = this.#load(head.id) + (head.dataCentre === near ? 0 : distanceCost) + random() * tieBreak
      if (cost >= least) continue
      best = head
      least = cost
    }
    return best
  }

  #grant (queue: Queue, ask: Ask, { id: upstream }: Head, now: number): void {
    const { from: to, number, team, work } = ask
    const grant = { order: ++this.#order, to, upstream, at: now }
    this.#drop(queue, to, number)
    queue.usage.served(team, work, now, kindOf(ask, now))
    const rate = queue.rates.get(ask.priority) ?? new Rate()
    queue.rates.set(ask.priority, rate)
    rate.add(now)
    this.#grants.set(to, [...this.#grants.get(to) ?? [], grant])
    this.#granted.set(upstream, (this.#granted.get(upstream) ?? 0) + 1)
    this.given++
    this.#options.deliver(to, { place: 'grant', number, upstream, order: grant.order })
  }

  #refuse (queue: Queue, ask: Ask, now: number): void {
    this.#drop(queue, ask.from, ask.number)
    this.refused++
    this.#options.deliver(ask.from, { place: 'later', number: ask.number, due: this.#return(queue, now) })
  }

  /** When a refused caller should come back, in ms: once those that wait now are served; 0 where that is soon, or not known. */
  #return (queue: Queue, now: number): number {
    const rate = rateFor(queue.rates, -Infinity, now)
    const time = rate === undefined ? 0 : (queue.waiting.length + 1) / rate * 1000
    return Math.max(time > usualReturn ? time : 0, this.#closedFor(queue, now))
  }

  /** Time until the first head of a room takes requests, in ms; 0 where one does now, or none is known. */
  #closedFor ({ room }: Queue, now: number): number {
    const times = this.#options.heads(room).map(head => this.#closedTime(head, now))
    return times.length === 0 ? 0 : Math.min(...times)
  }

  /** Time until a head takes requests, by what this gateway knows and the others have told, in ms. */
  #closedTime ({ id, closedFor }: Head, now: number): number {
    return Math.max(closedFor, (this.#shut.get(id) ?? 0) - now, 0)
  }

  /**
   * In how many ms a request that has just come would be served; 0 while it is not known how fast places come free. The more urgent ones go on coming: what they got
   * lately is not there for it.
   */
  #expected (queue: Queue, ask: Ask, now: number): number {
    const rate = rateFor(queue.rates, ask.priority, now)
    if (rate === undefined || queue.busySince === undefined || now - queue.busySince < leastBusy) return 0
    const alike = `${kindOf(ask, now)} ${Math.round((ask.until - now) / patienceStep)} ${ask.team}`
    const known = queue.expected.get(alike)
    if (known !== undefined && now - known.at < expectationTime) return known.wait + ++known.since / rate * 1000
    const rivals = queue.waiting.filter(each => each.priority >= ask.priority)
    const each = Math.ceil(rivals.length / sample)
    const part = each === 1 ? rivals : rivals.filter((_ask, index) => index % each === 0)
    const wait = expectedWait(ask, part, queue.usage, rate / each, now)
    queue.expected.set(alike, { wait, at: now, since: 0 })
    return wait
  }

  /** Those that have waited as long as they can are refused. */
  #expire (queue: Queue, now: number): void {
    for (const ask of queue.waiting.filter(each => each.until <= now)) this.#refuse(queue, ask, now)
  }

  /** Returns whether it waited. */
  #drop (queue: Queue, from: string, number: number): boolean {
    const index = queue.waiting.findIndex(each => each.from === from && each.number === number)
    if (index >= 0) queue.waiting.splice(index, 1)
    return index >= 0
  }

  #schedule (queue: Queue): void {
    if (queue.waiting.length > 0) queue.busySince ??= this.#options.clock.now()
    else {
      queue.busySince = undefined
      queue.timer?.cancel()
      queue.timer = undefined
      return
    }
    queue.timer ??= this.#options.clock.after(lookInterval, () => {
      queue.timer = undefined
      this.#serve(queue)
    })
  }

  #load (upstream: string): number {
    const { inFlight, counts } = this.#options
    return inFlight(upstream) + counts.of(upstream) + (this.#granted.get(upstream) ?? 0)
  }

  /** Ends the grants of a gateway that its counts show now. */
  #shown (gateway: string, isShown: (grant: Grant) => boolean): void {
    const grants = this.#grants.get(gateway)
    if (grants === undefined) return
    const left = grants.filter(grant => !isShown(grant))
    for (const grant of grants) if (!left.includes(grant)) this.#release(grant.upstream)
    if (left.length > 0) this.#grants.set(gateway, left)
    else this.#grants.delete(gateway)
  }

  #hasLapsed ({ at }: Grant): boolean {
    return this.#options.clock.now() - at >= lapse
  }

  #release (upstream: string): void {
    const left = (this.#granted.get(upstream) ?? 1) - 1
    if (left > 0) this.#granted.set(upstream, left)
    else this.#granted.delete(upstream)
  }
}

/** Places that come free a second for requests of a priority and less urgent ones; undefined where it is not known. */
function rateFor (rates: ReadonlyMap<number, Rate>, priority: number, now: number): number | undefined {
  const all = [...rates].map(([urgency, rate]) => ({ urgency, rate: rate.at(now) }))
  if (all.every(({ rate }) => rate === undefined)) return undefined
  return all.reduce((sum, { urgency, rate = 0 }) => urgency >= priority ? sum + rate : sum, 0)
}
