/**
 * The limits of upstreams, those that they name and those of cold ones, between this gateway and the others: what one reads goes to all by heartbeat, at once where it is new; the
 * tokens of each limited upstream are issued by one gateway, which the others ask by datagram. Owns the limits, the issuer and the tokens. Relies on `Peers` for who lives.
 */
import { type Clock, type Random } from '@eiderwind/clock'
import { type InFlight } from '@eiderwind/detect'
import { type Queue } from '@eiderwind/dispatch'
import { ColdUpstreams, Issuer, Limits, Owners, Tokens, coldRate, decodeMessage, encodeMessage, ownAsk, type ColdReport, type LimitReport, type Reply, type TokenMessage } from '@eiderwind/limits'
import { type Log } from '@eiderwind/log'
import { type Heartbeat, type Peers } from '@eiderwind/peers'
import { type Roster } from '@eiderwind/roster'
import { type Service } from '@eiderwind/traffic'
import { ColdStarts } from './coldstarts.js'

/** Dependencies of `Limiting`. */
export interface LimitingOptions {
  readonly clock: Clock
  readonly log: Log
  /** This gateway's id. */
  readonly id: string
  readonly roster: Roster
  readonly peers: Peers
  readonly inFlight: InFlight
  readonly queue: Queue
  readonly random: Random
  /** Undefined where upstreams do not count as cold. */
  readonly coldBound?: ColdBound | undefined
  /** A service of the configuration in force. Absent: there is none. */
  readonly service?: (name: string) => Service | undefined
}

/** Most requests that a cold upstream may get in a second: the rate that it bears times `overshoot`, and `slack`. */
export interface ColdBound {
  readonly overshoot: number
  readonly slack: number
}

/**
 * How long after it takes over an upstream's tokens a gateway issues none, in ms: as long as another one that was cut off, or does not know yet that it has been
 * replaced, may still issue some. So two issue at once for a moment at the most.
 */
const takeover = 1000

/**
 * How long a gateway that is no longer heard keeps its part of each limit, in ms: it may have been cut off. One that has ended for good leaves that much unused for so
 * long.
 */
const partMemory = 10_000

/** Shortest time between two lines about the limit of one upstream, in ms: it may name another one in each answer. */
const lineInterval = 1000

/** Limits of upstreams, kept by all gateways together. */
export class Limiting {
  readonly limits: Limits
  readonly tokens: Tokens
  readonly cold: ColdUpstreams
  readonly #options: LimitingOptions
  readonly #issuer: Issuer
  readonly #owners: Owners
  /** Undefined where upstreams do not count as cold. */
  readonly #starts: ColdStarts | undefined
  /** The limit that was logged last, and when, by upstream. */
  readonly #logged = new Map<string, { readonly rate: number, readonly at: number }>()

