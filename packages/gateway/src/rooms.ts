/**
 * Shares one queue for the room of each model between all gateways. "Room" is the free capacity at the heads of one
 * model, and a "place" is the right to send one request to a head. While room is contended, one gateway issues the
 * places at the model's heads, and the others request them by datagram.
 * Owns this gateway's part in that (`PlaceCoordinator`), and the addresses of the other gateways. Relies on `Peers` for
 * which gateways are live and what each has in flight, and on `Choice` for the heads that take requests.
 */
import { type Clock, type Random, type Subscription } from '@eiderwind/clock'
import { type InFlight, type InFlightRequest, type Rests } from '@eiderwind/detect'
import { type Choice, type Availability, type Queue } from '@eiderwind/dispatch'
import { type AnswerHead } from '@eiderwind/forward'
import { Owners } from '@eiderwind/limits'
import { type Log } from '@eiderwind/log'
import { type Heartbeat, type PeerAddress, type Peers } from '@eiderwind/peers'
import { PlaceCoordinator, decodeMessage, encodeMessage, roomOf, type PlaceClient, type Contention, type Head, type Issuer, type PlaceHeartbeatFields, type Room } from '@eiderwind/places'
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
  readonly availability: Availability
  /** The properties of a service's engines, by the configuration in force; undefined if the service has none. */
  readonly engine: (service: string) => Engine | undefined
  readonly random: Random
}

/**
 * Number of requests that may wait at a head beyond its slots. The head can then start the next request at once,
 * instead of only after its free place was issued. A head does not order the requests that wait there, so no more may
 * wait.
 */
const queuedPerHead = 1

/** Interval between removals of stale entries, in ms. */
const cleanupInterval = 250

/** Room at models' heads, shared by all gateways. */
export class Rooms {
  readonly #options: RoomsOptions
  readonly #coordinator: PlaceCoordinator
  readonly #owners: Owners
  /** Ids of gateways by the `host:port` from which their messages come. */
  readonly #senders = new Map<string, string>()
  #timer: Subscription | undefined

  constructor (options: RoomsOptions) {
    const { clock, id, dataCentre, peers, inFlight, queue, random } = options
    this.#options = options
    this.#owners = new Owners({
      clock,
      live: () => [id, ...peers.live.map(each => each.id)],
      fleet: () => peers.live.length + 1,
      settleTime: 0
    })
    this.#coordinator = new PlaceCoordinator({
      clock,
      id,
      dataCentre,
      heads: room => this.#heads(room),
      fullness: (room, others) => this.#fullness(room, others),
      inFlight: upstream => inFlight.count(upstream),
      owner: room => this.#otherOwner(room),
      post: (gateway, message) => peers.post(gateway, encodeMessage(message)),
      wake: () => queue.wake(),
      changed: (room, contended) => this.#logContention(room, contended),
      random
    })
  }

  get placeClient (): PlaceClient {
    return this.#coordinator.placeClient
  }

  get issuer (): Issuer {
    return this.#coordinator.issuer
  }

  get contention (): Contention {
    return this.#coordinator.contention
  }

  start (): void {
    this.#timer = this.#options.clock.every(cleanupInterval, () => this.#removeStale())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** This module's fields of the heartbeats to other gateways. */
  get heartbeatFields (): PlaceHeartbeatFields {
    return this.#coordinator.heartbeatFields
  }

  /** Takes another gateway's heartbeat. */
  receiveHeartbeat ({ id, inFlight, contended, grants }: Heartbeat, { address }: PeerAddress): void {
    this.#senders.set(address, id)
    this.#coordinator.receiveHeartbeat(id, inFlight, { contended, grants })
  }

  /** Takes a datagram that is not a heartbeat. Returns whether it is about places. */
  receive (datagram: Buffer, from: string): boolean {
    const message = decodeMessage(datagram)
    const sender = this.#senders.get(from)
    if (message === undefined) return false
    if (sender !== undefined) this.#coordinator.receive(message, sender)
    return true
  }

  /** Records that a request of this gateway has ended, so its place is free. */
  ended ({ upstream }: InFlightRequest): void {
    const head = this.#options.roster.find(upstream)
    if (head?.membership === undefined) return
    this.#coordinator.recordEnd(roomOfHead(head), upstream)
  }

  /** Takes the status and headers of an upstream's answer to a request of this gateway. */
  answered (upstream: Upstream, { refused }: AnswerHead): void {
    if (!refused || upstream.membership === undefined) return
    // A head that is merely full refuses one request and accepts the next.
    const left = this.#options.rests.remaining(upstream.id)
    this.#coordinator.recordRefusal(roomOfHead(upstream), upstream.id, left > 0 ? left : undefined)
  }

  /** The gateway that issues the places of a room; undefined if it is this one. */
  #otherOwner (room: string): string | undefined {
    const owner = this.#owners.of(room)
    return owner === this.#options.id ? undefined : owner
  }

  /** The heads whose places are issued. Heads that take requests only by tokens have another rule. */
  #heads ({ service, model }: Room): Head[] {
    const { roster, rests, choice, availability, engine: engineOf } = this.#options
    const engine = engineOf(service)
    if (engine === undefined) return []
    const openHeads = new Set(choice.heads(service, model).map(({ id }) => id))
    return roster.heads(service, model)
      .filter(({ id }) => !availability.isLimited(id) && (openHeads.has(id) || rests.has(id)))
      .map(({ id, dataCentre }) => ({ id, dataCentre, capacity: engine.slots + queuedPerHead, closedFor: rests.remaining(id) }))
  }

  #fullness ({ service, model }: Room, others: (upstream: string) => number): number {
    const slots = this.#options.engine(service)?.slots
    const heads = slots === undefined ? [] : this.#options.choice.heads(service, model)
    if (slots === undefined || heads.length === 0) return 0
    const load = heads.reduce((sum, { id }) => sum + this.#options.inFlight.count(id) + others(id), 0)
    return load / (heads.length * slots)
  }

  #removeStale (): void {
    const live = new Set(this.#options.peers.live.map(each => each.id))
    this.#coordinator.forget(id => live.has(id))
    for (const [address, id] of this.#senders) if (!live.has(id)) this.#senders.delete(address)
  }

  #logContention (key: string, contended: boolean): void {
    this.#options.log.write('room-contended', { room: key, contended, issuer: this.#owners.of(key) })
  }
}

/** The room to which a head belongs, by the model that it has loaded. */
function roomOfHead ({ service, loaded }: Upstream): Room {
  return roomOf(service, loaded[0] ?? '')
}
