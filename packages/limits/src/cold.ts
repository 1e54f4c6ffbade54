/**
 * Which upstreams are cold, and how many requests a second one takes meanwhile: after a start, or when it says so, an upstream falls over at a load that it bears later. Owns these
 * beliefs, by the identity of an upstream's life. They are kept as times left, counted from when they were read, so that all that goes wrong on the way (a record read late, a
 * suspension, a report that was under way for long) has an upstream count as cold for longer, never for shorter.
 */
import { type Clock } from '@eiderwind/clock'

/** Requests a second that a cold upstream gets from all gateways together, and how much longer it is cold, in ms. */
export type ColdReport = readonly [rate: number, remaining: number]

/** Dependencies of `ColdUpstreams`. */
export interface ColdUpstreamsOptions {
  readonly clock: Clock
  /** Requests a second that an upstream gets while it is cold, by the configuration; Infinity where that does not say, and where the upstream is not known. */
  readonly rate: (id: string) => number
  /** Called when an upstream is cold no longer. */
  readonly ended: (id: string) => void
}

/** Longest time for which one report counts, in ms. */
const longest = 3_600_000

/** By how much a report of another gateway has to exceed what is known, in ms: the time that it was under way must not make a belief last. */
const leastExtension = 50

/** How long a gateway that has read that an upstream is cold reports it, in ms: over two heartbeats. What it costs must not grow with the upstreams that start at once. */
const readTime = 600
const mostReported = 64

/** Requests that one gateway may issue at once beyond the rate. */
const burst = 1.5

/** What two gateways issue together at the most while both take themselves for the one, as a part of the rate. */
const issuedTwice = 1.4

/** What tokens that are held for a moment add to a second, as a part of the rate. */
const heldOver = 1.1

interface Cold {
  /** Until when, and since when without a break, on `Clock.now`. */
  readonly until: number
  readonly since: number
  /** By the reports of other gateways; Infinity where there was none. */
  readonly rate: number
  /** When this gateway read it itself, on `Clock.now`; -Infinity where it only heard so. */
  readonly readAt: number
}

/**
 * Requests a second that a cold upstream may be sent, so that it gets no more than `rate` x `overshoot` + `slack` in any one second. Two gateways may issue for it at once, where the
 * fleet has come apart in part: together up to two fifths more, with a burst each. Tokens that are held for 100 ms move a tenth of a second's into the next.
 * @param rate that it bears, in requests a second
 */
export function coldRate (rate: number, overshoot: number, slack: number): number {
  const bound = rate * overshoot + slack
  return Math.min(rate, Math.max(0, bound - 2 * burst) / (issuedTwice * heldOver))
}

/** The cold upstreams. */
export class ColdUpstreams {
  readonly #options: ColdUpstreamsOptions
  readonly #cold = new Map<string, Cold>()

  constructor (options: ColdUpstreamsOptions) {
    this.#options = options
  }

  /** Requests a second that an upstream takes from all gateways together as far as it is cold; Infinity where it is not. */
  rate (id: string): number {
    const cold = this.#find(id)
    return cold === undefined ? Infinity : Math.min(cold.rate, this.#options.rate(id))
  }

  /** Since when an upstream has been cold, on `Clock.now`; undefined where it is not. */
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

  /** Takes what this gateway itself has read: an upstream is cold for so many ms. Returns whether it was not before. */
  read (id: string, remaining: number): boolean {
    return this.#extend(id, remaining, Infinity, this.#options.clock.now())
  }

  /** Takes the report of another gateway. Returns whether the upstream was not cold before. */
  heard (id: string, [rate, remaining]: ColdReport): boolean {
    const isNews = remaining > Math.max(0, this.remaining(id)) + leastExtension || this.#find(id) === undefined
    return isNews && this.#extend(id, remaining, rate, -Infinity)
  }

  /** Takes that an upstream is cold no longer. */
  end (id: string): void {
    if (this.#cold.delete(id)) this.#options.ended(id)
  }

  /** The reports for the other gateways. @param issues whether this gateway issues the tokens of an upstream */
  reports (issues: (id: string) => boolean): Record<string, ColdReport> {
    const now = this.#options.clock.now()
    const lately = [...this.#cold].filter(([, { readAt }]) => now - readAt < readTime).slice(0, mostReported)
    const ids = new Set([...lately.map(([id]) => id), ...this.ids.filter(issues)])
    return Object.fromEntries([...ids].flatMap(id => {
      const report = this.report(id)
      return report === undefined ? [] : [[id, report]]
    }))
  }

  /** What is known of one upstream, for a gateway that may lack it; undefined where it is not cold. */
  report (id: string): ColdReport | undefined {
    const rate = this.rate(id)
    return Number.isFinite(rate) ? [rate, Math.ceil(this.remaining(id))] : undefined
  }

  #find (id: string): Cold | undefined {
    const cold = this.#cold.get(id)
    return cold === undefined || cold.until <= this.#options.clock.now() ? undefined : cold
  }

  #extend (id: string, remaining: number, rate: number, readAt: number): boolean {
    if (!(remaining > 0)) return false
    const { clock } = this.#options
    const now = clock.now()
    const known = this.#find(id)
    const time = Math.min(remaining, longest)
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
