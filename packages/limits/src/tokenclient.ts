/**
 * Obtains the tokens that requests of this gateway need for limited upstreams. Each request asks the owner of one
 * upstream at a time, and a token is held for a moment. Owns the waiting claims, the held tokens, and the times at
 * which owners announced the next token.
 * Relies on `Issuer` if this gateway is the owner, and otherwise on datagrams, which may be lost. A token request
 * that is not answered in time counts as refused.
 */
import { type Clock, type Random, type Subscription } from '@eiderwind/clock'
import { type ColdReport, type ColdUpstreams } from './cold.js'
import { type Issuer, type Reply } from './issuer.js'
import { type Limits } from './limits.js'
import { type TokenMessage } from './messages.js'

/** A request that waits for one token, from any of several upstreams. */
export interface Claim {
  /** 0 is the most urgent. */
  readonly priority: number
  /** When the request stops waiting, on `Clock.now`, in ms. */
  readonly until: number
  /** Upstreams that have no token for the request in time. */
  readonly refused: Set<string>
  /** The number of the pending token request. */
  requestNumber: number | undefined
}

/** Dependencies of `TokenClient`. */
export interface TokenClientOptions {
  readonly clock: Clock
  readonly limits: Limits
  /** Absent if no upstream is ever cold. */
  readonly cold?: ColdUpstreams
  readonly issuer: Issuer
  /** The id of the gateway that issues an upstream's tokens; undefined if it is this gateway. */
  readonly owner: (upstream: string) => string | undefined
  /** Sends a message to another gateway. */
  readonly post: (gateway: string, message: TokenMessage) => void
  /** Called when a token request was not answered in time, so that waiting requests search again. */
  readonly unanswered: () => void
  /**
   * Breaks ties between upstreams with the same expected wait. Also draws the number of the first token request, so
   * that replies to an earlier process of this gateway do not match.
   */
  readonly random: Random
}

/** The value of `TokenRequest.from` for requests of this gateway. */
export const localSender = ''

/** How long another gateway may take to reply, in ms. This is many times a network round trip. */
const replyTimeout = 50

/** Time subtracted from a request's wait for the transit of its token request and of the token, in ms. */
const transitTime = 5

/** How long a token is held for a request that needs it, in ms. */
const tokenLifetime = 100

/** Upper bound for the number of the first token request. */
const maxFirstNumber = 2 ** 40

interface PendingRequest {
  /** Undefined once the request no longer waits. A token that is still on its way then serves any other request. */
  claim: Claim | undefined
  readonly upstream: string
  readonly owner: string | undefined
  /** How long the request can wait, as sent to the owner, in ms. */
  readonly maxWait: number
  timer: Subscription
}

/** A token that this gateway holds. */
interface HeldToken {
  /** When the token expires, on `Clock.now`, in ms. */
  readonly until: number
  /** The claim for which the token was requested. */
  readonly claim: Claim | undefined
}

interface NextToken {
  /** On `Clock.now`, in ms. */
  readonly at: number
  readonly priority: number
}

/** The tokens of one gateway. */
export class TokenClient {
  readonly #options: TokenClientOptions
  readonly #pending = new Map<number, PendingRequest>()
  /** The held tokens, by upstream. */
  readonly #held = new Map<string, HeldToken[]>()
  readonly #nextTokens = new Map<string, NextToken>()
  #lastNumber: number
  /** Tokens that requests of this gateway asked for and received, and how many of them were used. */
  received = 0
  used = 0

  constructor (options: TokenClientOptions) {
    this.#options = options
    this.#lastNumber = Math.floor(options.random() * maxFirstNumber)
  }

  /** Whether an upstream has a limit. */
  isLimited (upstream: string): boolean {
    return this.#options.limits.isLimited(upstream)
  }

