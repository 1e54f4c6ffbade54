/**
 * Connects one gateway to the shared queues. Owns the counts of the other gateways, the issuer of places, the place
 * client, and the messages between them. Relies on its options for the heads, for this gateway's requests in flight,
 * for the issuer of each room, and for sending messages.
 */
import { type Clock, type Random } from '@eiderwind/clock'
import { localSender } from './request.js'
import { PlaceClient } from './placeclient.js'
import { Contention } from './contention.js'
import { InFlightCounts } from './inflightcounts.js'
import { Issuer } from './issuer.js'
import { receivedRequest, type RequestMessage, type PlaceMessage } from './messages.js'
import { type Head } from './freeplaces.js'
import { roomOf, type Room } from './room.js'

/** Dependencies of `PlaceCoordinator`. */
export interface PlaceCoordinatorOptions {
  readonly clock: Clock
  /** The id and the data centre of this gateway. */
  readonly id: string
  readonly dataCentre: string
  /**
   * The heads of a room: those that take requests now, including full ones, and those that are closed for a known time
   * (`Head.closedFor`).
   */
  readonly heads: (room: Room) => readonly Head[]
  /**
   * Requests in flight at the heads of a room from all gateways, as a share of what the heads run at once; 0 if there
   * are no heads.
   * @param others requests at an upstream from the other gateways
   */
  readonly fullness: (room: Room, others: (upstream: string) => number) => number
  /** Requests in flight at an upstream from this gateway, including those about to be sent there. */
  readonly inFlight: (upstream: string) => number
  /** The id of the gateway that issues the places of a room; undefined if it is this gateway. */
  readonly owner: (room: string) => string | undefined
  /** Sends a message to another gateway. */
  readonly post: (gateway: string, message: PlaceMessage) => void
  /** Called when waiting requests should search again. */
  readonly wake: () => void
  /** Called when a room becomes contended, and when it stops being contended. */
  readonly changed?: (room: string, contended: boolean) => void
  readonly random: Random
}

/** The heartbeat fields about places. */
export interface PlaceHeartbeatFields {
  /** The keys of the rooms in which the sender has met a shortage. */
  readonly contended?: readonly string[] | undefined
  /** The last grant that the sender received from each gateway. */
  readonly grants?: Readonly<Record<string, number>> | undefined
}

/** One gateway that takes part in the shared queues. */
export class PlaceCoordinator {
  readonly placeClient: PlaceClient
  readonly issuer: Issuer
  readonly contention: Contention
  readonly #options: PlaceCoordinatorOptions
  readonly #counts = new InFlightCounts()

  constructor (options: PlaceCoordinatorOptions) {
    const { clock, id, dataCentre, heads, fullness, inFlight, owner, post, wake, changed, random } = options
    this.#options = options
    const counts = this.#counts
    this.contention = new Contention({ clock, fullness: room => fullness(room, upstream => counts.of(upstream)), changed })
    this.issuer = new Issuer({
      clock,
      heads,
      inFlight,
      counts,
      deliver: (to, reply) => to === localSender ? this.placeClient.handleReply(undefined, reply) : post(to, reply),
      random
    })
    this.placeClient = new PlaceClient({ clock, id, contention: this.contention, issuer: this.issuer, owner, post, inFlight, dataCentre, wake, random })
  }

  /** The fields for the heartbeats to other gateways. */
  get heartbeatFields (): PlaceHeartbeatFields {
    return { contended: this.contention.ownShortages, grants: this.placeClient.lastGrants }
  }

  /** Handles the heartbeat of another gateway. */
  receiveHeartbeat (from: string, inFlight: Readonly<Record<string, number>>, { contended = [], grants = {} }: PlaceHeartbeatFields): void {
    this.#counts.replace(from, inFlight)
    this.issuer.acknowledgeGrants(from, grants[this.#options.id])
    this.contention.receive(contended)
    this.issuer.serveAll()
  }

  /** Handles a message of another gateway. */
  receive (message: PlaceMessage, from: string): void {
    switch (message.place) {
      case 'ask': return this.#handleRequest(message, from)
      case 'drop': return this.issuer.drop(roomOf(message.service, message.model), from, message.number)
      case 'count': return this.issuer.receiveCount(roomOf(message.service, message.model), from, message)
      default: this.placeClient.handleReply(from, message)
    }
  }

  /** Records that a request of this gateway has ended and its place is free. */
  recordEnd (room: Room, upstream: string): void {
    if (this.contention.has(room)) this.placeClient.sendCount(room, upstream)
  }

  /**
   * Records that a head refused a request of this gateway.
   * @param shut how long this gateway excludes the head, in ms; undefined if it does not
   */
  recordRefusal (room: Room, upstream: string, shut: number | undefined): void {
    this.contention.recordShortage(room)
    this.placeClient.sendCount(room, upstream, shut)
  }

  /** Removes expired state and the gateways that are no longer live. */
  forget (isLive: (gateway: string) => boolean): void {
    this.#counts.keepOnly(isLive)
    this.issuer.forget(isLive)
    this.contention.forget()
  }

  /**
   * Passes a place request to the issuer, whether or not this gateway considers itself responsible. Two gateways may
   * issue for one room until they agree on the live gateways. The next heartbeats show each of them the other's grants.
   */
  #handleRequest (message: RequestMessage, from: string): void {
    const room = roomOf(message.service, message.model)
    this.contention.receive([room.key])
    this.issuer.request(room, receivedRequest(message, from, this.#options.clock.now()))
  }
}
