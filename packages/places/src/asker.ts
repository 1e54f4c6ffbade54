/**
 * The places that requests of this gateway need where room is contended: asked of the gateway that issues them, one ask at a time for each request. Owns the claims that
 * wait, and which issuers leave asks unanswered. Relies on `Issuer` where this gateway issues them itself, and on datagrams else, which may be lost: a request whose ask
 * is not answered in time goes on as if nothing was contended.
 */
import { type Clock, type Random, type Subscription } from '@eiderwind/clock'
import { type Waiting } from '@eiderwind/fairness'
import { type Contention } from './contention.js'
import { ownAsk, useTime, type Issuer, type Reply, type Word } from './issuer.js'
import { type PlaceMessage } from './messages.js'
import { type Room } from './room.js'

/** What a request needs. Times are on `Clock.now`, in ms. */
export interface Wish extends Waiting {
  readonly room: Room
  /** When it waits no longer if it looks for room alone. */
  readonly aloneUntil: number
  /** The time within which its caller should have an answer, in ms. */
  readonly objective: number
  /** The upstreams that it cannot be sent to. */
  readonly besides: () => readonly string[]
}

type State = 'none' | 'asking' | 'placed' | 'refused' | 'alone'

/** A request that may need a place. */
export class Claim {
  readonly wish: Wish
  state: State = 'none'
  /** The ask that is under way. */
  number = 0
  /** Where it has a place, by which grant of which gateway, and until when; which gateway refused it. */
  upstream = ''
  order = 0
  issuer: string | undefined
  until = 0
  /** When its caller should come back, once it is refused, in ms; 0: as after any refusal. */
  due = 0
  /** Asks whose place could not be used. */
  failed = 0

  constructor (wish: Wish) {
    this.wish = wish
  }
}

/** What a request should do: look for room by itself, wait, go to an upstream, or give up and come back in `due` ms (0: as after any refusal). */
export type Finding =
  | { readonly kind: 'alone' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'place', readonly upstream: string }
  | { readonly kind: 'refused', readonly due: number, readonly by: string }

/** Dependencies of `Asker`. */
export interface AskerOptions {
  readonly clock: Clock
  /** The id of this gateway. */
  readonly id: string
  readonly contention: Contention
  readonly issuer: Issuer
  /** The id of the gateway that issues the places of a room; undefined where that is this one. */
  readonly owner: (room: string) => string | undefined
  /** Sends a message to another gateway. */
  readonly post: (gateway: string, message: PlaceMessage) => void
  /** Requests in flight at an upstream from this gateway, and those about to be sent there. */
  readonly inFlight: (upstream: string) => number
  /** The data centre of this gateway. */
  readonly dataCentre: string
  /** Called when requests that wait should look again. */
  readonly wake: () => void
  /** Draws the number of the first ask: numbers of an earlier life of this gateway must not fit. */
  readonly random: Random
}

/** Time within which another gateway answers, in ms: many times the way there and back; and as a part of the objective, if that is less. After half of it an ask is sent again. */
const replyTime = 50
const replyShare = 0.25

/** What is left of a request's wait for the way of an ask and of its place, in ms. */
const wayTime = 5

/** Unanswered asks in a row after which an issuer is not asked for a while, and how long that is, in ms: within it, a gateway that ended counts as gone. */
const mostUnanswered = 3
const restTime = 1000

/** Places that a request does not use, since it cannot be sent there, before it looks alone. */
const mostFailed = 2

/** How long the last grant of an issuer is told in heartbeats, in ms. */
const tellTime = 5000

/** Numbers of asks are drawn below this at the start. */
const firstNumbers = 2 ** 40

interface OpenAsk {
  readonly claim: Claim
  readonly owner: string | undefined
  answered: boolean
  timer: Subscription | undefined
}

interface Seen {
  readonly order: number
  readonly at: number
}

interface Silence {
  unanswered: number
  until: number
}