  /** Whether a request may be sent to an upstream now. */
  has (upstream: string): boolean {
    const { limits, issuer, owner } = this.#options
    if (!limits.isLimited(upstream) || this.#holds(upstream)) return true
    return owner(upstream) === undefined && issuer.has(upstream)
  }

  /**
   * Takes a token for a request that is about to be sent. Requests use tokens in the order of the queue, so this token
   * may have been requested for another request. That request then takes over the pending token request of this one.
   * @param claim of the request, if it waited
   */
  take (upstream: string, claim?: Claim): void {
    const { limits, issuer } = this.#options
    if (!limits.isLimited(upstream)) return
    if (!this.#holds(upstream)) return issuer.take(upstream)
    const held = this.#held.get(upstream)?.shift()
    this.used++
    if (claim !== undefined && held?.claim !== undefined && held.claim !== claim) this.#transfer(claim, held.claim)
  }

  /** Transfers the pending token request of a request that already has its token to another one. */
  #transfer (from: Claim, to: Claim): void {
    const pending = from.requestNumber === undefined ? undefined : this.#pending.get(from.requestNumber)
    if (pending === undefined || to.requestNumber !== undefined || to.until <= this.#options.clock.now()) return
    pending.claim = to
    to.requestNumber = from.requestNumber
    from.requestNumber = undefined
  }

  /** Time until an upstream has a token for a request, in ms; 0 if that time is not known. */
  expectedWait (upstream: string, priority: number): number {
    const next = this.#nextTokens.get(upstream)
    if (next === undefined || next.priority > priority) return 0
    return Math.max(0, next.at - this.#options.clock.now())
  }

  /** Removes expired state. */
  forget (): void {
    const now = this.#options.clock.now()
    for (const [upstream, { at }] of this.#nextTokens) if (at <= now) this.#nextTokens.delete(upstream)
    for (const upstream of [...this.#held.keys()]) this.#holds(upstream)
  }

  claim (priority: number, until: number): Claim {
    return { priority, until, refused: new Set(), requestNumber: undefined }
  }

  /**
   * Asks for a token of one of the upstreams, unless a token request is pending. Must be called again after each
   * change.
   */
  requestToken (claim: Claim, upstreams: readonly string[]): void {
    if (claim.until <= this.#options.clock.now()) return
    while (claim.requestNumber === undefined) {
      const open = upstreams.filter(each => !claim.refused.has(each) && !this.has(each))
      if (open.length === 0) return
      this.#request(claim, this.#soonest(open, claim.priority))
    }
  }

  /** Ends the token request of a request that no longer waits. */
  release (claim: Claim): void {
    const number = claim.requestNumber
    const pending = number === undefined ? undefined : this.#pending.get(number)
    if (number === undefined || pending === undefined) return
    claim.requestNumber = undefined
    pending.claim = undefined
    pending.timer.cancel()
    const { issuer, post } = this.#options
    if (pending.owner === undefined) {
      issuer.drop(pending.upstream, localSender, number)
      this.#pending.delete(number)
    } else {
      post(pending.owner, { token: 'drop', upstream: pending.upstream, number })
      pending.timer = this.#startTimeout(number, replyTimeout)
    }
  }

  /**
   * Handles the reply to a token request. Returns whether waiting requests should search again. They should if a token
   * has arrived, or if the upstream has none in time for the request that needs it.
   */
  handleReply (reply: Reply): boolean {
    const pending = this.#pending.get(reply.number)
    if (pending === undefined) return false
    return reply.token === 'grant' ? this.#handleGrant(reply.number, pending) : this.#handleLater(reply.number, pending, reply.due)
  }

  #soonest (upstreams: readonly string[], priority: number): string {
    const { random } = this.#options
    const drawn = upstreams.map(upstream => ({ upstream, due: this.expectedWait(upstream, priority), draw: random() }))
    return drawn.sort((a, b) => a.due - b.due || a.draw - b.draw)[0].upstream
  }

  #request (claim: Claim, upstream: string): void {
    const { clock, limits, cold, issuer, owner: ownerOf, post } = this.#options
    const owner = ownerOf(upstream)
    const number = ++this.#lastNumber
    const patience = Math.max(0, claim.until - clock.now() - (owner === undefined ? 0 : transitTime))
    claim.requestNumber = number
    this.#pending.set(number, { claim, upstream, owner, maxWait: patience, timer: this.#startTimeout(number, replyTimeout) })
    if (owner === undefined) issuer.request(upstream, { from: localSender, number, priority: claim.priority, patience })
    else post(owner, { token: 'ask', upstream, number, priority: claim.priority, patience, limit: [...limits.report(upstream)], ...coldField(cold?.report(upstream)) })
  }

  #handleGrant (number: number, { upstream, claim }: PendingRequest): boolean {
    const { clock } = this.#options
    this.#close(number)
    // A process that was suspended reads an old grant late.
    if (claim !== undefined && clock.now() > claim.until + replyTimeout) return false
    this.received++
    this.#held.set(upstream, [...this.#held.get(upstream) ?? [], { until: clock.now() + tokenLifetime, claim }])
    return true
  }

  /** Handles the reply that a token is due in `due` ms. Returns whether that is too late for the request. */
  #handleLater (number: number, pending: PendingRequest, due: number): boolean {
    const { claim, upstream, maxWait } = pending
    if (claim === undefined) return false
    this.#nextTokens.set(upstream, { at: this.#options.clock.now() + due, priority: claim.priority })
    const isTooLate = due > maxWait
    if (isTooLate) this.#refuse(number, pending)
    else {
      pending.timer.cancel()
      pending.timer = this.#startTimeout(number, due + replyTimeout)
    }
    return isTooLate
  }

  #startTimeout (number: number, time: number): Subscription {
    return this.#options.clock.after(time, () => {
      const pending = this.#pending.get(number)
      if (pending === undefined) return
      this.#refuse(number, pending)
      this.#options.unanswered()
    })
  }

  #refuse (number: number, { claim, upstream }: PendingRequest): void {
    claim?.refused.add(upstream)
    this.#close(number)
  }

  #close (number: number): PendingRequest | undefined {
    const pending = this.#pending.get(number)
    if (pending === undefined) return undefined
    pending.timer.cancel()
    if (pending.claim !== undefined) pending.claim.requestNumber = undefined
    this.#pending.delete(number)
    return pending
  }

  /** Whether this gateway holds a token of an upstream. Expired tokens are dropped. */
  #holds (upstream: string): boolean {
    const held = this.#held.get(upstream)
    if (held === undefined) return false
    const now = this.#options.clock.now()
    while (held.length > 0 && held[0].until < now) held.shift()
    if (held.length === 0) this.#held.delete(upstream)
    return held.length > 0
  }
}

/** The field of a token request that reports a cold upstream. */
function coldField (report: ColdReport | undefined): { cold?: [rate: number, remaining: number] } {
  return report === undefined ? {} : { cold: [...report] }
}
