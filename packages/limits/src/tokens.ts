/**
 * The tokens that requests of this gateway need for upstreams that name a limit: asked of the gateway that keeps the upstream's bucket, one request and one upstream at a time,
 * and held for a moment. Owns the claims that wait, the tokens in hand and what was answered on when the next is due. Relies on `Issuer` where this gateway keeps the
 * bucket itself, and on datagrams else, which may be lost: an ask that is not answered in time counts as refused.
 */
import { type Clock, type Random, type Subscription } from '@eiderwind/clock'
import { type ColdReport, type ColdUpstreams } from './cold.js'
import { type Issuer, type Reply } from './issuer.js'
import { type Limits } from './limits.js'
import { type TokenMessage } from './messages.js'

/** A request that waits for a token of any of some upstreams. */
export interface Claim {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Until when it waits, on `Clock.now`, in ms. */
  readonly until: number
  /** Upstreams that have no token for it in time. */
  readonly refused: Set<string>
  /** The ask that is under way for it. */
  ask: number | undefined
}

/** Dependencies of `Tokens`. */
export interface TokensOptions {
  readonly clock: Clock
  readonly limits: Limits
  /** Absent where no upstream is ever cold. */
  readonly cold?: ColdUpstreams
  readonly issuer: Issuer
  /** The id of the gateway that keeps an upstream's bucket; undefined where that is this one. */
  readonly owner: (upstream: string) => string | undefined
  /** Sends a message to another gateway. */
  readonly post: (gateway: string, message: TokenMessage) => void
  /** Called when an ask was not answered in time: who waits looks again. */
  readonly unanswered: () => void
  /** Draws the upstream that is asked for first, and the number of the first ask: numbers of an earlier life of this gateway must not fit. */
  readonly random: Random
}

/** `Ask.from` where the ask is this gateway's own. */
export const ownAsk = ''

/** Time within which another gateway answers, in ms: many times the way there and back. */
const replyTime = 50

/** What is left of a request's wait for the way of an ask and of its token, in ms. */
const wayTime = 5

/** How long a token is held for a request that needs it, in ms. */
const heldFor = 100

/** Numbers of asks are drawn below this at the start. */
const firstNumbers = 2 ** 40

interface OpenAsk {
  /** Undefined where it waits no longer: a token that was on its way is for any other request. */
  claim: Claim | undefined
  readonly upstream: string
  readonly owner: string | undefined
  /** How long it can wait, by what its owner knows, in ms. */
  readonly patience: number
  timer: Subscription
}

/** A token in hand. */
interface Held {
  /** Until when it may be used, on `Clock.now`, in ms. */
  readonly until: number
  /** For which it was asked. */
  readonly claim: Claim | undefined
}

interface Due {
  /** On `Clock.now`, in ms. */
  readonly at: number
  readonly priority: number
}

/** The tokens of one gateway. */
export class Tokens {
  readonly #options: TokensOptions
  readonly #asks = new Map<number, OpenAsk>()
  /** The tokens in hand, by upstream. */
  readonly #held = new Map<string, Held[]>()
  readonly #dues = new Map<string, Due>()
  #number: number
  /** Tokens that requests of this gateway asked for and got, and those of them that were used. */
  received = 0
  used = 0

  constructor (options: TokensOptions) {
    this.#options = options
    this.#number = Math.floor(options.random() * firstNumbers)
  }

