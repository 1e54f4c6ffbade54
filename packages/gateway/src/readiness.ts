/**
 * Measures the resource usage of this gateway, and makes the balancer send new callers to other gateways while a
 * resource is scarce. `Strain` decides when that is the case. Owns the timer that measures the delay of the event loop.
 * Open connections stay, and their callers are served as before.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { Strain, type Resource, type StrainBounds } from '@eiderwind/detect'
import { type Log } from '@eiderwind/log'
import { type Heartbeat } from '@eiderwind/peers'

/** The resources that a gateway may use. An absent limit means unlimited. */
export interface ReadinessLimits {
  /** Maximum average delay of its event loop, in ms. */
  readonly lateness?: number | undefined
  /** Memory of the process, in bytes. */
  readonly memory?: number | undefined
  readonly descriptors?: number | undefined
}

/** Dependencies of `Readiness`. */
export interface ReadinessOptions {
  readonly clock: Clock
  readonly log: Log
  readonly limits: ReadinessLimits
  /** Reads the resident memory in bytes, and the number of connections. */
  readonly memory: () => number
  readonly connections: () => number
  /** The other gateways that are live. */
  readonly others: () => ReadonlyArray<Pick<Heartbeat, 'away'>>
}

/** Interval between ticks that measure the delay of the event loop, and between samples, in ms. */
const tickInterval = 50
const sampleInterval = 1000

/** Descriptors that the process uses in addition to connections: files and listeners. */
const otherDescriptors = 60

/** The processor counts as sufficient again below this share of the maximum lateness. */
const recoveryShare = 1 / 3

/**
 * Shares of memory and descriptors that count as scarce and as sufficient. The rest must hold what arrives in the
 * seconds until the balancer has noticed.
 */
const resourceBounds: StrainBounds = { short: 0.85, enough: 0.75 }

/** Decides whether the balancer should send new callers to other gateways. */
export class Readiness {
  readonly #options: ReadinessOptions
  readonly #strain: Strain
  #timer: Subscription | undefined
  #tickedAt = 0
  #sampledAt = 0
  #ticks = 0
  /** Sum of the ticks' delays in this sample, in ms. */
  #totalDelay = 0

  constructor (options: ReadinessOptions) {
    this.#options = options
    const { lateness = Infinity } = options.limits
    this.#strain = new Strain({
      processor: { short: lateness, enough: lateness * recoveryShare },
      memory: resourceBounds,
      descriptors: resourceBounds
    })
  }

  /** The scarce resource because of which new callers are sent to other gateways; undefined if there is none. */
  get cause (): Resource | undefined {
    return this.#strain.cause
  }

  /** This module's field of the heartbeats to other gateways. */
  get heartbeatFields (): Pick<Heartbeat, 'away'> {
    return this.cause === undefined ? {} : { away: true }
  }

  /** Starts measuring, if any resource is limited. */
  start (): void {
    const { clock, limits } = this.#options
    if (Object.values(limits).every(each => each === undefined)) return
    this.#tickedAt = clock.now()
    this.#sampledAt = this.#tickedAt
    this.#timer = clock.every(tickInterval, () => this.#tick())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #tick (): void {
    const now = this.#options.clock.now()
    this.#totalDelay += Math.max(0, now - this.#tickedAt - tickInterval)
    this.#tickedAt = now
    this.#ticks++
    if (now - this.#sampledAt < sampleInterval) return
    this.#sample(this.#totalDelay / this.#ticks, now)
    this.#sampledAt = now
    this.#ticks = 0
    this.#totalDelay = 0
  }

  #sample (lateness: number, now: number): void {
    const { log, limits, memory, connections, others } = this.#options
    const previous = this.cause
    const live = others()
    const usage = {
      processor: lateness,
      memory: limits.memory === undefined ? 0 : memory() / limits.memory,
      descriptors: limits.descriptors === undefined ? 0 : (connections() + otherDescriptors) / limits.descriptors
    }
    this.#strain.sample(usage, { live: live.length, away: live.filter(({ away }) => away === true).length }, now)
    if (this.cause === previous) return
    const rounded = Object.fromEntries(Object.entries(usage).map(([name, value]) => [name, Number(value.toFixed(2))]))
    log.write('gateway-strained', { away: this.cause !== undefined, cause: this.cause ?? previous, ...rounded })
  }
}
