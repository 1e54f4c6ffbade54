/**
 * Keeps the request limits of upstreams together with the other gateways: limits that upstreams name, and limits of
 * cold upstreams. A limit that one gateway reads goes to all others by heartbeat, at once if it is new. The tokens of
 * each limited upstream are issued by one gateway, its owner, and the others request them by datagram. Owns the limits,
 * the issuer and the tokens. Relies on `Peers` to know which gateways are live.
 */
import { type Clock, type Random } from '@eiderwind/clock'
import { type InFlight } from '@eiderwind/detect'
import { type Queue } from '@eiderwind/dispatch'
import { ColdUpstreams, Issuer, Limits, Owners, TokenClient, coldRate, decodeMessage, encodeMessage, localSender, type ColdReport, type LimitReport, type Reply, type TokenMessage } from '@eiderwind/limits'
import { type Log } from '@eiderwind/log'
import { type Heartbeat, type Peers } from '@eiderwind/peers'
import { type Roster } from '@eiderwind/roster'
import { type Service } from '@eiderwind/traffic'
import { ColdStarts } from './coldstarts.js'

/** Dependencies of `UpstreamLimits`. */
export interface UpstreamLimitsOptions {
  readonly clock: Clock
  readonly log: Log
  /** This gateway's id. */
  readonly id: string
  readonly roster: Roster
  readonly peers: Peers
  readonly inFlight: InFlight
  readonly queue: Queue
  readonly random: Random
  /** Undefined if no upstream is ever cold. */
  readonly coldBound?: ColdBound | undefined
  /** Finds a service of the configuration in force. Absent: there are no services. */
  readonly service?: (name: string) => Service | undefined
}

/**
 * Bound on the requests that a cold upstream may get in a second: the rate that it can bear times `overshoot`, plus
 * `slack`.
 */
export interface ColdBound {
  readonly overshoot: number
  readonly slack: number
}

/**
 * Pause before a gateway issues tokens of an upstream that it has taken over, in ms. The previous owner may still issue
 * tokens for that long, because it was cut off or does not know yet that it has been replaced. So two gateways issue at
 * the same time for a moment at most.
 */
const takeoverPause = 1000

/**
 * How long a gateway keeps its share of each limit after its last heartbeat, in ms: it may only have been cut off. The
 * share of a gateway that has ended for good stays unused for that long.
 */
const shareRetention = 10_000

/** Minimum time between two log lines about the limit of one upstream, in ms: each answer may name another limit. */
const logInterval = 1000

/** Limits of upstreams, shared by all gateways. */
export class UpstreamLimits {
  readonly limits: Limits
  readonly tokens: TokenClient
  readonly cold: ColdUpstreams
  readonly #options: UpstreamLimitsOptions
  readonly #issuer: Issuer
  readonly #owners: Owners
  /** Undefined if no upstream is ever cold. */
  readonly #coldStarts: ColdStarts | undefined
  /** The limit that was logged last, and when, by upstream. */
  readonly #logged = new Map<string, { readonly rate: number, readonly at: number }>()

