/**
 * Tracks which upstreams are cold, and how many requests a second each of them gets. A cold upstream has just
 * started, or announces that it is cold, and fails at a load that it bears later. Owns this state, by the identity of
 * an upstream's process.
 * The state is a remaining time, counted from when it was read. A record that is read late, a suspended process and a
 * delayed report therefore make an upstream count as cold for longer, never for shorter.
 */
import { type Clock } from '@eiderwind/clock'

/** Requests a second that a cold upstream gets from all gateways together, and how much longer it is cold, in ms. */
export type ColdReport = readonly [rate: number, remaining: number]

/** Dependencies of `ColdUpstreams`. */
export interface ColdUpstreamsOptions {
  readonly clock: Clock
  /**
   * Requests a second that a cold upstream gets according to the configuration; Infinity if it has no such setting or
   * the upstream is not known.
   */
  readonly rate: (id: string) => number
  /** Called when an upstream is no longer cold. */
  readonly ended: (id: string) => void
}

/** Upper bound of the time for which one report counts, in ms. */
const maxColdTime = 3_600_000

/**
 * By how much a report of another gateway must exceed the known remaining time, in ms. Otherwise the transit time of
 * reports would prolong the state again and again.
 */
const minExtension = 50

/**
 * How long a gateway that has read that an upstream is cold reports it, in ms, and how many upstreams it reports at
 * most. The time is over two heartbeats. The bound keeps heartbeats short when many upstreams start at once.
 */
const reportTime = 600
const maxReported = 64

/** Tokens that one gateway may issue at once beyond the rate. */
const burst = 1.5

/**
 * Upper bound of what two gateways issue together while both consider themselves the owner, as a factor of the rate.
 */
const doubleIssueFactor = 1.4

/** Upper bound of the tokens in a second when tokens are held for a moment, as a factor of the rate. */
const holdFactor = 1.1

interface ColdState {
  /** When the cold state ends, and since when it has lasted without a break, on `Clock.now`. */
  readonly until: number
  readonly since: number
  /** The lowest rate in the reports of other gateways; Infinity if there was none. */
  readonly rate: number
  /** When this gateway read it itself, on `Clock.now`; -Infinity if it only received reports. */
  readonly readAt: number
}

/**
 * Requests a second that a cold upstream may be sent, so that it gets at most `rate` x `overshoot` + `slack` in any
 * one second. Two gateways may issue tokens for it at once while the fleet is partly partitioned. Together they issue
 * up to two fifths more, with a burst each. Tokens that are held for 100 ms move a tenth of a second's tokens into
 * the next second.
 * @param rate requests a second that the upstream bears
 */
export function coldRate (rate: number, overshoot: number, slack: number): number {
  const bound = rate * overshoot + slack
  return Math.min(rate, Math.max(0, bound - 2 * burst) / (doubleIssueFactor * holdFactor))
}

/** The cold upstreams. */
export class ColdUpstreams {
  readonly #options: ColdUpstreamsOptions
  readonly #cold = new Map<string, ColdState>()

  constructor (options: ColdUpstreamsOptions) {
    this.#options = options
  }

  /** Requests a second that a cold upstream takes from all gateways together; Infinity if it is not cold. */
  rate (id: string): number {
    const cold = this.#find(id)
    return cold === undefined ? Infinity : Math.min(cold.rate, this.#options.rate(id))
  }

  /** Since when an upstream has been cold, on `Clock.now`; undefined if it is not cold. */
  since (id: string): number | undefined {
    return Number.isFinite(this.rate(id)) ? this.#find(id)?.since : undefined
  }

  /** How much longer an upstream is cold, in ms. */
  remaining (id: string): number {
    return (this.#find(id)?.until ?? -Infinity) - this.#options.clock.now()
  }

  /** Ids of the cold upstreams. */
  get ids (): string[] {
    return [...this.#cold.keys()].filter(id => Number.isFinite(this.rate(id)))
  }

  /**
   * Records that this gateway itself has read that an upstream is cold for `remaining` ms. Returns whether it was not
   * cold before.
   */
  recordAnswer (id: string, remaining: number): boolean {
    return this.#extend(id, remaining, Infinity, this.#options.clock.now())
  }

  /** Handles the report of another gateway. Returns whether the upstream was not cold before. */
  receive (id: string, [rate, remaining]: ColdReport): boolean {
    const isExtension = remaining > Math.max(0, this.remaining(id)) + minExtension || this.#find(id) === undefined
    return isExtension && this.#extend(id, remaining, rate, -Infinity)
  }

  /** Ends the cold state of an upstream. */
  end (id: string): void {
    if (this.#cold.delete(id)) this.#options.ended(id)
  }

  /**
   * The reports for the other gateways.
   * @param issues whether this gateway issues the tokens of an upstream
   */
  reports (issues: (id: string) => boolean): Record<string, ColdReport> {
    const now = this.#options.clock.now()
    const lately = [...this.#cold].filter(([, { readAt }]) => now - readAt < reportTime).slice(0, maxReported)
    const ids = new Set([...lately.map(([id]) => id), ...this.ids.filter(issues)])
    return Object.fromEntries([...ids].flatMap(id => {
      const report = this.report(id)
      return report === undefined ? [] : [[id, report]]
    }))
  }

  /** The report about one upstream, for a gateway that may lack it; undefined if the upstream is not cold. */
  report (id: string): ColdReport | undefined {
    const rate = this.rate(id)
    return Number.isFinite(rate) ? [rate, Math.ceil(this.remaining(id))] : undefined
  }

  #find (id: string): ColdState | undefined {
    const cold = this.#cold.get(id)
    return cold === undefined || cold.until <= this.#options.clock.now() ? undefined : cold
  }

  #extend (id: string, remaining: number, rate: number, readAt: number): boolean {
    if (!(remaining > 0)) return false
    const { clock } = this.#options
    const now = clock.now()
    const known = this.#find(id)
    const time = Math.min(remaining, maxColdTime)
    this.#cold.set(id, {
      until: Math.max(known?.until ?? 0, now + time),
      since: known?.since ?? now,
      rate: Math.min(known?.rate ?? Infinity, rate),
      readAt: Math.max(known?.readAt ?? -Infinity, readAt)
    })
    clock.after(time, () => this.#check(id))
    return known === undefined
  }

  #check (id: string): void {
    if (this.#cold.has(id) && this.#find(id) === undefined) this.end(id)
  }
}
