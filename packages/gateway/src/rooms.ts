/**
 * One queue for the room of a model, between this gateway and the others: where room is contended, one gateway issues the places at the model's heads and the others ask it by
 * datagram. Owns the counts, the contention, the issuer and the asker. Relies on `Peers` for who lives and what each has in flight, and on `Choice` for the heads that
 * take requests.
 */
import { type Clock, type Random, type Subscription } from '@eiderwind/clock'
import { type InFlight, type InFlightRequest, type Rests } from '@eiderwind/detect'
import { type Choice, type Intake, type Queue } from '@eiderwind/dispatch'
import { type AnswerHead } from '@eiderwind/forward'
import { Owners } from '@eiderwind/limits'
import { type Log } from '@eiderwind/log'
import { type Heartbeat, type PeerAddress, type Peers } from '@eiderwind/peers'
import { Asker, Contention, Counts, Issuer, decodeMessage, encodeMessage, ownAsk, roomOf, type Head, type PlaceMessage, type Room } from '@eiderwind/places'
import { type Roster, type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'

/** Dependencies of `Rooms`. */
export interface RoomsOptions {
  readonly clock: Clock
  readonly log: Log
  /** This gateway's id and data centre. */
  readonly id: string
  readonly dataCentre: string
  readonly roster: Roster
  readonly peers: Peers
  readonly inFlight: InFlight
  readonly rests: Rests
  readonly queue: Queue
  readonly choice: Choice
  readonly intake: Intake
  /** How the engines of a service work, by the configuration in force; undefined where it has none. */
  readonly engine: (service: string) => Engine | undefined
  readonly random: Random
}

/** Time between two looks at what is over, in ms. */
const forgetInterval = 250

/** Room at models' heads, shared by all gateways. */
export class Rooms {
  readonly asker: Asker
  readonly issuer: Issuer
  readonly contention: Contention
  readonly #options: RoomsOptions
  readonly #counts = new Counts()
  readonly #owners: Owners
  /** Ids of gateways by the `host:port` that their messages come from. */
  readonly #senders = new Map<string, string>()
  #timer: Subscription | undefined

  constructor (options: RoomsOptions) {
    const { clock, id, dataCentre, peers, inFlight, queue, random } = options
    this.#options = options
    this.#owners = new Owners({ clock, live: () => [id, ...peers.live.map(each => each.id)], fleet: () => peers.live.length + 1, settleTime: 0 })
    this.contention = new Contention({ clock, fullness: room => this.#fullness(room), changed: (room, contended) => this.#write(room, contended) })
    this.issuer = new Issuer({
      clock,
      heads: room => this.#heads(room),
      inFlight: upstream => inFlight.count(upstream),
      counts: this.#counts,
      deliver: (to, reply) => to === ownAsk ? this.asker.answered(undefined, reply) : this.#post(to, reply),
      random
    })
    this.asker = new Asker({
      clock,
      id,
      contention: this.contention,
      issuer: this.issuer,
      owner: room => this.#otherOwner(room),
      post: (gateway, message) => this.#post(gateway, message),
      inFlight: upstream => inFlight.count(upstream),
      dataCentre,
      wake: () => queue.wake(),
      random
    })
  }

  start (): void {
    this.#timer = this.#options.clock.every(forgetInterval, () => this.#forget())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** What the heartbeats to other gateways say. */
  get news (): Pick<Heartbeat, 'contended' | 'grants'> {
    return { contended: this.contention.own, grants: this.asker.seen }
  }

  /** Takes what the heartbeat of another gateway says. */
  hear ({ id, inFlight, contended = [], grants = {} }: Heartbeat, { address }: PeerAddress): void {
    this.#senders.set(address, id)
    this.#counts.hear(id, inFlight)
    this.issuer.heard(id, grants[this.#options.id])
    this.contention.hear(contended)
    this.issuer.serveAll()
  }

  /** Takes a datagram that is no heartbeat. Returns whether it is about places. */
  receive (datagram: Buffer, from: string): boolean {
    const message = decodeMessage(datagram)
    const sender = this.#senders.get(from)
    if (message === undefined) return false
    if (sender !== undefined) this.#take(message, sender)
    return true
  }

  /** Takes that a request of this gateway has ended: its place is free. */
  ended ({ upstream }: InFlightRequest): void {
    const head = this.#options.roster.find(upstream)
    if (head?.membership === undefined) return
    const room = roomOfHead(head)
    if (this.contention.has(room)) this.asker.tell(room, upstream)
  }

  /** Takes the head of an upstream's answer to a request of this gateway. */
  answered (upstream: Upstream, { refused }: AnswerHead): void {
    if (!refused || upstream.membership === undefined) return
    const room = roomOfHead(upstream)
    this.contention.met(room)
    // One that is just full refuses one request and accepts the next.
    const left = this.#options.rests.left(upstream.id)
    this.asker.tell(room, upstream.id, left > 0 ? left : undefined)
  }

  /** The gateway that issues the places of a room, where that is another one. */
  #otherOwner (room: string): string | undefined {
    const owner = this.#owners.of(room)
    return owner === this.#options.id ? undefined : owner
  }

  #take (message: PlaceMessage, from: string): void {
    switch (message.place) {
      case 'ask': return this.#asked(message, from)
      case 'drop': return this.issuer.drop(roomOf(message.service, message.model), from, message.number)
      case 'count': return this.issuer.hear(roomOf(message.service, message.model), from, message)
      default: this.asker.answered(from, message)
    }
  }

  /** Whoever is asked issues: two may do so for a moment, until they agree who lives, and know each other's grants by the next heartbeats. */
  #asked ({ service, model, number, priority, team, work, age, timely, patience, besides, near, again, early }: Extract<PlaceMessage, { place: 'ask' }>, from: string): void {
    const now = this.#options.clock.now()
    const room = roomOf(service, model)
    this.contention.hear([room.key])
    this.issuer.ask(room, { from, number, priority, team, work, arrivedAt: now - age, inTimeUntil: now + timely, until: now + patience, besides, near, again, early })
  }

  #post (to: string, message: PlaceMessage): void {
    this.#options.peers.post(to, encodeMessage(message))
  }

  /**
   * The heads whose places are issued: those that take requests only by tokens have another rule. No request waits at a head, where it would have no order: the way of a place
   * that comes free is short against the time for which it is taken.
   */
  #heads ({ service, model }: Room): Head[] {
    const { roster, rests, choice, intake, engine: engineOf } = this.#options
    const engine = engineOf(service)
    if (engine === undefined) return []
    const open = new Set(choice.heads(service, model).map(({ id }) => id))
    return roster.heads(service, model)
      .filter(({ id }) => !intake.isLimited(id) && (open.has(id) || rests.has(id)))
      .map(({ id, dataCentre }) => ({ id, dataCentre, capacity: engine.slots, closedFor: rests.left(id) }))
  }

  #fullness ({ service, model }: Room): number {
    const slots = this.#options.engine(service)?.slots
    const heads = slots === undefined ? [] : this.#options.choice.heads(service, model)
    if (slots === undefined || heads.length === 0) return 0
    const load = heads.reduce((sum, { id }) => sum + this.#options.inFlight.count(id) + this.#counts.of(id), 0)
    return load / (heads.length * slots)
  }

  #forget (): void {
    const live = new Set(this.#options.peers.live.map(each => each.id))
    this.#counts.keepOnly(id => live.has(id))
    this.issuer.forget(id => live.has(id))
    this.contention.forget()
    for (const [address, id] of this.#senders) if (!live.has(id)) this.#senders.delete(address)
  }

  #write (key: string, contended: boolean): void {
    this.#options.log.write('room-contended', { room: key, contended, issuer: this.#owners.of(key) })
  }
}

/** The room to which a head belongs: it serves the model that it has loaded. */
function roomOfHead ({ service, loaded }: Upstream): Room {
  return roomOf(service, loaded[0] ?? '')
}
