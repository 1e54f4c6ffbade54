/**
 * Borrows retries from other gateways for services whose budget here runs short, and lends them to gateways that ask.
 * So the callers of one gateway get what the others have to spare. No caller waits for a loan: it serves retries that
 * are wanted soon after. Owns the pending asks, and which gateways were asked lately. Relies on datagrams, which may be
 * lost: a lost loan is a few retries that nobody makes. `RetryBudget` keeps the bound on what all gateways send.
 */
import { type Clock, type Random } from '@eiderwind/clock'
import { loanLifetime, type RetryBudget } from '@eiderwind/dispatch'
import { type Peers } from '@eiderwind/peers'
import { decodeLoan, encodeLoan, type LoanMessage } from './loanmessages.js'

/** Dependencies of `RetryLoans`. */
export interface RetryLoansOptions {
  readonly clock: Clock
  readonly peers: Pick<Peers, 'addresses' | 'live' | 'post'>
  /** The budget of a service; undefined if there is no such service. */
  readonly budget: (service: string) => RetryBudget | undefined
  /**
   * Chooses the gateways to ask. Also draws the number of the first ask, so that loans to an earlier process of this
   * gateway do not match.
   */
  readonly random: Random
}

/**
 * Minimum time between two rounds of asks for one service, in ms, and the gateways that are asked in one. They bound the
 * datagrams in fleets of any size. The time doubles with each refusal up to the maximum, since where all gateways are
 * short, asking is of no use.
 */
const minAskInterval = 50
const maxAskInterval = 800
const fanOut = 2

/** How long a gateway is not asked again, in ms: after it has lent all that was asked for, and otherwise. */
const pauseAfterLoan = 100
const pauseAfterRefusal = 1000

/** Maximum number of retries in one ask. */
const maxAsked = 32

/** Upper bound for the number of the first ask. */
const maxFirstNumber = 2 ** 40

interface PendingAsk {
  readonly service: string
  readonly lender: string
  readonly count: number
  /** On `Clock.bootNow`, in ms. */
  readonly askedAt: number
}

/** What is known of the lenders of one service. */
interface Lenders {
  /** When they were last asked, on `Clock.bootNow`, in ms. */
  askedAt: number
  /** Time until they may be asked again, in ms. */
  interval: number
  /** Until when each is not asked again, on `Clock.bootNow`, in ms. */
  readonly pausedUntil: Map<string, number>
}

/** The loans of one gateway. */
export class RetryLoans {
  readonly #options: RetryLoansOptions
  readonly #pending = new Map<number, PendingAsk>()
  readonly #lenders = new Map<string, Lenders>()
  #lastNumber: number

  constructor (options: RetryLoansOptions) {
    this.#options = options
    this.#lastNumber = Math.floor(options.random() * maxFirstNumber)
  }

  /** Asks other gateways for retries, unless some were just asked. @param missing number of retries */
  ask (service: string, missing: number): void {
    const now = this.#options.clock.bootNow()
    const lenders = this.#lendersOf(service)
    if (now - lenders.askedAt < lenders.interval) return
    this.#forget(now)
    const chosen = this.#choose(lenders, now)
    if (chosen.length === 0) return
    lenders.askedAt = now
    const count = Math.min(maxAsked, Math.ceil(missing / chosen.length))
    for (const lender of chosen) this.#askOne({ service, lender, count, askedAt: now })
  }

  /** Takes a datagram. Returns whether it is about loans. @param from `host:port` of its sender */
  receive (datagram: Buffer, from: string): boolean {
    const message = decodeLoan(datagram)
    if (message === undefined) return false
    if (message.retry === 'ask') this.#answer(message, from)
    else this.#take(message)
    return true
  }

  /** Lends only to listed gateways: others may belong to another fleet. */
  #answer ({ service, number, count }: Extract<LoanMessage, { retry: 'ask' }>, from: string): void {
    const { peers, budget } = this.#options
    if (!peers.addresses.some(each => each.address === from)) return
    peers.post(from, encodeLoan({ retry: 'lend', number, count: budget(service)?.lend(count) ?? 0 }))
  }

  #take ({ number, count }: Extract<LoanMessage, { retry: 'lend' }>): void {
    const ask = this.#pending.get(number)
    if (ask === undefined) return
    this.#pending.delete(number)
    const lenders = this.#lendersOf(ask.service)
    const pause = count < ask.count ? pauseAfterRefusal : pauseAfterLoan
    lenders.pausedUntil.set(ask.lender, this.#options.clock.bootNow() + pause)
    lenders.interval = count === 0 ? Math.min(maxAskInterval, 2 * lenders.interval) : minAskInterval
    if (count > 0) this.#options.budget(ask.service)?.borrow(Math.min(count, ask.count), ask.askedAt)
  }

  #askOne (ask: PendingAsk): void {
    const { service, lender, count, askedAt } = ask
    const number = ++this.#lastNumber
    this.#pending.set(number, ask)
    this.#lendersOf(service).pausedUntil.set(lender, askedAt + pauseAfterRefusal)
    this.#options.peers.post(lender, encodeLoan({ retry: 'ask', service, number, count }))
  }

  /** Picks some of the listed live gateways that were not asked lately, at random. */
  #choose ({ pausedUntil }: Lenders, now: number): string[] {
    const { peers, random } = this.#options
    const listed = new Set(peers.addresses.map(each => each.id))
    const able = peers.live.map(each => each.id).filter(id => listed.has(id) && (pausedUntil.get(id) ?? 0) <= now)
    const chosen: string[] = []
    while (chosen.length < fanOut && able.length > 0) chosen.push(...able.splice(Math.floor(random() * able.length), 1))
    return chosen
  }

  #lendersOf (service: string): Lenders {
    const known = this.#lenders.get(service)
    if (known !== undefined) return known
    const created = { askedAt: -Infinity, interval: minAskInterval, pausedUntil: new Map<string, number>() }
    this.#lenders.set(service, created)
    return created
  }

  /** Removes asks whose loans could no longer be used, and pauses that have ended. */
  #forget (now: number): void {
    for (const [number, { askedAt }] of this.#pending) if (now - askedAt > loanLifetime) this.#pending.delete(number)
    for (const { pausedUntil } of this.#lenders.values()) {
      for (const [id, until] of pausedUntil) if (until <= now) pausedUntil.delete(id)
    }
  }
}
