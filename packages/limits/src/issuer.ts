/**
 * Issues the tokens of the upstreams whose limits this gateway owns. There is one bucket for each upstream, and one
 * queue of requests from all gateways, the most urgent first. Owns the buckets and queues, in memory only: a gateway
 * that takes over begins with an empty bucket.
 * Relies on `rate` for the current limit and on `deliver` to send replies. A lost reply costs one token and nothing
 * else.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { TokenBucket } from './bucket.js'

/** A request that waits for a token. */
export interface TokenRequest {
  /** Where the reply goes. Only `deliver` interprets it. */
  readonly from: string
  /** Identifies the request to its sender. */
  readonly number: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** How long the request can wait, in ms. */
  readonly patience: number
}

/** The reply to a token request: it has its token, or a token for it is due in `due` ms. */
export type Reply = { readonly token: 'grant', readonly number: number } | { readonly token: 'later', readonly number: number, readonly due: number }

/** Dependencies of `Issuer`. */
export interface IssuerOptions {
  readonly clock: Clock
  /**
   * Requests a second for which this gateway may issue tokens of an upstream; Infinity if the upstream has no limit.
   */
  readonly rate: (upstream: string) => number
  /**
   * When this gateway may begin to issue tokens of an upstream, on `Clock.now`. A former owner may still issue tokens
   * before that time.
   */
  readonly begin: (upstream: string) => number
  readonly deliver: (to: string, reply: Reply) => void
}

/** Upper bound of the time for which a request is queued, in ms. It is more than any request waits. */
const maxWait = 5000

interface WaitingRequest extends TokenRequest {
  /** On `Clock.now`, in ms. */
  readonly until: number
}

interface TokenQueue {
  readonly bucket: TokenBucket
  waiting: WaitingRequest[]
  timer: Subscription | undefined
}

/** Issues the tokens of upstreams. */
export class Issuer {
  readonly #options: IssuerOptions
  readonly #queues = new Map<string, TokenQueue>()

  constructor (options: IssuerOptions) {
    this.#options = options
  }

  /** Whether there is a token for which no request waits. */
  has (upstream: string): boolean {
    const now = this.#options.clock.now()
    const queue = this.#queue(upstream, now)
    return queue === undefined || (queue.waiting.length === 0 && queue.bucket.waitTime(now) === 0)
  }

  /** Takes a token for a request of this gateway. */
  take (upstream: string): void {
    const now = this.#options.clock.now()
    this.#queue(upstream, now)?.bucket.take(now)
  }

  /** Replies at once. If the token comes later but within the request's wait, a second reply delivers it. */
  request (upstream: string, request: TokenRequest): void {
    const { clock, deliver } = this.#options
    const now = clock.now()
    const { from, number, priority, patience } = request
    const queue = this.#queue(upstream, now)
    if (queue === undefined || (queue.waiting.length === 0 && queue.bucket.take(now))) return deliver(from, { token: 'grant', number })
    const ahead = queue.waiting.filter(each => each.priority <= priority).length
    const due = queue.bucket.waitTime(now, ahead)
    deliver(from, { token: 'later', number, due })
    if (due > patience) return
    queue.waiting.splice(ahead, 0, { ...request, until: now + Math.min(patience, maxWait) })
    this.#schedule(upstream, queue, now)
  }

  /** Removes a request that its gateway no longer needs. */
  drop (upstream: string, from: string, number: number): void {
    const queue = this.#queues.get(upstream)
    if (queue !== undefined) queue.waiting = queue.waiting.filter(each => each.from !== from || each.number !== number)
  }

  /**
   * Removes the bucket and the queue of an upstream, because another gateway issues its tokens now or it no longer
   * has a limit.
   */
  end (upstream: string): void {
    this.#queues.get(upstream)?.timer?.cancel()
    this.#queues.delete(upstream)
  }

  /** Upstreams for which this gateway issues tokens. */
  get upstreams (): string[] {
    return [...this.#queues.keys()]
  }

  #queue (upstream: string, now: number): TokenQueue | undefined {
    const { rate: rateOf, begin } = this.#options
    const rate = rateOf(upstream)
    if (!Number.isFinite(rate)) return undefined
    const known = this.#queues.get(upstream)
    known?.bucket.setRate(rate, now)
    if (known !== undefined) return known
    const queue: TokenQueue = { bucket: new TokenBucket(rate, Math.max(begin(upstream), now + 1000 / rate)), waiting: [], timer: undefined }
    this.#queues.set(upstream, queue)
    return queue
  }

  #schedule (upstream: string, queue: TokenQueue, now: number): void {
    queue.timer?.cancel()
    queue.timer = queue.waiting.length === 0 ? undefined : this.#options.clock.after(queue.bucket.waitTime(now), () => this.#serve(upstream))
  }

  /** Grants the available tokens to waiting requests. If the upstream no longer has a limit, every request gets one. */
  #serve (upstream: string): void {
    const { clock, deliver } = this.#options
    const now = clock.now()
    const known = this.#queues.get(upstream)
    if (known === undefined) return
    known.waiting = known.waiting.filter(each => each.until >= now)
    const isLimited = this.#queue(upstream, now) !== undefined
    const mayIssue = (): boolean => !isLimited || known.bucket.take(now)
    try {
      while (known.waiting.length > 0 && mayIssue()) {
        const { from, number } = known.waiting.shift() as WaitingRequest
        deliver(from, { token: 'grant', number })
      }
    } finally {
      // The others are served even if a delivery fails.
      this.#schedule(upstream, known, now)
    }
  }
}
