/**
 * A gateway's part in the queues that all gateways share: what it has heard from the others, the places that it issues, and those that it asks for. Owns these parts and what
 * passes between them. Relies on its owner for the heads, for what is in flight from here, for who issues for which room, and for the way of messages.
 */
import { type Clock, type Random } from '@eiderwind/clock'
import { ownAsk } from './ask.js'
import { Asker } from './asker.js'
import { Contention } from './contention.js'
import { Counts } from './counts.js'
import { Issuer } from './issuer.js'
import { heardAsk, type AskMessage, type PlaceMessage } from './messages.js'
import { type Head } from './openings.js'
import { roomOf, type Room } from './room.js'

/** Dependencies of `Member`. */
export interface MemberOptions {
  readonly clock: Clock
  /** This gateway's id and data centre. */
  readonly id: string
  readonly dataCentre: string
  /** The heads of a room that take requests, now or by their own word later, full or not. */
  readonly heads: (room: Room) => readonly Head[]
  /** Requests in flight at the heads of a room from all gateways, in parts of what they run at once; 0 where there is none. @param others requests at an upstream from the other gateways */
  readonly fullness: (room: Room, others: (upstream: string) => number) => number
  /** Requests in flight at an upstream from this gateway, and those about to be sent there. */
  readonly inFlight: (upstream: string) => number
  /** The id of the gateway that issues the places of a room; undefined where that is this one. */
  readonly owner: (room: string) => string | undefined
  /** Sends a message to another gateway. */
  readonly post: (gateway: string, message: PlaceMessage) => void
  /** Called when requests that wait should look again. */
  readonly wake: () => void
  /** Called when a room becomes contended, and when it no longer is. */
  readonly changed?: (room: string, contended: boolean) => void
  readonly random: Random
}

/** What a heartbeat says of places. */
export interface MemberNews {
  /** Rooms in which its gateway has met a lack. */
  readonly contended?: readonly string[] | undefined
  /** The last grant that it has from each gateway. */
  readonly grants?: Readonly<Record<string, number>> | undefined
}

/** One gateway among those that share queues. */
export class Member {
  readonly asker: Asker
  readonly issuer: Issuer
  readonly contention: Contention
  readonly #options: MemberOptions
  readonly #counts = new Counts()

  constructor (options: MemberOptions) {
    const { clock, id, dataCentre, heads, fullness, inFlight, owner, post, wake, changed, random } = options
    this.#options = options
    const counts = this.#counts
    this.contention = new Contention({ clock, fullness: room => fullness(room, upstream => counts.of(upstream)), changed })
    this.issuer = new Issuer({
      clock,
      heads,
      inFlight,
      counts,
      deliver: (to, reply) => to === ownAsk ? this.asker.answered(undefined, reply) : post(to, reply),
      random
    })
    this.asker = new Asker({ clock, id, contention: this.contention, issuer: this.issuer, owner, post, inFlight, dataCentre, wake, random })
  }

  /** What the heartbeats to other gateways say. */
  get news (): MemberNews {
    return { contended: this.contention.own, grants: this.asker.seen }
  }

  /** Takes what the heartbeat of another gateway says. */
  hear (from: string, inFlight: Readonly<Record<string, number>>, { contended = [], grants = {} }: MemberNews): void {
    this.#counts.hear(from, inFlight)
    this.issuer.heard(from, grants[this.#options.id])
    this.contention.hear(contended)
    this.issuer.serveAll()
  }

  /** Takes a message of another gateway. */
  take (message: PlaceMessage, from: string): void {
    switch (message.place) {
      case 'ask': return this.#asked(message, from)
      case 'drop': return this.issuer.drop(roomOf(message.service, message.model), from, message.number)
      case 'count': return this.issuer.hear(roomOf(message.service, message.model), from, message)
      default: this.asker.answered(from, message)
    }
  }

  /** Takes that a request of this gateway has ended: its place is free. */
  ended (room: Room, upstream: string): void {
    if (this.contention.has(room)) this.asker.tell(room, upstream)
  }

  /** Takes that a head refused a request of this gateway. @param shut for how long this gateway leaves it out, in ms; undefined: it does not */
  refused (room: Room, upstream: string, shut: number | undefined): void {
    this.contention.met(room)
    this.asker.tell(room, upstream, shut)
  }

  /** Forgets what is over, and the gateways that live no more. */
  forget (isLive: (gateway: string) => boolean): void {
    this.#counts.keepOnly(isLive)
    this.issuer.forget(isLive)
    this.contention.forget()
  }

  /** Whoever is asked issues: two may do so for a moment, until they agree who lives, and know each other's grants by the next heartbeats. */
  #asked (message: AskMessage, from: string): void {
    const room = roomOf(message.service, message.model)
    this.contention.hear([room.key])
    this.issuer.ask(room, heardAsk(message, from, this.#options.clock.now()))
  }
}
