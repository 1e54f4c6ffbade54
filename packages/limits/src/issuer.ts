/**
 * The tokens of the upstreams whose limits this gateway keeps for all: one bucket for each, and the requests of any gateway that wait for its next tokens, the most urgent
 * first. Owns the buckets and these waits, in memory: a gateway that takes over begins with an empty bucket. Relies on `rate` for what may be sent now, and on `deliver` to
 * bring answers to the gateway that asked; a lost answer costs a token and nothing else.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { Bucket } from './bucket.js'

/** A request that waits for a token. */
export interface Ask {
  /** Whom to answer; `deliver` knows what it means. */
  readonly from: string
  /** By which the asker knows it again. */
  readonly number: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** How long it can wait, in ms. */
  readonly patience: number
}

/** What becomes of an ask: it has its token, or there will be one for it in `due` ms. */
export type Reply = { readonly token: 'grant', readonly number: number } | { readonly token: 'later', readonly number: number, readonly due: number }

/** Dependencies of `Issuer`. */
export interface IssuerOptions {
  readonly clock: Clock
  /** Requests a second that may be sent to an upstream by the tokens issued here; Infinity where it has no limit. */
  readonly rate: (upstream: string) => number
  /** From when on tokens may be issued here, on `Clock.now`: a former owner may still issue some before that. */
  readonly begin: (upstream: string) => number
  readonly deliver: (to: string, reply: Reply) => void
}

/** Longest wait that is kept for an asker, in ms: more than any request waits. */
const longestPatience = 5000

interface Waiting extends Ask {
  /** On `Clock.now`, in ms. */
  readonly until: number
}

interface Issue {
  readonly bucket: Bucket
  waiting: Waiting[]
  timer: Subscription | undefined
}

/** Issues the tokens of upstreams. */
export class Issuer {
  readonly #options: IssuerOptions
  readonly #issues = new Map<string, Issue>()

  constructor (options: IssuerOptions) {
    this.#options = options
  }

  /** Whether there is a token for which no request waits. */
  has (upstream: string): boolean {
    const now = this.#options.clock.now()
    const issue = this.#issue(upstream, now)
    return issue === undefined || (issue.waiting.length === 0 && issue.bucket.due(now) === 0)
  }

  /** Takes a token for a request of this gateway. */
  take (upstream: string): void {
    const now = this.#options.clock.now()
    this.#issue(upstream, now)?.bucket.take(now)
  }

  /** Answers at once, and once more with the token where that comes later but soon enough. */
  ask (upstream: string, ask: Ask): void {
    const { clock, deliver } = this.#options
    const now = clock.now()
    const { from, number, priority, patience } = ask
    const issue = this.#issue(upstream, now)
    if (issue === undefined || (issue.waiting.length === 0 && issue.bucket.take(now))) return deliver(from, { token: 'grant', number })
    const ahead = issue.waiting.filter(each => each.priority <= priority).length
    const due = issue.bucket.due(now, ahead)
    deliver(from, { token: 'later', number, due })
    if (due > patience) return
    issue.waiting.splice(ahead, 0, { ...ask, until: now + Math.min(patience, longestPatience) })
    this.#schedule(upstream, issue, now)
  }

  /** Ends an ask that its gateway no longer needs. */
  drop (upstream: string, from: string, number: number): void {
    const issue = this.#issues.get(upstream)
    if (issue !== undefined) issue.waiting = issue.waiting.filter(each => each.from !== from || each.number !== number)
  }

  /** Ends all that is kept for an upstream: another gateway issues its tokens now, or it has no limit any more. */
  end (upstream: string): void {
    this.#issues.get(upstream)?.timer?.cancel()
    this.#issues.delete(upstream)
  }

  /** Upstreams for which tokens are issued here. */
  get upstreams (): string[] {
    return [...this.#issues.keys()]
  }

  #issue (upstream: string, now: number): Issue | undefined {
    const { rate: rateOf, begin } = this.#options
    const rate = rateOf(upstream)
    if (!Number.isFinite(rate)) return undefined
    const known = this.#issues.get(upstream)
    known?.bucket.setRate(rate, now)
    if (known !== undefined) return known
    const issue: Issue = { bucket: new Bucket(rate, Math.max(begin(upstream), now + 1000 / rate)), waiting: [], timer: undefined }
    this.#issues.set(upstream, issue)
    return issue
  }

  #schedule (upstream: string, issue: Issue, now: number): void {
    issue.timer?.cancel()
    issue.timer = issue.waiting.length === 0 ? undefined : this.#options.clock.after(issue.bucket.due(now), () => this.#serve(upstream))
  }

  /** Gives tokens to those that wait, as far as there are some. Where the limit is gone, all have one. */
  #serve (upstream: string): void {
    const { clock, deliver } = this.#options
    const now = clock.now()
    const known = this.#issues.get(upstream)
    if (known === undefined) return
    known.waiting = known.waiting.filter(each => each.until >= now)
    const isLimited = this.#issue(upstream, now) !== undefined
    const mayIssue = (): boolean => !isLimited || known.bucket.take(now)
    while (known.waiting.length > 0 && mayIssue()) {
      const { from, number } = known.waiting.shift() as Waiting
      deliver(from, { token: 'grant', number })
    }
    this.#schedule(upstream, known, now)
  }
}
