/**
 * What is known of the limits of upstreams: those that they name, and those of cold ones; the lower holds. Of a named one: which rate, since when, and from which source. Owns these beliefs, by the identity of an upstream's life. The newest report
 * holds, by the time at which the head of the answer was read, at any gateway. A gateway that reads a change reports it to the others for a while; from then on only the one that
 * issues the upstream's tokens does, so that heartbeats stay short however many upstreams are limited.
 */
import { type Clock } from '@eiderwind/clock'
import { type ColdUpstreams } from './cold.js'

/** Requests a second that an upstream takes, null for any number, and the time since the answer that says so was read, in ms. */
export type LimitReport = readonly [rate: number | null, age: number]

/**
 * Lowest rate that is kept to, in requests a second. An upstream that names 0 is asked again once in ten seconds: only an answer can say that it takes requests.
 */
const lowestRate = 0.1

/** How long a change is reported by the gateway that read it, in ms: over two heartbeats of a fleet of 300. */
const changeTime = 5000

/** How long the end of a limit is reported by the gateway that issued its tokens, in ms: as long as another one that was cut off may take to come back. */
const endTime = 10_000

interface Known {
  /** Requests a second; Infinity where the upstream takes any number again. */
  readonly rate: number
  /** When the answer that says so was read, on `Clock.now`. */
  readonly saidAt: number
  /** Since when it has named a limit without a break, on `Clock.now`. */
  readonly since: number
  /** When this gateway read that the rate is another one than it knew, on `Clock.now`; -Infinity where it heard so first. */
  readonly changedAt: number
}

/** The limits of upstreams. */
export class Limits {
  readonly #clock: Clock
  readonly #cold: ColdUpstreams | undefined
  readonly #known = new Map<string, Known>()

  /** @param cold absent where no upstream is ever cold */
  constructor (clock: Clock, cold?: ColdUpstreams) {
    this.#clock = clock
    this.#cold = cold
  }

  /** Requests a second that an upstream takes from all gateways together; Infinity where it has no limit. */
  rate (id: string): number {
    return Math.min(this.namedRate(id), this.#cold?.rate(id) ?? Infinity)
  }

  /** Of those, what the upstream itself has named; Infinity where it has named no limit. */
  namedRate (id: string): number {
    return this.#known.get(id)?.rate ?? Infinity
  }

  isLimited (id: string): boolean {
    return Number.isFinite(this.rate(id))
  }

  /** Since when an upstream has had a limit, on `Clock.now`; undefined where it has none. */
  since (id: string): number | undefined {
    const begins = [this.#namedSince(id), this.#cold?.since(id)].filter(each => each !== undefined)
    return begins.length === 0 ? undefined : Math.min(...begins)
  }

  /** Ids of the upstreams that name a limit. */
  get limited (): string[] {
    return [...this.#known.keys()].filter(id => Number.isFinite(this.namedRate(id)))
  }

  /** Takes the limit that an answer to this gateway names; Infinity where it names none. Returns whether it is another one than before. */
  named (id: string, rate: number): boolean {
    const before = this.namedRate(id)
    if (Number.isFinite(rate) || this.#known.has(id)) this.#set(id, rate, true)
    return this.namedRate(id) !== before
  }

  /** Takes the report of another gateway, unless it is older. Returns whether it is another limit than before. */
  heard (id: string, [rate, age]: LimitReport): boolean {
    const saidAt = this.#clock.now() - age
    const known = this.#known.get(id)
    const before = this.namedRate(id)
    if (known === undefined && rate === null) return false
    if (known !== undefined && saidAt <= known.saidAt) return false
    this.#set(id, rate ?? Infinity, false, saidAt)
    return this.namedRate(id) !== before
  }

  /** The reports for the other gateways. @param issues whether this gateway issues the tokens of an upstream */
  reports (issues: (id: string) => boolean): Record<string, LimitReport> {
    const now = this.#clock.now()
    const isReported = (id: string, { rate, saidAt, changedAt }: Known): boolean => now - changedAt < changeTime || ((Number.isFinite(rate) || now - saidAt < endTime) && issues(id))
    const reported = [...this.#known].filter(([id, known]) => isReported(id, known))
    return Object.fromEntries(reported.map(([id]) => [id, this.report(id)]))
  }

  /** What is known of one upstream, for a gateway that may lack it. */
  report (id: string): LimitReport {
    const known = this.#known.get(id)
    if (known === undefined) return [null, endTime]
    return [Number.isFinite(known.rate) ? known.rate : null, this.#clock.now() - known.saidAt]
  }

  /** Forgets the upstreams that are not remembered any more. */
  keepOnly (isRemembered: (id: string) => boolean): void {
    for (const id of this.#known.keys()) if (!isRemembered(id)) this.#known.delete(id)
  }

  #namedSince (id: string): number | undefined {
    const known = this.#known.get(id)
    return known === undefined || !Number.isFinite(known.rate) ? undefined : known.since
  }

  /** @param isOwn whether this gateway read it in an answer */
  #set (id: string, named: number, isOwn: boolean, saidAt = this.#clock.now()): void {
    const known = this.#known.get(id)
    const rate = Math.max(named, lowestRate)
    const isSame = rate === this.namedRate(id)
    const changedAt = isSame ? known?.changedAt ?? -Infinity : isOwn ? this.#clock.now() : -Infinity
    this.#known.set(id, { rate, saidAt, since: this.#namedSince(id) ?? saidAt, changedAt })
  }
}
