/**
 * The retry budgets of all services. The budget of a service is created when it is first needed. Owns the budgets.
 * Relies on the list of gateways to know how many gateways share the slack (`retrySlack`).
 */
import { type Clock } from '@eiderwind/clock'
import { RetryBudget } from '@eiderwind/dispatch'
import { type Peers } from '@eiderwind/peers'
import { type GatewayBoard } from './facts.js'
import { type GatewaySettings } from './settings.js'

/**
 * Number of gateways that is assumed until their list is known, so that a fleet whose gateways start together stays
 * within the slack. Small sites have fewer.
 */
const assumedGateways = 8

/** Dependencies of `Budgets`. */
export interface BudgetsOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly peers: Peers
  readonly settings: GatewaySettings
}

/** Retry budgets by service. */
export class Budgets {
  readonly #options: BudgetsOptions
  readonly #budgets = new Map<string, RetryBudget>()

  constructor (options: BudgetsOptions) {
    this.#options = options
  }

  of (service: string): RetryBudget {
    const existing = this.#budgets.get(service)
    if (existing !== undefined) return existing
    const { clock, settings } = this.#options
    const created = new RetryBudget(clock, {
      ratio: settings.retryRatio,
      slack: settings.retrySlack,
      window: settings.retryWindow,
      gateways: () => this.#gateways
    })
    this.#budgets.set(service, created)
    return created
  }

  /** Retries that are left now, by service. */
  get left (): Record<string, number> {
    return Object.fromEntries([...this.#budgets].map(([service, each]) => [service, each.left]))
  }

  get #gateways (): number {
    const { board, peers } = this.#options
    return board.read('listed') ? peers.addresses.length + 1 : assumedGateways
  }
}
