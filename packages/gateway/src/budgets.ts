/**
 * The retry budgets of all services: one each, made when the service is first seen. Owns them; relies on the list of
 * gateways to know how many share the slack.
 */
import { type Clock } from '@eiderwind/clock'
import { RetryBudget } from '@eiderwind/dispatch'
import { type Peers } from '@eiderwind/peers'
import { type GatewayBoard } from './facts.js'
import { type GatewaySettings } from './settings.js'

/**
 * Gateways that are assumed until the list of them is known, so that a fleet that starts together stays within the slack. More than
 * small sites have.
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
    const known = this.#budgets.get(service)
    if (known !== undefined) return known
    const { clock, settings } = this.#options
    const made = new RetryBudget(clock, { ratio: settings.retryRatio, slack: settings.retrySlack, window: settings.retryWindow, gateways: () => this.#gateways })
    this.#budgets.set(service, made)
    return made
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
