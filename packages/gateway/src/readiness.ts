/**
 * Measures what this gateway uses, and has the balancer send new callers to others while it runs short; when that is, is decided in `Strain`. Owns the timer that shows how late the
 * event loop is. Connections that are open stay: callers are served as before.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { Strain, type Scarce, type StrainBounds } from '@eiderwind/detect'
import { type Log } from '@eiderwind/log'
import { type Heartbeat } from '@eiderwind/peers'

/** What a gateway may use. What is absent is taken to be unlimited. */
export interface ReadinessLimits {
  /** How late its event loop may be on average, in ms. */
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
  /** Resident memory, in bytes, and connections. */
  readonly memory: () => number
  readonly connections: () => number
  /** The other gateways that are live. */
  readonly others: () => ReadonlyArray<Pick<Heartbeat, 'away'>>
}

/** Time between two ticks that show how late the event loop is, and between two samples, in ms. */
const tickInterval = 50
const sampleInterval = 1000

/** Descriptors that the process has beside connections: files, and listeners. */
const otherDescriptors = 60

/** Part of the greatest lateness at which there is enough processor again. */
const relaxed = 1 / 3

/** Parts of memory and descriptors that are short and enough: what comes within the seconds until the balancer has noticed still has to fit. */
const shares: StrainBounds = { short: 0.85, enough: 0.75 }

/** Whether the balancer should send new callers to others. */
export class Readiness {
  readonly #options: ReadinessOptions
  readonly #strain: Strain
  #timer: Subscription | undefined
  #tickedAt = 0
  #sampledAt = 0
  #ticks = 0
  /** By how much the ticks of the sample were late, in ms. */
  #late = 0

  constructor (options: ReadinessOptions) {
    this.#options = options
    const { lateness = Infinity } = options.limits
    this.#strain = new Strain({ processor: { short: lateness, enough: lateness * relaxed }, memory: shares, descriptors: shares })
  }

  /** Why new callers are sent to others; undefined where they are not. */
  get cause (): Scarce | undefined {
    return this.#strain.cause
  }

  /** What other gateways hear of it. */
  get news (): Pick<Heartbeat, 'away'> {
    return this.cause === undefined ? {} : { away: true }
  }

  /** Measures from now on, where anything is limited. */
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
    this.#late += Math.max(0, now - this.#tickedAt - tickInterval)
    this.#tickedAt = now
    this.#ticks++
    if (now - this.#sampledAt < sampleInterval) return
    this.#sample(this.#late / this.#ticks, now)
    this.#sampledAt = now
    this.#ticks = 0
    this.#late = 0
  }

  #sample (lateness: number, now: number): void {
    const { log, limits, memory, connections, others } = this.#options
    const before = this.cause
    const live = others()
    const usage = {
      processor: lateness,
      memory: limits.memory === undefined ? 0 : memory() / limits.memory,
      descriptors: limits.descriptors === undefined ? 0 : (connections() + otherDescriptors) / limits.descriptors
    }
    this.#strain.sample(usage, { live: live.length, away: live.filter(({ away }) => away === true).length }, now)
    if (this.cause === before) return
    const rounded = Object.fromEntries(Object.entries(usage).map(([name, value]) => [name, Number(value.toFixed(2))]))
    log.write('gateway-strained', { away: this.cause !== undefined, cause: this.cause ?? before, ...rounded })
  }
}
