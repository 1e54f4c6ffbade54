/**
 * Tracks the limits of upstreams. An upstream has a limit if it names one in its answers, and while it is cold. If
 * both, the lower one applies. Of several named limits the newest applies, by the time at which a gateway read the
 * headers of the answer that names it. Owns the rate, start and source of each named limit, by the identity of an
 * upstream's process.
 * A gateway that reads a change reports it to the others for a while. Afterwards only the gateway that issues the
 * upstream's tokens reports it, so that heartbeats stay short even if many upstreams are limited.
 */
import { type Clock } from '@eiderwind/clock'
import { type ColdUpstreams } from './cold.js'

/**
 * Requests a second that an upstream takes (null for any number), and the time since the answer with this limit was
 * read, in ms.
 */
export type LimitReport = readonly [rate: number | null, age: number]

/**
 * The lowest enforced rate, in requests a second. An upstream that names 0 still gets a request every ten seconds,
 * because only an answer can say that it takes requests again.
 */
const minRate = 0.1

/** How long a change is reported by the gateway that read it, in ms. This is over two heartbeats of a fleet of 300. */
const changeReportTime = 5000

/**
 * How long the end of a limit is reported by the gateway that issued its tokens, in ms. A partitioned gateway may
 * take as long to return.
 */
const endReportTime = 10_000

interface KnownLimit {
  /** Requests a second; Infinity if the upstream takes any number again. */
  readonly rate: number
  /** When the answer with this limit was read, on `Clock.now`. */
  readonly readAt: number
  /** Since when the upstream has named a limit without a break, on `Clock.now`. */
  readonly since: number
  /**
   * When this gateway itself read a rate other than the one it knew, on `Clock.now`; -Infinity if another gateway
   * reported it first.
   */
  readonly changedAt: number
}

/** The limits of upstreams. */
export class Limits {
  readonly #clock: Clock
  readonly #cold: ColdUpstreams | undefined
  readonly #known = new Map<string, KnownLimit>()

  /** @param cold absent if no upstream is ever cold */
  constructor (clock: Clock, cold?: ColdUpstreams) {
    this.#clock = clock
    this.#cold = cold
  }

  /** Requests a second that an upstream takes from all gateways together; Infinity if it has no limit. */
  rate (id: string): number {
    return Math.min(this.namedRate(id), this.#cold?.rate(id) ?? Infinity)
  }

  /** The limit that the upstream itself has named, in requests a second; Infinity if it has named none. */
  namedRate (id: string): number {
    return this.#known.get(id)?.rate ?? Infinity
  }

  isLimited (id: string): boolean {
    return Number.isFinite(this.rate(id))
  }

  /** Since when an upstream has had a limit, on `Clock.now`; undefined if it has none. */
  since (id: string): number | undefined {
    const begins = [this.#namedSince(id), this.#cold?.since(id)].filter(each => each !== undefined)
    return begins.length === 0 ? undefined : Math.min(...begins)
  }

  /** Ids of the upstreams that name a limit. */
  get namedIds (): string[] {
    return [...this.#known.keys()].filter(id => Number.isFinite(this.namedRate(id)))
  }

  /**
   * Records the limit in an answer to this gateway; Infinity if the answer names none. Returns whether the limit
   * changed.
   */
  recordAnswer (id: string, rate: number): boolean {
    const before = this.namedRate(id)
    if (Number.isFinite(rate) || this.#known.has(id)) this.#set(id, rate, true)
    return this.namedRate(id) !== before
  }

  /** Handles the report of another gateway, unless the report is older. Returns whether the limit changed. */
  receive (id: string, [rate, age]: LimitReport): boolean {
    const readAt = this.#clock.now() - age
    const known = this.#known.get(id)
    const before = this.namedRate(id)
    if (known === undefined && rate === null) return false
    if (known !== undefined && readAt <= known.readAt) return false
    this.#set(id, rate ?? Infinity, false, readAt)
    return this.namedRate(id) !== before
  }

  /**
   * The reports for the other gateways.
   * @param issues whether this gateway issues the tokens of an upstream
   */
  reports (issues: (id: string) => boolean): Record<string, LimitReport> {
    const now = this.#clock.now()
    const isReported = (id: string, { rate, readAt, changedAt }: KnownLimit): boolean => now - changedAt < changeReportTime || ((Number.isFinite(rate) || now - readAt < endReportTime) && issues(id))
    const reported = [...this.#known].filter(([id, known]) => isReported(id, known))
    return Object.fromEntries(reported.map(([id]) => [id, this.report(id)]))
  }

  /** The report about one upstream, for a gateway that may lack it. */
  report (id: string): LimitReport {
    const known = this.#known.get(id)
    if (known === undefined) return [null, endReportTime]
    return [Number.isFinite(known.rate) ? known.rate : null, this.#clock.now() - known.readAt]
  }

  /** Removes the upstreams that are no longer known. */
  keepOnly (isKnown: (id: string) => boolean): void {
    for (const id of this.#known.keys()) if (!isKnown(id)) this.#known.delete(id)
  }

  #namedSince (id: string): number | undefined {
    const known = this.#known.get(id)
    return known === undefined || !Number.isFinite(known.rate) ? undefined : known.since
  }

  /** @param isOwn whether this gateway read the limit in an answer */
  #set (id: string, named: number, isOwn: boolean, readAt = this.#clock.now()): void {
    const known = this.#known.get(id)
    const rate = Math.max(named, minRate)
    const isSame = rate === this.namedRate(id)
    const changedAt = isSame ? known?.changedAt ?? -Infinity : isOwn ? this.#clock.now() : -Infinity
    this.#known.set(id, { rate, readAt, since: this.#namedSince(id) ?? readAt, changedAt })
  }
}
