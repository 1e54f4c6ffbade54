/**
 * Whether a gateway that runs short of processor, memory or descriptors has new callers sent to others for a while. Pure: told the time and what is used. The load that it answers:
 * gateways of different sizes to which callers are sent by chance, one of which gets more than it can serve while others have room. It acts before events are passed on late.
 */

/** What a gateway uses. */
export interface Usage {
  /** How late the event loop was on average in the last second, in ms. */
  readonly processor: number
  /** Part of the memory that the process may have. */
  readonly memory: number
  /** Part of the descriptors that it may have. */
  readonly descriptors: number
}

/** What runs short. */
export type Scarce = keyof Usage

/** Usage from which on something is short, and up to which there is enough again: far enough apart that callers who are sent elsewhere make the difference. */
export interface StrainBounds {
  readonly short: number
  readonly enough: number
}

/** Samples in a row that have to show a shortage: one burst is over before the balancer notices. */
const samples = 3

/** Longest time for which callers are sent to others, in ms: the balancer needs 2 s to notice. */
const longestAway = 5000

/**
 * Time after which that may be repeated, in multiples of the time away: gateways have to take callers for more than seven eighths of the time.
 */
const leastPresence = 9

/** Part of all gateways that may be away at a time: the others have to bear their callers. */
const mostAway = 1 / 3

/** Decides when a gateway sends new callers to others. */
export class Strain {
  readonly #bounds: Readonly<Record<Scarce, StrainBounds>>
  readonly #shortSamples: Record<Scarce, number> = { processor: 0, memory: 0, descriptors: 0 }
  #away: { readonly cause: Scarce, readonly since: number } | undefined
  #presentUntil = -Infinity

  constructor (bounds: Readonly<Record<Scarce, StrainBounds>>) {
    this.#bounds = bounds
  }

  /** Why new callers are sent to others; undefined where they are not. */
  get cause (): Scarce | undefined {
    return this.#away?.cause
  }

  /** Takes a sample of each second. @param others of the other gateways: all that are live, and those that are away @param now in ms */
  sample (usage: Usage, others: { readonly live: number, readonly away: number }, now: number): void {
    for (const each of scarce) this.#shortSamples[each] = usage[each] >= this.#bounds[each].short ? this.#shortSamples[each] + 1 : 0
    if (this.#away !== undefined) return this.#stayAway(this.#away, usage, now)
    const cause = scarce.find(each => this.#shortSamples[each] >= samples)
    const fits = others.away + 1 <= (others.live + 1) * mostAway
    if (cause !== undefined && fits && now >= this.#presentUntil) this.#away = { cause, since: now }
  }

  #stayAway ({ cause, since }: { readonly cause: Scarce, readonly since: number }, usage: Usage, now: number): void {
    const time = now - since
    if (time < longestAway && usage[cause] > this.#bounds[cause].enough) return
    this.#away = undefined
    this.#presentUntil = now + time * leastPresence
  }
}

const scarce: readonly Scarce[] = ['processor', 'memory', 'descriptors']
