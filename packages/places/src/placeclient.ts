/**
 * Obtains places for this gateway's requests in contended rooms. Each request has at most one place request pending.
 * Owns the pending place requests.
 * Relies on `Issuer` if this gateway issues the places itself, and otherwise on datagrams, which may be lost. A
 * request whose place request is not answered in time proceeds as if the room was not contended.
 */
import { type Clock, type Random, type Subscription } from '@eiderwind/clock'
import { localSender, placeLifetime, type PlaceRequest, type Reply, type CountUpdate } from './request.js'
import { Claim, type PlaceDecision, type PlaceRequirements } from './claim.js'
import { type Contention } from './contention.js'
import { type Issuer } from './issuer.js'
import { RemoteIssuers } from './remoteissuers.js'
import { requestMessage, type PlaceMessage } from './messages.js'
import { type Room } from './room.js'

/** Dependencies of `PlaceClient`. */
export interface PlaceClientOptions {
  readonly clock: Clock
  /** The id of this gateway. */
  readonly id: string
  readonly contention: Contention
  readonly issuer: Issuer
  /** The id of the gateway that issues the places of a room; undefined if it is this gateway. */
  readonly owner: (room: string) => string | undefined
  /** Sends a message to another gateway. */
  readonly post: (gateway: string, message: PlaceMessage) => void
  /** Requests in flight at an upstream from this gateway, including those about to be sent there. */
  readonly inFlight: (upstream: string) => number
  /** The data centre of this gateway. */
  readonly dataCentre: string
  /** Called when waiting requests should search again. */
  readonly wake: () => void
  /**
   * Draws the number of the first place request, so that replies to an earlier process of this gateway do not match.
   */
  readonly random: Random
}

/**
 * How long another gateway may take to reply, in ms, and as a share of the request's objective if that is less. The
 * time is many times a network round trip. The place request is sent again after half of it.
 */
const replyTimeout = 50
const replyTimeoutShare = 0.25

/** Time subtracted from a request's wait for the transit of its place request and of the reply, in ms. */
const transitTime = 5

/**
 * Number of unused places after which a request searches alone. A place stays unused if the request cannot be sent
 * there.
 */
const maxUnusedPlaces = 2

/** Upper bound for the number of the first place request. */
const maxFirstNumber = 2 ** 40

interface PendingRequest {
  readonly claim: Claim
  readonly owner: string | undefined
  timer: Subscription | undefined
}

/** Requests places for the requests of this gateway. */
export class PlaceClient {
  readonly #options: PlaceClientOptions
  readonly #pending = new Map<number, PendingRequest>()
  readonly #issuers: RemoteIssuers
  #lastNumber: number
  #isWakeScheduled = false
  /**
   * Place requests made, places received, refusals received, and requests that searched alone because no issuer
   * replied.
   */
  requested = 0
  received = 0
  refused = 0
  alone = 0

  constructor (options: PlaceClientOptions) {
    this.#options = options
    this.#issuers = new RemoteIssuers(options.clock)
    this.#lastNumber = Math.floor(options.random() * maxFirstNumber)
  }

  /** Whether requests need places in a room now. */
  isContended (room: Room): boolean {
    return this.#options.contention.has(room)
  }

  claim (requirements: PlaceRequirements): Claim {
    return new Claim(requirements)
  }