  constructor (options: UpstreamLimitsOptions) {
    const { clock, id, roster, peers, queue, random, coldBound } = options
    this.#options = options
    this.cold = new ColdUpstreams({ clock, rate: upstream => this.#coldRate(upstream), ended: () => queue.wake() })
    this.#coldStarts = coldBound === undefined
      ? undefined
      : new ColdStarts({
        roster,
        cold: this.cold,
        startTime: service => this.#startTime(service),
        began: ids => this.#coldBegan(ids)
      })
    this.limits = new Limits(clock, this.cold)
    this.#owners = new Owners({
      clock,
      live: () => [id, ...peers.live.map(each => each.id)],
      fleet: () => peers.seenWithin(shareRetention).length + 1,
      settleTime: takeoverPause
    })
    this.#issuer = new Issuer({
      clock,
      rate: upstream => this.limits.rate(upstream) * this.#owners.share,
      begin: upstream => this.#begin(upstream),
      deliver: (to, reply) => this.#deliver(to, reply)
    })
    this.tokens = new TokenClient({
      clock,
      limits: this.limits,
      cold: this.cold,
      issuer: this.#issuer,
      owner: upstream => this.#otherOwner(upstream),
      post: (gateway, message) => peers.post(gateway, encodeMessage(message)),
      unanswered: () => queue.wake(),
      random
    })
  }

  /** Takes the limit named in an upstream's answer to this gateway; Infinity if it names none. */
  recordLimit (id: string, rate: number): void {
    const isNew = !this.limits.isLimited(id)
    if (this.limits.recordAnswer(id, rate)) this.#limitChanged(id, isNew)
    if (isNew && this.limits.isLimited(id)) this.#options.peers.send()
  }

  /** Takes the time for which an upstream is still cold, in ms, from its answer to this gateway. */
  recordCold (id: string, remaining: number): void {
    this.#coldStarts?.answered(id, remaining)
  }

  /** This module's fields of the heartbeats to other gateways. */
  get heartbeatFields (): Pick<Heartbeat, 'limits' | 'cold'> {
    this.#owners.refresh()
    this.#forget()
    const isIssuedHere = (id: string): boolean => this.#otherOwner(id) === undefined
    return { limits: this.limits.reports(isIssuedHere), cold: this.cold.reports(isIssuedHere) }
  }

  /**
   * Removes the upstreams that the roster no longer knows, and those whose tokens this gateway no longer issues.
   */
  #forget (): void {
    const { roster } = this.#options
    this.limits.keepOnly(id => roster.isKnown(id))
    this.#coldStarts?.forget()
    for (const id of this.#logged.keys()) if (!roster.isKnown(id)) this.#logged.delete(id)
    for (const id of this.#issuer.upstreams) if (!this.limits.isLimited(id) || this.#otherOwner(id) !== undefined) this.#issuer.end(id)
    this.tokens.forget()
  }

  /** Takes the limits and cold upstreams from another gateway's heartbeat. */
  receiveHeartbeat ({ id: from, limits = {}, cold = {} }: Heartbeat): void {
    for (const [id, report] of Object.entries(limits)) this.#receiveLimit(id, report, from)
    this.#receiveCold(cold)
  }

  /** Takes a datagram that is not a heartbeat. A datagram that is not a token message is foreign and is dropped. */
  receive (datagram: Buffer, from: string): void {
    const message = decodeMessage(datagram)
    if (message !== undefined) this.#receiveMessage(message, from)
  }

  #receiveMessage (message: TokenMessage, from: string): void {
    switch (message.token) {
      case 'ask': return this.#answerRequest(message, from)
      case 'drop': return this.#issuer.drop(message.upstream, from, message.number)
      default: if (this.tokens.handleReply(message)) this.#options.queue.wake()
    }
  }

  /**
   * Passes a request for a token to the issuer. If another gateway seems to own the upstream, the request gets no
   * answer, and the requester counts it as refused.
   */
  #answerRequest ({ upstream, limit, cold, ...ask }: Extract<TokenMessage, { token: 'ask' }>, from: string): void {
    this.#receiveLimit(upstream, limit, from)
    if (cold !== undefined) this.#receiveCold({ [upstream]: cold })
    if (this.#otherOwner(upstream) === undefined) this.#issuer.request(upstream, { ...ask, from })
  }

  #deliver (to: string, reply: Reply): void {
    if (to !== localSender) return this.#options.peers.post(to, encodeMessage(reply))
    // A token for a local request arrives by a timer, so the queue must be woken. A refusal arrives while the request
    // is still searching for an upstream.
    if (this.tokens.handleReply(reply) && reply.token === 'grant') this.#options.queue.wake()
  }

  #receiveLimit (id: string, report: LimitReport, from: string): void {
    const isNew = !this.limits.isLimited(id)
    if (this.limits.receive(id, report)) this.#limitChanged(id, isNew, from)
  }

  #receiveCold (reports: Readonly<Record<string, ColdReport>>): void {
    const begun = Object.entries(reports).filter(([id, report]) => this.cold.receive(id, report)).map(([id]) => id)
    if (begun.length > 0) this.#coldBegan(begun)
  }

  /**
   * Handles upstreams that have become cold. Requests to them that have not been sent yet have no token and are
   * withdrawn, and waiting requests search again. The gateway that issues the tokens sends a heartbeat at once: a
   * gateway that cannot reach the store learns of it only that way.
   */
  #coldBegan (ids: readonly string[]): void {
    const { log, inFlight, queue, peers } = this.#options
    const limited = ids.filter(id => this.limits.isLimited(id))
    const issuedHere = limited.filter(id => this.#otherOwner(id) === undefined)
    for (const id of limited) inFlight.withdraw(id, 'the upstream is cold')
    for (const id of issuedHere) {
      // Creates the bucket, so that it begins to fill now and not with the first request.
      this.#issuer.has(id)
      log.write('upstream-cold', { upstream: id, limit: this.cold.rate(id), remaining: Math.ceil(this.cold.remaining(id)) })
    }
    if (issuedHere.length > 0) peers.send()
    if (limited.length > 0) queue.wake()
  }

  /** Requests a second that the configuration allows to a cold upstream; Infinity if it names no rate. */
  #coldRate (id: string): number {
    const { roster, service, coldBound } = this.#options
    const upstream = coldBound === undefined ? undefined : roster.find(id)
    const rate = upstream === undefined ? undefined : service?.(upstream.service)?.coldRate
    return rate === undefined || coldBound === undefined ? Infinity : coldRate(rate, coldBound.overshoot, coldBound.slack)
  }

  #startTime (name: string): number {
    return this.#options.service?.(name)?.coldTime ?? 0
  }

  /**
   * Handles a change of an upstream's limit. If the limit is new, requests that have not been sent yet have no token
   * and are withdrawn. Waiting requests search again.
   */
  #limitChanged (id: string, isNew: boolean, from?: string): void {
    const { inFlight, queue } = this.#options
    this.#logLimit(id, from)
    if (isNew) inFlight.withdraw(id, 'the upstream named a limit')
    queue.wake()
  }

  #logLimit (id: string, from: string | undefined): void {
    const { clock, log } = this.#options
    const rate = this.limits.namedRate(id)
    const last = this.#logged.get(id)
    const now = clock.now()
    if (last !== undefined && (last.rate === rate || now - last.at < logInterval)) return
    this.#logged.set(id, { rate, at: now })
    const limit = Number.isFinite(rate) ? { limit: rate } : {}
    log.write('upstream-limited', { upstream: id, ...limit, ...from === undefined ? {} : { from } })
  }

  /** The gateway that issues the tokens of an upstream; undefined if it is this one. */
  #otherOwner (upstream: string): string | undefined {
    const owner = this.#owners.of(upstream)
    return owner === this.#options.id ? undefined : owner
  }

  /**
   * When this gateway may begin to issue tokens, on `Clock.now`. No gateway issued tokens before a limit was named, so
   * the first owner begins at once.
   */
  #begin (upstream: string): number {
    const now = this.#options.clock.now()
    return now - (this.limits.since(upstream) ?? now) > takeoverPause ? now + takeoverPause : now
  }
}
