/**
 * The retry budget of one service at this gateway. It bounds what the whole fleet sends: in any window at most `ratio`
 * retries for each request of that window, and `slack` more. No gateway knows what the others have sent, and none
 * remembers what the process before it has sent, so each uses only its own part of the slack, in two ways:
 *
 * - Each request earns `ratio` of a retry. Earned retries are kept up to a small depth, which is taken from the part. So
 *   the retries of a window exceed what its requests have earned by the depth at most, over any number of processes one
 *   after the other, since none takes over what the one before it had earned.
 * - The rest of the part is a reserve, which may be used at once and is free again a window later. A process has none in
 *   its first window, since the process before it may have used it. It has a few retries in advance instead, which
 *   its first requests repay.
 *
 * A gateway may lend retries to another one. It counts them as its own when it lends them, and the other one has to use
 * them at once, so the sum stays the same whatever becomes of the loan.
 *
 * Owns the earned retries, the use of the reserve and the borrowed retries. Relies on each request of a caller being
 * counted, and on each retry being sent at once. `retry.ts` decides which retries need the budget.
 */
import { type Clock } from '@eiderwind/clock'
import { SlidingSum } from './slidingsum.js'

/** How many retries all gateways together may make in any window, and the part of this gateway. */
export interface RetryBudgetOptions {
  /** Retries for each request of a caller. */
  readonly ratio: number
  /** Length of the window, in ms. */
  readonly window: number
  /** This gateway's part of the retries that all gateways together may make beyond the ratio in one window. */
  readonly part: () => number
  /** When this process started, on `Clock.now`, in ms. -Infinity if there was none before it. */
  readonly startedAt: number
  /** Called for each retry that is denied. Default: nothing. */
  readonly denied?: () => void
  /** Called if fewer retries are left than were lately wanted, with the number that is missing. Default: nothing. */
  readonly short?: (missing: number) => void
}

/** Retries since the start of the process. */
export interface RetryCounts {
  granted: number
  denied: number
  sent: number
  borrowed: number
  lent: number
}

/** Maximum time between the grant of a retry and the moment at which it is sent, in ms: enough for most new connections. */
const maxSendDelay = 300

/** How long a borrowed retry may be used after it was asked for, in ms: many times a round trip between gateways. */
export const loanLifetime = 150

/** How much longer than a window a retry of the reserve counts, in ms: it may have been lent, and sent late. */
const maxDelay = maxSendDelay + loanLifetime

/** Share of the part that earned retries are kept up to; at least one whole retry, or none could ever be used. */
const depthShare = 0.1
const minDepth = 1

/** Maximum number of retries that a process may make before its requests have earned them. */
const maxAdvance = 2

/** Share of the part that is not lent. */
const keptShare = 0.25

/** Time for which wanted retries are counted to tell whether the budget is short, in ms. */
const demandTime = 500

/** Makes up for the error of sums of fractions. */
const rounding = 1e-6

interface Loan {
  count: number
  /** On `Clock.bootNow`, in ms. */
  readonly until: number
}

/** Limits the retries of one service. */
export class RetryBudget {
  readonly #clock: Clock
  readonly #options: RetryBudgetOptions
  readonly #reserveUse: SlidingSum
  readonly #wanted = new SlidingSum(demandTime)
  readonly #counts: RetryCounts = { granted: 0, denied: 0, sent: 0, borrowed: 0, lent: 0 }
  #earned = 0
  #loans: Loan[] = []

  constructor (clock: Clock, options: RetryBudgetOptions) {
    this.#clock = clock
    this.#options = options
    this.#reserveUse = new SlidingSum(options.window + maxDelay)
  }

  /** Retries that are left now. */
  get left (): number {
    return Math.floor(this.#own + this.#borrowed + rounding)
  }

  /** Retries of the reserve that were used or lent in the last window. */
  get used (): number {
    return this.#reserveUse.sum(this.#clock.now())
  }

  get counts (): Readonly<RetryCounts> {
    return this.#counts
  }

  /** Counts a request of a caller. */
  countRequest (): void {
    this.#earned = Math.min(this.#depth, this.#earned + this.#options.ratio)
  }

  /** Takes one retry, which has to be sent at once. Returns false if none was left. */
  take (): boolean {
    if (!this.mayTake()) return false
    this.#counts.granted++
    this.#spend(1)
    this.#checkDemand()
    return true
  }

  /** Whether a retry is left for a request that needs one now. If not, it counts as denied. */
  mayTake (): boolean {
    const isLeft = this.left >= 1
    this.#wanted.add(1, this.#clock.now())
    if (!isLeft) {
      this.#counts.denied++
      this.#options.denied?.()
      this.#checkDemand()
    }
    return isLeft
  }

  /**
   * Called when a retry that was taken is about to be sent. Returns whether it may be sent: one that was delayed for too
   * long has to be taken again.
   * @param takenAt when it was taken, on `Clock.bootNow`
   */
  send (takenAt: number): boolean {
    const isInTime = this.#clock.bootNow() - takenAt <= maxSendDelay
    const maySend = isInTime || this.take()
    if (maySend) this.#counts.sent++
    return maySend
  }

  /** Lends up to `count` retries to another gateway. Returns how many. */
  lend (count: number): number {
    const spare = Math.floor(this.#own - keptShare * this.#options.part() + rounding)
    const lent = Math.max(0, Math.min(count, spare))
    this.#spendOwn(lent)
    this.#counts.lent += lent
    return lent
  }

  /**
   * Takes retries that another gateway has lent.
   * @param askedAt when they were asked for, on `Clock.bootNow`
   */
  borrow (count: number, askedAt: number): void {
    this.#loans.push({ count, until: askedAt + loanLifetime })
    this.#counts.borrowed += count
  }

  get #own (): number {
    return this.#earned + this.#advance + Math.max(0, this.#reserve - this.used)
  }

  /** Whether the reserve may have been used by the process before this one. */
  get #isFirstWindow (): boolean {
    const { window, startedAt } = this.#options
    return this.#clock.now() - startedAt < window + maxDelay
  }

  /** Retries that may be made before requests have earned them. */
  get #advance (): number {
    return this.#isFirstWindow ? Math.min(maxAdvance, this.#depth) : 0
  }

  get #borrowed (): number {
    if (this.#loans.length === 0) return 0
    const now = this.#clock.bootNow()
    this.#loans = this.#loans.filter(each => each.count > 0 && each.until >= now)
    return this.#loans.reduce((sum, each) => sum + each.count, 0)
  }

  get #depth (): number {
    const part = this.#options.part()
    return Math.min(part, Math.max(minDepth, depthShare * part))
  }

  get #reserve (): number {
    return this.#isFirstWindow ? 0 : this.#options.part() - this.#depth
  }

  /** Uses borrowed retries first, since they expire soon. */
  #spend (count: number): void {
    const loan = this.#borrowed >= count ? this.#loans[0] : undefined
    if (loan === undefined) return this.#spendOwn(count)
    loan.count -= count
  }

  /** Uses earned retries first, since they are lost above the depth. */
  #spendOwn (count: number): void {
    const earned = Math.min(count, this.#earned + this.#advance)
    this.#earned -= earned
    if (earned < count) this.#reserveUse.add(count - earned, this.#clock.now())
  }

  #checkDemand (): void {
    const missing = this.#wanted.sum(this.#clock.now()) - this.left
    if (missing > 0) this.#options.short?.(missing)
  }
}
