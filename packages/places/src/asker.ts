/**
 * The places that requests of this gateway need where room is contended: asked of the gateway that issues them, one ask at a time for each request. Owns the asks that are
 * under way. Relies on `Issuer` where this gateway issues them itself, and on datagrams else, which may be lost: a request whose ask is not answered in time goes on as if
 * nothing was contended.
 */
import { type Clock, type Random, type Subscription } from '@eiderwind/clock'
import { ownAsk, useTime, type Ask, type Reply, type Word } from './ask.js'
import { Claim, type Finding, type Wish } from './claim.js'
import { type Contention } from './contention.js'
import { type Issuer } from './issuer.js'
import { Issuers } from './issuers.js'
import { askMessage, type PlaceMessage } from './messages.js'
import { type Room } from './room.js'

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

/** Places that a request does not use, since it cannot be sent there, before it looks alone. */
const mostFailed = 2

/** Numbers of asks are drawn below this at the start. */
const firstNumbers = 2 ** 40

interface OpenAsk {
  readonly claim: Claim
  readonly owner: string | undefined
  timer: Subscription | undefined
}

/** Asks for places. */
export class Asker {
  readonly #options: AskerOptions
  readonly #asks = new Map<number, OpenAsk>()
  readonly #issuers: Issuers
  #number: number
  #wakes = false
  /** Asks made, places received, refusals received, and requests that looked for room alone since no issuer answered. */
  asked = 0
  received = 0
  refused = 0
  alone = 0

  constructor (options: AskerOptions) {
    this.#options = options
    this.#issuers = new Issuers(options.clock)
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
    const { clock, contention } = this.#options
    if (from !== undefined) this.#issuers.answered(from, reply.place === 'grant' ? reply.order : undefined)
    const ask = this.#asks.get(reply.number)
    if (ask === undefined) return this.#unclaimed(from, reply)
    const { claim } = ask
    ask.timer?.cancel()
    if (reply.place === 'wait') {
      ask.timer = clock.after(claim.wish.until - clock.now() + replyTime, () => { this.#asks.delete(reply.number) })
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
    return this.#issuers.lastGrants
  }

  /** Tells the issuer of a room what this gateway has in flight at an upstream now. @param shut for how long it leaves it out, in ms */
  tell (room: Room, upstream: string, shut?: number): void {
    this.#tell(this.#options.owner(room.key), room, upstream, shut)
  }

  #tell (issuer: string | undefined, room: Room, upstream: string, shut?: number): void {
    const word: Word = { upstream, count: this.#options.inFlight(upstream), seen: issuer === undefined ? 0 : this.#issuers.lastGrant(issuer), shut }
    if (issuer === undefined) this.#options.issuer.hear(room, ownAsk, word)
    else this.#options.post(issuer, { place: 'count', service: room.service, model: room.model, ...word })
  }

  #ask (claim: Claim): void {
    const { issuer, owner: ownerOf } = this.#options
    const { room } = claim.wish
    const owner = ownerOf(room.key)
    if (owner !== undefined && this.#issuers.isSilent(owner)) return this.#goAlone(claim)
    this.asked++
    claim.state = 'asking'
    claim.number = ++this.#number
    const open: OpenAsk = { claim, owner, timer: undefined }
    this.#asks.set(claim.number, open)
    if (owner === undefined) issuer.ask(room, this.#askOf(claim))
    else this.#post(open, owner)
  }

  #askOf ({ number, wish: { priority, team, work, arrivedAt, inTimeUntil, until, aloneUntil, besides, again, early } }: Claim): Ask {
    return { from: ownAsk, number, priority, team, work, arrivedAt, inTimeUntil, until, reviewAt: aloneUntil, besides: besides(), near: this.#options.dataCentre, again, early }
  }

  /** Sends an ask to another gateway, and once more where it leaves it unanswered. */
  #post (open: OpenAsk, owner: string): void {
    const { clock, post } = this.#options
    const { claim } = open
    const { number, wish: { room, objective } } = claim
    const half = Math.min(replyTime, objective * replyShare) / 2
    const send = (): void => {
      const ask = this.#askOf(claim)
      post(owner, askMessage(room, { ...ask, until: ask.until - wayTime, reviewAt: claim.wish.aloneUntil - wayTime }, clock.now()))
    }
    open.timer = clock.after(half, () => {
      send()
      open.timer = clock.after(half, () => this.#unanswered(number, owner))
    })
    send()
  }

  #unanswered (number: number, owner: string): void {
    const ask = this.#asks.get(number)
    if (ask === undefined) return
    this.#issuers.unanswered(owner)
    this.#leave(ask.claim)
    if (this.#issuers.isSilent(owner)) {
      for (const each of [...this.#asks.values()]) if (each.owner === owner) this.#leave(each.claim)
    }
    this.#wakeSoon()
  }

  /** Has a request look for room alone instead of waiting for an issuer. */
  #leave (claim: Claim): void {
    this.#drop(claim)
    this.#goAlone(claim)
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
