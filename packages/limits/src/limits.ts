/**
 * What is known of the limits that upstreams name: which rate, since when, and from which source. Owns these beliefs, by the identity of an upstream's life. The newest report
 * holds, by the time at which the head of the answer was read, at any gateway. A gateway reports to the others for a while what it read itself, and never what it has
 * from another gateway, so that no old report outlives a newer one.
 */
import { type Clock } from '@eiderwind/clock'

/** Requests a second that an upstream takes, null for any number, and the time since the answer that says so was read, in ms. */
export type LimitReport = readonly [rate: number | null, age: number]

/**
 * Lowest rate that is kept to, in requests a second. An upstream that names 0 is asked again once in ten seconds: only an answer can say that it takes requests.
 */
const lowestRate = 0.1

/** How long the other gateways get a report after the answer was read, in ms: one that was cut off for a while gets it too. */
const reportTime = 10_000

interface Known {
  /** Requests a second; Infinity where the upstream takes any number again. */
  readonly rate: number
  /** When the answer that says so was read, on `Clock.now`. */
  readonly saidAt: number
  /** Since when it has named a limit without a break, on `Clock.now`. */
  readonly since: number
  /** Whether this gateway read it itself. */
  readonly own: boolean
}

/** The limits of upstreams. */
export class Limits {
  readonly #clock: Clock
  readonly #known = new Map<string, Known>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Requests a second that an upstream takes from all gateways together; Infinity where it has named no limit. */
  rate (id: string): number {
    return this.#known.get(id)?.rate ?? Infinity
  }

  isLimited (id: string): boolean {
    return Number.isFinite(this.rate(id))
  }

  /** Since when an upstream has named a limit, on `Clock.now`; undefined where it names none. */
  since (id: string): number | undefined {
    const known = this.#known.get(id)
    return known === undefined || !Number.isFinite(known.rate) ? undefined : known.since
  }

  /** Ids of the upstreams that name a limit. */
  get limited (): string[] {
    return [...this.#known.keys()].filter(id => this.isLimited(id))
  }

  /** Takes the limit that an answer to this gateway names; Infinity where it names none. Returns whether it is another one than before. */
  named (id: string, rate: number): boolean {
    const before = this.rate(id)
    if (Number.isFinite(rate) || this.#known.has(id)) this.#set(id, rate, this.#clock.now(), true)
    return this.rate(id) !== before
  }

  /** Takes the report of another gateway, unless it is older. Returns whether it is another limit than before. */
  heard (id: string, [rate, age]: LimitReport): boolean {
    const saidAt = this.#clock.now() - age
    const known = this.#known.get(id)
    const before = this.rate(id)
    if (known === undefined && rate === null) return false
    if (known !== undefined && saidAt <= known.saidAt) return false
    this.#set(id, rate ?? Infinity, saidAt, false)
    return this.rate(id) !== before
  }

  /** The reports for the other gateways: all that this one read itself lately. */
  get news (): Record<string, LimitReport> {
    const now = this.#clock.now()
    const told = [...this.#known].filter(([_id, { own, saidAt }]) => own && now - saidAt < reportTime)
    return Object.fromEntries(told.map(([id, { rate, saidAt }]) => [id, [Number.isFinite(rate) ? rate : null, now - saidAt]]))
  }

  /** What is known of one upstream, for a gateway that may lack it. */
  report (id: string): LimitReport {
    const known = this.#known.get(id)
    if (known === undefined) return [null, reportTime]
    return [Number.isFinite(known.rate) ? known.rate : null, this.#clock.now() - known.saidAt]
  }

  /** Forgets the upstreams that are not remembered any more. */
  keepOnly (isRemembered: (id: string) => boolean): void {
    for (const id of this.#known.keys()) if (!isRemembered(id)) this.#known.delete(id)
  }

  #set (id: string, rate: number, saidAt: number, own: boolean): void {
    const since = this.since(id) ?? saidAt
    this.#known.set(id, { rate: Math.max(rate, lowestRate), saidAt, since, own })
  }
}
