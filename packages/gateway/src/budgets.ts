/**
 * The retry budgets of all services. The budget of a service is created when it is first needed. Owns the budgets, this
 * gateway's part of the slack (`retrySlack`), and the log of budgets that are used up. Relies on `KnownGateways` to know
 * how many gateways share the slack.
 */
import { type Clock, type Random } from '@eiderwind/clock'
import { RetryBudget, type RetryCounts } from '@eiderwind/dispatch'
import { ranked } from '@eiderwind/hash'
import { type Log } from '@eiderwind/log'
import { type Peers } from '@eiderwind/peers'
import { type GatewayBoard } from './facts.js'
import { KnownGateways } from './knowngateways.js'
import { RetryLoans } from './retryloans.js'
import { type GatewaySettings } from './settings.js'

/** Share of the slack that is used. The rest is for gateways that are not known yet, and for what is sent late. */
const usedShare = 0.94

/** The part of a gateway that has read no list of gateways: enough to keep one earned retry, and nothing in reserve. */
const unlistedPart = 1

/** The key under which gateways are ranked. It must not change: gateways of all builds compute the same ranking. */
const rankingKey = 'retries'

/** Time between two log lines about a budget that is used up, in ms. */
const logInterval = 1000

/** Dependencies of `Budgets`. */
export interface BudgetsOptions {
  readonly clock: Clock
  readonly log: Log
  /** This gateway's id. */
  readonly id: string
  readonly board: GatewayBoard
  readonly peers: Pick<Peers, 'addresses' | 'live' | 'post'>
  readonly random: Random
  readonly settings: Pick<GatewaySettings, 'isFirstStart' | 'retryRatio' | 'retrySlack' | 'retryWindow'>
}

/** Retry budgets by service. */
export class Budgets {
  readonly #options: BudgetsOptions
  readonly #startedAt: number
  readonly #hadPredecessor: boolean
  readonly #gateways: KnownGateways
  readonly #loans: RetryLoans
  readonly #budgets = new Map<string, RetryBudget>()
  /** The last computed part, which is the same until other gateways are known. */
  #lastPart: { readonly others: readonly string[], readonly part: number } | undefined
  /** Retries that were denied since the last log line, by service. */
  readonly #denied = new Map<string, number>()

  constructor (options: BudgetsOptions) {
    this.#options = options
    const { clock, peers, random, settings } = options
    this.#startedAt = clock.now()
    this.#hadPredecessor = !settings.isFirstStart
    this.#gateways = new KnownGateways(clock, peers)
    this.#loans = new RetryLoans({ clock, peers, random, budget: service => this.#isService(service) ? this.of(service) : undefined })
  }

  of (service: string): RetryBudget {
    const existing = this.#budgets.get(service)
    if (existing !== undefined) return existing
    const { clock, settings } = this.#options
    const created = new RetryBudget(clock, {
      ratio: settings.retryRatio,
      window: settings.retryWindow,
      part: () => this.#part,
      startedAt: this.#hadPredecessor ? this.#startedAt : -Infinity,
      denied: () => this.#countDenied(service),
      short: missing => this.#loans.ask(service, missing)
    })
    this.#budgets.set(service, created)
    return created
  }

  /** Takes a datagram of another gateway. Returns whether it is about retries. @param from `host:port` of its sender */
  receive (datagram: Buffer, from: string): boolean {
    return this.#loans.receive(datagram, from)
  }

  /** Retries that are left now, by service. */
  get left (): Record<string, number> {
    return this.#byService(budget => budget.left)
  }

  /** Retries since the start, by service. */
  counts (kind: keyof RetryCounts): Record<string, number> {
    return this.#byService(budget => budget.counts[kind])
  }

  #byService (read: (budget: RetryBudget) => number): Record<string, number> {
    return Object.fromEntries([...this.#budgets].map(([service, each]) => [service, read(each)]))
  }

  #isService (name: string): boolean {
    return this.#options.board.read('inForce')?.traffic.services.some(each => each.name === name) === true
  }

  /** This gateway's part of the slack. */
  get #part (): number {
    const { id, board, settings: { retrySlack } } = this.#options
    if (!board.read('listed')) return unlistedPart
    const { ids: others } = this.#gateways
    if (this.#lastPart?.others !== others) this.#lastPart = { others, part: partOf(usedShare * retrySlack, id, [id, ...others]) }
    return this.#lastPart.part
  }

  #countDenied (service: string): void {
    const count = this.#denied.get(service)
    this.#denied.set(service, (count ?? 0) + 1)
    if (count === undefined) this.#options.clock.after(logInterval, () => this.#report(service))
  }

  #report (service: string): void {
    const { clock, log, board } = this.#options
    const { used } = this.of(service)
    const denied = this.#denied.get(service)
    this.#denied.delete(service)
    log.write('retry-budget-spent', { service, denied, used, part: Math.round(this.#part), gateways: this.#gateways.ids.length + 1, listed: board.read('listed'), life: Math.round(clock.now() - this.#startedAt) })
  }
}

/**
 * The part of one gateway. If there are more gateways than retries, some have one each and the others none.
 * @param ids all gateways
 */
function partOf (slack: number, id: string, ids: readonly string[]): number {
  if (slack >= ids.length) return slack / ids.length
  return ranked(rankingKey, ids).indexOf(id) < Math.floor(slack) ? 1 : 0
}