/** Asks for places. */
export class Asker {
  readonly #options: AskerOptions
  readonly #asks = new Map<number, OpenAsk>()
  /** The last grant of each issuer. */
  readonly #seen = new Map<string, Seen>()
  readonly #silences = new Map<string, Silence>()
  #number: number
  #wakes = false
  /** Asks made, places received, refusals received, and requests that looked for room alone since no issuer answered. */
  asked = 0
  received = 0
  refused = 0
  alone = 0

  constructor (options: AskerOptions) {
    this.#options = options
    this.#number = Math.floor(options.random() * firstNumbers)
  }

  /** Whether places of a room are asked for now. */
  isContended (room: Room): boolean {
    return this.#options.contention.has(room)
  }

  claim (wish: Wish): Claim {
    return new Claim(wish)
  }

  /** What a request should do now. Asks for a place where one is needed. */
  find (claim: Claim): Finding {
    if (claim.state === 'placed' && this.#options.clock.now() > claim.until) this.reject(claim)
    if (claim.state === 'none' && this.isContended(claim.wish.room)) this.#ask(claim)
    switch (claim.state) {
      case 'placed': return { kind: 'place', upstream: claim.upstream }
      case 'refused': return { kind: 'refused', due: claim.due, by: claim.issuer ?? this.#options.id }
      case 'asking': return { kind: 'wait' }
      default: return { kind: 'alone' }
    }
  }

  /** Takes that a request looked for room alone and found none. Returns whether it should look again, since it may ask now. */
  lacked ({ state, wish: { room } }: Claim): boolean {
    const wasContended = this.isContended(room)
    this.#options.contention.met(room)
    return state === 'none' && !wasContended
  }

  /** Whether a request that looks alone has waited as long as it would without a queue for all. */
  isOver ({ state, wish: { aloneUntil } }: Claim): boolean {
    return state === 'alone' && this.#options.clock.now() >= aloneUntil
  }

  /** Takes that a request is sent to its place now, and counts there. */
  use (claim: Claim): void {
    claim.state = 'none'
    if (claim.issuer === undefined) this.#options.issuer.settle(claim.order)
  }

  /** Takes that a request cannot be sent to its place: it is told back, and another one is asked for. */
  reject (claim: Claim): void {
    this.#tellBack(claim)
    claim.state = ++claim.failed < mostFailed ? 'none' : 'alone'
  }

  /** Ends what is under way for a request that waits no longer. */
  release (claim: Claim): void {
    if (claim.state === 'placed') this.#tellBack(claim)
    if (claim.state === 'asking') this.#drop(claim)
    claim.state = 'alone'
  }

  /** Takes the answer to an ask. @param from the gateway that sent it; undefined: this one */
  answered (from: string | undefined, reply: Reply): void {
    const { contention } = this.#options
    if (reply.place === 'grant' && from !== undefined) this.#seen.set(from, { order: reply.order, at: this.#options.clock.now() })
    const ask = this.#asks.get(reply.number)
    if (from !== undefined) this.#silences.delete(from)
    if (ask === undefined) return this.#unclaimed(from, reply)
    const { claim } = ask
    ask.answered = true
    ask.timer?.cancel()
    if (reply.place === 'wait') {
      ask.timer = this.#options.clock.after(claim.wish.until - this.#options.clock.now() + replyTime, () => { this.#asks.delete(reply.number) })
      return
    }
    this.#asks.delete(reply.number)
    if (reply.place === 'grant') this.#placed(claim, from, reply.upstream, reply.order)
    else {
      contention.met(claim.wish.room)
      claim.state = 'refused'
      claim.issuer = from
      claim.due = reply.due
      this.refused++
    }
    this.#wakeSoon()
  }

  /** What the other gateways hear: the last grant of each issuer. */
  get seen (): Record<string, number> {
    const since = this.#options.clock.now() - tellTime
    for (const [id, { at }] of this.#seen) if (at < since) this.#seen.delete(id)
    return Object.fromEntries([...this.#seen].map(([id, { order }]) => [id, order]))
  }

  /** Tells the issuer of a room what this gateway has in flight at an upstream now. @param shut for how long it leaves it out, in ms */
  tell (room: Room, upstream: string, shut?: number): void {
    this.#tell(this.#options.owner(room.key), room, upstream, shut)
  }

  #tell (issuer: string | undefined, room: Room, upstream: string, shut?: number): void {
    const word: Word = { upstream, count: this.#options.inFlight(upstream), seen: issuer === undefined ? 0 : this.#seen.get(issuer)?.order ?? 0, shut }
    if (issuer === undefined) this.#options.issuer.hear(room, ownAsk, word)
    else this.#options.post(issuer, { place: 'count', service: room.service, model: room.model, ...word })
  }

  #ask (claim: Claim): void {
    const { clock, issuer, owner: ownerOf, post, dataCentre: near } = this.#options
    const { room, priority, team, work, arrivedAt, inTimeUntil, until, besides, again, early } = claim.wish
    const owner = ownerOf(room.key)
    if (owner !== undefined && this.#isSilent(owner)) return this.#goAlone(claim)
    const number = ++this.#number
    this.asked++
    claim.state = 'asking'
    claim.number = number
    const ask: OpenAsk = { claim, owner, answered: false, timer: undefined }
    this.#asks.set(number, ask)
    if (owner === undefined) {
      issuer.ask(room, { from: ownAsk, number, priority, team, work, arrivedAt, inTimeUntil, until, besides: besides(), near, again, early })
    } else {
      const half = Math.min(replyTime, claim.wish.objective * replyShare) / 2
      const send = (): void => {
        const now = clock.now()
        post(owner, { place: 'ask', service: room.service, model: room.model, number, priority, team, work, age: Math.max(0, now - arrivedAt), timely: inTimeUntil - now, patience: Math.max(0, until - now - wayTime), besides: [...besides()], near, again, early })
      }
      ask.timer = clock.after(half, () => {
        send()
        ask.timer = clock.after(half, () => this.#unanswered(number, owner))
      })
      send()
    }
  }

  #unanswered (number: number, owner: string): void {
    const ask = this.#asks.get(number)
    if (ask === undefined) return
    const silence = this.#silences.get(owner) ?? { unanswered: 0, until: -Infinity }
    silence.unanswered++
    if (silence.unanswered >= mostUnanswered) silence.until = this.#options.clock.now() + restTime
    this.#silences.set(owner, silence)
    this.#drop(ask.claim)
    this.#goAlone(ask.claim)
    this.#wakeSoon()
  }

  /** Has who waits look again once what is going on now is done: an own ask is answered within the look of its request. */
  #wakeSoon (): void {
    if (this.#wakes) return
    this.#wakes = true
    queueMicrotask(() => {
      this.#wakes = false
      this.#options.wake()
    })
  }

  #isSilent (owner: string): boolean {
    return (this.#silences.get(owner)?.until ?? -Infinity) > this.#options.clock.now()
  }

  #goAlone (claim: Claim): void {
    const { clock, wake } = this.#options
    claim.state = 'alone'
    this.alone++
    const left = claim.wish.aloneUntil - clock.now()
    if (left > 0) clock.after(left, wake)
  }

  #drop ({ number, wish: { room } }: Claim): void {
    const { issuer, post } = this.#options
    const ask = this.#asks.get(number)
    if (ask === undefined) return
    ask.timer?.cancel()
    this.#asks.delete(number)
    if (ask.owner === undefined) issuer.drop(room, ownAsk, number)
    else post(ask.owner, { place: 'drop', service: room.service, model: room.model, number })
  }

  #placed (claim: Claim, issuer: string | undefined, upstream: string, order: number): void {
    this.received++
    Object.assign(claim, { state: 'placed', issuer, upstream, order, until: this.#options.clock.now() + useTime })
  }

  #tellBack ({ issuer, order, upstream, wish: { room } }: Claim): void {
    if (issuer === undefined) {
      this.#options.issuer.settle(order)
      this.#options.issuer.serve(room)
    } else this.#tell(issuer, room, upstream)
  }

  /** A place that came too late. That of another gateway is over with the next heartbeat, which says that it was seen. */
  #unclaimed (from: string | undefined, reply: Reply): void {
    if (reply.place === 'grant' && from === undefined) this.#options.issuer.settle(reply.order)
  }
}