  constructor (options: LimitingOptions) {
    const { clock, id, roster, peers, queue, random, coldBound } = options
    this.#options = options
    this.cold = new ColdUpstreams({ clock, rate: upstream => this.#coldRate(upstream), ended: () => queue.wake() })
    this.#starts = coldBound === undefined ? undefined : new ColdStarts({ roster, cold: this.cold, startTime: service => this.#startTime(service), began: ids => this.#began(ids) })
    this.limits = new Limits(clock, this.cold)
    this.#owners = new Owners({ clock, live: () => [id, ...peers.live.map(each => each.id)], fleet: () => peers.heardWithin(partMemory).length + 1, settleTime: takeover })
    this.#issuer = new Issuer({ clock, rate: upstream => this.limits.rate(upstream) * this.#owners.part, begin: upstream => this.#begin(upstream), deliver: (to, reply) => this.#deliver(to, reply) })
    this.tokens = new Tokens({
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

  /** Takes the limit that an upstream's answer to this gateway names; Infinity where it names none. */
  named (id: string, rate: number): void {
    const isNew = !this.limits.isLimited(id)
    if (this.limits.named(id, rate)) this.#changed(id, isNew)
    if (isNew && this.limits.isLimited(id)) this.#options.peers.send()
  }

  /** Takes that an upstream is cold by an answer to this gateway. */
  coldAnswer (id: string, remaining: number): void {
    this.#starts?.answered(id, remaining)
  }

  /** What the heartbeats to other gateways say. */
  get news (): Pick<Heartbeat, 'limits' | 'cold'> {
    this.#owners.look()
    this.#forget()
    const issues = (id: string): boolean => this.#otherOwner(id) === undefined
    return { limits: this.limits.reports(issues), cold: this.cold.reports(issues) }
  }

  /** Forgets the upstreams that are not remembered any more, and those whose tokens this gateway no longer issues. */
  #forget (): void {
    const { roster } = this.#options
    this.limits.keepOnly(id => roster.remembers(id))
    this.#starts?.forget()
    for (const id of this.#logged.keys()) if (!roster.remembers(id)) this.#logged.delete(id)
    for (const id of this.#issuer.upstreams) if (!this.limits.isLimited(id) || this.#otherOwner(id) !== undefined) this.#issuer.end(id)
    this.tokens.forget()
  }

  /** Takes what the heartbeat of another gateway says. */
  hear ({ id: from, limits = {}, cold = {} }: Heartbeat): void {
    for (const [id, report] of Object.entries(limits)) this.#hear(id, report, from)
    this.#hearCold(cold)
  }

  /** Takes a datagram that is no heartbeat. One that is no message either is dropped, as any other that is foreign. */
  receive (datagram: Buffer, from: string): void {
    const message = decodeMessage(datagram)
    if (message !== undefined) this.#take(message, from)
  }

  #take (message: TokenMessage, from: string): void {
    switch (message.token) {
      case 'ask': return this.#asked(message, from)
      case 'drop': return this.#issuer.drop(message.upstream, from, message.number)
      default: if (this.tokens.answered(message)) this.#options.queue.wake()
    }
  }

  /** An ask for an upstream that another gateway seems to own is left without an answer: its asker counts it as refused. */
  #asked ({ upstream, limit, cold, ...ask }: Extract<TokenMessage, { token: 'ask' }>, from: string): void {
    this.#hear(upstream, limit, from)
    if (cold !== undefined) this.#hearCold({ [upstream]: cold })
    if (this.#otherOwner(upstream) === undefined) this.#issuer.ask(upstream, { ...ask, from })
  }

  #deliver (to: string, reply: Reply): void {
    if (to !== ownAsk) return this.#options.peers.post(to, encodeMessage(reply))
    // A token for a request of this gateway comes by a timer; that there is none in time, within its own look for an upstream.
    if (this.tokens.answered(reply) && reply.token === 'grant') this.#options.queue.wake()
  }

  #hear (id: string, report: LimitReport, from: string): void {
    const isNew = !this.limits.isLimited(id)
    if (this.limits.heard(id, report)) this.#changed(id, isNew, from)
  }

  #hearCold (reports: Readonly<Record<string, ColdReport>>): void {
    const begun = Object.entries(reports).filter(([id, report]) => this.cold.heard(id, report)).map(([id]) => id)
    if (begun.length > 0) this.#began(begun)
  }

  /**
   * Upstreams are cold now. What has not left yet for them is withdrawn, since it has no token, and who waits looks again. The gateway that issues the tokens says so at once: one
   * that cannot reach the store hears of it by that alone.
   */
  #began (ids: readonly string[]): void {
    const { log, inFlight, queue, peers } = this.#options
    const limited = ids.filter(id => this.limits.isLimited(id))
    const own = limited.filter(id => this.#otherOwner(id) === undefined)
    for (const id of limited) inFlight.withdraw(id, 'the upstream is cold')
    for (const id of own) {
      // Its bucket begins to fill now, and not only with the first request.
      this.#issuer.has(id)
      log.write('upstream-cold', { upstream: id, limit: this.cold.rate(id), remaining: Math.ceil(this.cold.remaining(id)) })
    }
    if (own.length > 0) peers.send()
    if (limited.length > 0) queue.wake()
  }

  /** Requests a second to a cold upstream by the configuration; Infinity where it does not say. */
  #coldRate (id: string): number {
    const { roster, service, coldBound } = this.#options
    const upstream = coldBound === undefined ? undefined : roster.find(id)
    const rate = upstream === undefined ? undefined : service?.(upstream.service)?.coldRate
    return rate === undefined || coldBound === undefined ? Infinity : coldRate(rate, coldBound.overshoot, coldBound.slack)
  }

  #startTime (name: string): number {
    return this.#options.service?.(name)?.coldTime ?? 0
  }

  /** What has not left yet for an upstream that names a limit first is withdrawn: it has no token. Who waits looks again. */
  #changed (id: string, isNew: boolean, from?: string): void {
    const { inFlight, queue } = this.#options
    this.#write(id, from)
    if (isNew) inFlight.withdraw(id, 'the upstream named a limit')
    queue.wake()
  }

  #write (id: string, from: string | undefined): void {
    const { clock, log } = this.#options
    const rate = this.limits.namedRate(id)
    const before = this.#logged.get(id)
    const now = clock.now()
    if (before !== undefined && (before.rate === rate || now - before.at < lineInterval)) return
    this.#logged.set(id, { rate, at: now })
    const limit = Number.isFinite(rate) ? { limit: rate } : {}
    log.write('upstream-limited', { upstream: id, ...limit, ...from === undefined ? {} : { from } })
  }

  /** The gateway that issues the tokens of an upstream, where that is another one. */
  #otherOwner (upstream: string): string | undefined {
    const owner = this.#owners.of(upstream)
    return owner === this.#options.id ? undefined : owner
  }

  /** No gateway issued tokens before a limit was named, so the first owner begins at once. */
  #begin (upstream: string): number {
    const now = this.#options.clock.now()
    return now - (this.limits.since(upstream) ?? now) > takeover ? now + takeover : now
  }
}