  /** Whether an upstream names a limit. */
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
   * Takes the token of a request that is about to be sent. The first in the queue gets it, whichever asked for it: that one goes on with the ask of the first.
   * @param claim of the request, where it waited
   */
  take (upstream: string, claim?: Claim): void {
    const { limits, issuer } = this.#options
    if (!limits.isLimited(upstream)) return
    if (!this.#holds(upstream)) return issuer.take(upstream)
    const held = this.#held.get(upstream)?.shift()
    this.used++
    if (claim !== undefined && held?.claim !== undefined && held.claim !== claim) this.#pass(claim, held.claim)
  }

  /** Has the ask of a request that has its token already stand for another one. */
  #pass (from: Claim, to: Claim): void {
    const ask = from.ask === undefined ? undefined : this.#asks.get(from.ask)
    if (ask === undefined || to.ask !== undefined || to.until <= this.#options.clock.now()) return
    ask.claim = to
    to.ask = from.ask
    from.ask = undefined
  }

  /** Time until an upstream has a token for a request, as far as that is known, in ms; 0 where it is not. */
  due (upstream: string, priority: number): number {
    const due = this.#dues.get(upstream)
    if (due === undefined || due.priority > priority) return 0
    return Math.max(0, due.at - this.#options.clock.now())
  }

  /** Forgets what is over. */
  forget (): void {
    const now = this.#options.clock.now()
    for (const [upstream, { at }] of this.#dues) if (at <= now) this.#dues.delete(upstream)
    for (const upstream of [...this.#held.keys()]) this.#holds(upstream)
  }

  claim (priority: number, until: number): Claim {
    return { priority, until, refused: new Set(), ask: undefined }
  }

  /** Asks for a token of one of the upstreams, unless an ask is under way. To be called again whenever something has changed. */
  pursue (claim: Claim, upstreams: readonly string[]): void {
    if (claim.until <= this.#options.clock.now()) return
    while (claim.ask === undefined) {
      const open = upstreams.filter(each => !claim.refused.has(each) && !this.has(each))
      if (open.length === 0) return
      this.#ask(claim, this.#soonest(open, claim.priority))
    }
  }

  /** Ends what is under way for a request that waits no longer. */
  release (claim: Claim): void {
    const number = claim.ask
    const ask = number === undefined ? undefined : this.#asks.get(number)
    if (number === undefined || ask === undefined) return
    claim.ask = undefined
    ask.claim = undefined
    ask.timer.cancel()
    const { issuer, post } = this.#options
    if (ask.owner === undefined) {
      issuer.drop(ask.upstream, ownAsk, number)
      this.#asks.delete(number)
    } else {
      post(ask.owner, { token: 'drop', upstream: ask.upstream, number })
      ask.timer = this.#expiry(number, replyTime)
    }
  }

  /** Takes the answer to an ask. Returns whether those that wait should look again: a token has come, or none will for the request that asked. */
  answered (reply: Reply): boolean {
    const ask = this.#asks.get(reply.number)
    if (ask === undefined) return false
    return reply.token === 'grant' ? this.#granted(reply.number, ask) : this.#later(reply.number, ask, reply.due)
  }

  #soonest (upstreams: readonly string[], priority: number): string {
    const { random } = this.#options
    const drawn = upstreams.map(upstream => ({ upstream, due: this.due(upstream, priority), draw: random() }))
    return drawn.sort((a, b) => a.due - b.due || a.draw - b.draw)[0].upstream
  }

  #ask (claim: Claim, upstream: string): void {
    const { clock, limits, cold, issuer, owner: ownerOf, post } = this.#options
    const owner = ownerOf(upstream)
    const number = ++this.#number
    const patience = Math.max(0, claim.until - clock.now() - (owner === undefined ? 0 : wayTime))
    claim.ask = number
    this.#asks.set(number, { claim, upstream, owner, patience, timer: this.#expiry(number, replyTime) })
    if (owner === undefined) issuer.ask(upstream, { from: ownAsk, number, priority: claim.priority, patience })
    else post(owner, { token: 'ask', upstream, number, priority: claim.priority, patience, limit: [...limits.report(upstream)], ...coldField(cold?.report(upstream)) })
  }

  #granted (number: number, { upstream, claim }: OpenAsk): boolean {
    const { clock } = this.#options
    this.#close(number)
    // A process that stood still reads late what was granted long before.
    if (claim !== undefined && clock.now() > claim.until + replyTime) return false
    this.received++
    this.#held.set(upstream, [...this.#held.get(upstream) ?? [], { until: clock.now() + heldFor, claim }])
    return true
  }

  /** Takes that a token comes in `due` ms. Returns whether that is too late for the request. */
  #later (number: number, ask: OpenAsk, due: number): boolean {
    const { claim, upstream, patience } = ask
    if (claim === undefined) return false
    this.#dues.set(upstream, { at: this.#options.clock.now() + due, priority: claim.priority })
    const isTooLate = due > patience
    if (isTooLate) this.#refuse(number, ask)
    else {
      ask.timer.cancel()
      ask.timer = this.#expiry(number, due + replyTime)
    }
    return isTooLate
  }

  #expiry (number: number, time: number): Subscription {
    return this.#options.clock.after(time, () => {
      const ask = this.#asks.get(number)
      if (ask === undefined) return
      this.#refuse(number, ask)
      this.#options.unanswered()
    })
  }

  #refuse (number: number, { claim, upstream }: OpenAsk): void {
    claim?.refused.add(upstream)
    this.#close(number)
  }

  #close (number: number): OpenAsk | undefined {
    const ask = this.#asks.get(number)
    if (ask === undefined) return undefined
    ask.timer.cancel()
    if (ask.claim !== undefined) ask.claim.ask = undefined
    this.#asks.delete(number)
    return ask
  }

  /** Whether there is a token in hand. Those that were held too long lapse. */
  #holds (upstream: string): boolean {
    const held = this.#held.get(upstream)
    if (held === undefined) return false
    const now = this.#options.clock.now()
    while (held.length > 0 && held[0].until < now) held.shift()
    if (held.length === 0) this.#held.delete(upstream)
    return held.length > 0
  }
}

/** What an ask says of a cold upstream. */
function coldField (report: ColdReport | undefined): { cold?: [rate: number, remaining: number] } {
  return report === undefined ? {} : { cold: [...report] }
}
