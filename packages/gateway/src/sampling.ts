/**
 * Runs the gateway's work that recurs twice a second. It samples the load by model, adapts the use of the store to this
 * gateway's duties for the fleet, and logs when the confirmation of the configuration has become too old, or recent
 * again.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type OfferedLoad } from '@eiderwind/dispatch'
import { type Log } from '@eiderwind/log'
import { type Peers } from '@eiderwind/peers'
import { type ModelLoad } from './demand.js'
import { type GatewayBoard } from './facts.js'
import { type Leadership } from './leadership.js'
import { type Platform } from './platform.js'

/** Dependencies of `Sampling`. */
export interface SamplingOptions {
  readonly clock: Clock
  readonly log: Log
  readonly board: GatewayBoard
  readonly platform: Platform
  readonly peers: Peers
  readonly offered: OfferedLoad
  readonly modelLoad: ModelLoad
  readonly leadership: Leadership
  /** Whether requests with keys are served now. */
  readonly servesKeys: () => boolean
}

/** Time between two samples, in ms. The weights in `demand.ts` are chosen for it. */
const sampleInterval = 500

/** Takes samples at a steady interval. */
export class Sampling {
  readonly #options: SamplingOptions
  #timer: Subscription | undefined
  #isUnconfirmed = false
  #use = 'for itself'

  constructor (options: SamplingOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.every(sampleInterval, () => this.#sample())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #sample (): void {
    const { platform, peers, offered, modelLoad, leadership } = this.#options
    offered.sample()
    modelLoad.sample([offered.models, ...peers.live.map(each => each.offeredByModel)])
    const { isPlanningAny: planning, isPolling: confirming, isFollowed: followed, isSpared: spared, fleet } = leadership
    platform.setUse({ planning, confirming, followed, spared, fleet })
    this.#logUse(followed, spared)
    this.#logFreshness()
  }

  #logUse (followed: boolean, spared: boolean): void {
    const use = followed ? 'for others' : spared ? 'told by others' : 'for itself'
    if (use === this.#use) return
    this.#use = use
    this.#options.log.write('store-use', { use })
  }

  #logFreshness (): void {
    const { log, board, servesKeys } = this.#options
    const inForce = board.read('inForce')
    const unconfirmed = inForce !== undefined && !servesKeys()
    if (unconfirmed === this.#isUnconfirmed) return
    this.#isUnconfirmed = unconfirmed
    log.write(unconfirmed ? 'configuration-unconfirmed' : 'configuration-confirmed', { revision: inForce?.traffic.revision })
  }
}