  /** Returns what a request should do now. Requests a place if one is needed. */
  find (claim: Claim): PlaceDecision {
    if (claim.state === 'placed' && this.#options.clock.now() > claim.until) this.reject(claim)
    if (claim.state === 'none' && this.isContended(claim.requirements.room)) this.#request(claim)
    switch (claim.state) {
      case 'placed': return { kind: 'place', upstream: claim.upstream }
      case 'refused': return { kind: 'refused', due: claim.due, by: claim.issuer ?? this.#options.id }
      case 'asking': return { kind: 'wait' }
      default: return { kind: 'alone' }
    }
  }

  /**
   * Records that a request searched alone and found no room. Returns whether it should search again, because it may
   * request a place now.
   */
  recordNoRoom ({ state, requirements: { room } }: Claim): boolean {
    const wasContended = this.isContended(room)
    this.#options.contention.recordShortage(room)
    return state === 'none' && !wasContended
  }

  /** Whether a request that searches alone has waited as long as it would without the shared queue. */
  isTimedOut ({ state, requirements: { aloneUntil } }: Claim): boolean {
    return state === 'alone' && this.#options.clock.now() >= aloneUntil
  }

  /** Records that a request is sent to its place now. From then on it counts as in flight there. */
  use (claim: Claim): void {
    claim.state = 'none'
    if (claim.issuer === undefined) this.#options.issuer.settle(claim.order)
  }

  /** Records that a request cannot be sent to its place. The place is returned and another one is requested. */
  reject (claim: Claim): void {
    this.#returnPlace(claim)
    claim.state = ++claim.unusedPlaces < maxUnusedPlaces ? 'none' : 'alone'
  }

  /** Ends the search of a request that no longer waits. */
  release (claim: Claim): void {
    if (claim.state === 'placed') this.#returnPlace(claim)
    if (claim.state === 'asking') this.#drop(claim)
    claim.state = 'alone'
  }

  /**
   * Handles the reply to a place request.
   * @param from the gateway that sent it; undefined for this gateway
   */
  handleReply (from: string | undefined, reply: Reply): void {
    const { clock, contention } = this.#options
    if (from !== undefined) this.#issuers.recordReply(from, reply.place === 'grant' ? reply.order : undefined)
    const pending = this.#pending.get(reply.number)
    if (pending === undefined) return this.#handleLateReply(from, reply)
    const { claim } = pending
    pending.timer?.cancel()
    if (reply.place === 'wait') {
      pending.timer = clock.after(claim.requirements.until - clock.now() + replyTimeout, () => { this.#pending.delete(reply.number) })
      return
    }
    this.#pending.delete(reply.number)
    if (reply.place === 'grant') this.#handleGrant(claim, from, reply.upstream, reply.order)
    else {
      contention.recordShortage(claim.requirements.room)
      claim.state = 'refused'
      claim.issuer = from
      claim.due = reply.due
      this.refused++
    }
    this.#scheduleWake()
  }

  /** The last grant received from each issuer, for the heartbeats to the other gateways. */
  get lastGrants (): Record<string, number> {
    return this.#issuers.lastGrants
  }

  /**
   * Reports to the issuer of a room what this gateway has in flight at an upstream now.
   * @param shut how long this gateway excludes the upstream, in ms
   */
  sendCount (room: Room, upstream: string, shut?: number): void {
    this.#sendCount(this.#options.owner(room.key), room, upstream, shut)
  }

  #sendCount (issuer: string | undefined, room: Room, upstream: string, shut?: number): void {
    const update: CountUpdate = { upstream, count: this.#options.inFlight(upstream), seen: issuer === undefined ? 0 : this.#issuers.lastGrant(issuer), shut }
    if (issuer === undefined) this.#options.issuer.receiveCount(room, localSender, update)
    else this.#options.post(issuer, { place: 'count', service: room.service, model: room.model, ...update })
  }

  #request (claim: Claim): void {
    const { issuer, owner: ownerOf } = this.#options
    const { room } = claim.requirements
    const owner = ownerOf(room.key)
    if (owner !== undefined && this.#issuers.isBackedOff(owner)) return this.#continueAlone(claim)
    this.requested++
    claim.state = 'asking'
    claim.number = ++this.#lastNumber
    const pending: PendingRequest = { claim, owner, timer: undefined }
    this.#pending.set(claim.number, pending)
    if (owner === undefined) issuer.request(room, this.#requestOf(claim))
    else this.#post(pending, owner)
  }

  #requestOf ({ number, requirements: { priority, team, work, arrivedAt, inTimeUntil, until, aloneUntil, excluded, again, early } }: Claim): PlaceRequest {
    return { from: localSender, number, priority, team, work, arrivedAt, inTimeUntil, until, reviewAt: aloneUntil, excluded: excluded(), near: this.#options.dataCentre, again, early }
  }

  /** Sends a place request to another gateway, and sends it once more if there is no reply. */
  #post (pending: PendingRequest, owner: string): void {
    const { clock, post } = this.#options
    const { claim } = pending
    const { number, requirements: { room, objective } } = claim
    const half = Math.min(replyTimeout, objective * replyTimeoutShare) / 2
    const send = (): void => {
      const request = this.#requestOf(claim)
      post(owner, requestMessage(room, { ...request, until: request.until - transitTime, reviewAt: claim.requirements.aloneUntil - transitTime }, clock.now()))
    }
    pending.timer = clock.after(half, () => {
      send()
      pending.timer = clock.after(half, () => this.#handleTimeout(number, owner))
    })
    send()
  }

  #handleTimeout (number: number, owner: string): void {
    const pending = this.#pending.get(number)
    if (pending === undefined) return
    this.#issuers.recordTimeout(owner)
    this.#abandon(pending.claim)
    if (this.#issuers.isBackedOff(owner)) {
      for (const each of [...this.#pending.values()]) if (each.owner === owner) this.#abandon(each.claim)
    }
    this.#scheduleWake()
  }

  /** Makes a request search alone instead of waiting for an issuer. */
  #abandon (claim: Claim): void {
    this.#drop(claim)
    this.#continueAlone(claim)
  }

  /**
   * Wakes the waiting requests after the current task. This gateway's own issuer replies while the request is still
   * searching, so an immediate wake would reenter that search.
   */
  #scheduleWake (): void {
    if (this.#isWakeScheduled) return
    this.#isWakeScheduled = true
    queueMicrotask(() => {
      this.#isWakeScheduled = false
      this.#options.wake()
    })
  }

  #continueAlone (claim: Claim): void {
    const { clock, wake } = this.#options
    claim.state = 'alone'
    this.alone++
    const left = claim.requirements.aloneUntil - clock.now()
    if (left > 0) clock.after(left, wake)
  }

  #drop ({ number, requirements: { room } }: Claim): void {
    const { issuer, post } = this.#options
    const pending = this.#pending.get(number)
    if (pending === undefined) return
    pending.timer?.cancel()
    this.#pending.delete(number)
    if (pending.owner === undefined) issuer.drop(room, localSender, number)
    else post(pending.owner, { place: 'drop', service: room.service, model: room.model, number })
  }

  #handleGrant (claim: Claim, issuer: string | undefined, upstream: string, order: number): void {
    this.received++
    Object.assign(claim, { state: 'placed', issuer, upstream, order, until: this.#options.clock.now() + placeLifetime })
  }

  #returnPlace ({ issuer, order, upstream, requirements: { room } }: Claim): void {
    if (issuer === undefined) {
      this.#options.issuer.settle(order)
      this.#options.issuer.serve(room)
    } else this.#sendCount(issuer, room, upstream)
  }

  /**
   * Handles a reply that came too late. A late grant of another gateway ends with the next heartbeat, which reports the
   * grant as seen.
   */
  #handleLateReply (from: string | undefined, reply: Reply): void {
    if (reply.place === 'grant' && from === undefined) this.#options.issuer.settle(reply.order)
  }
}
