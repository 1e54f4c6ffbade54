/**
 * Decides whether a gateway that runs short of processor, memory or descriptors is "away": the balancer sends new
 * callers to other gateways for a while. Pure; the caller passes the time and the usage.
 *
 * Callers reach gateways of different sizes at random, so one gateway may get more than it can serve while others have
 * room. It goes away before it forwards events late.
 */

/** What a gateway uses of each resource. */
export interface Usage {
  /** Average delay of the event loop in the last second, in ms. */
  readonly processor: number
  /** Share of the memory that the process may use. */
  readonly memory: number
  /** Share of the descriptors that the process may use. */
  readonly descriptors: number
}

/** A resource that can run short. */
export type Resource = keyof Usage

/**
 * The bounds of the usage of one resource, in the unit of the resource. They are so far apart that usage falls from one
 * to the other only because callers were sent elsewhere.
 */
export interface StrainBounds {
  /** At this usage or above, the resource is short. */
  readonly short: number
  /** At this usage or below, there is enough of it again. */
  readonly enough: number
}

/** Consecutive samples that must show a shortage: a single burst is over before the balancer notices. */
const shortSamplesNeeded = 3

/** Longest time away, in ms. The balancer needs 2 s to notice. */
const maxAway = 5000

/**
 * Minimum time present after a time away, in multiples of the time away: a gateway has to take callers for more than
 * seven eighths of the time.
 */
const minPresence = 9

/** Largest share of all gateways that may be away at a time: the others have to serve their callers. */
const maxAwayShare = 1 / 3

/** Decides when a gateway sends new callers to others. */
export class Strain {
  readonly #bounds: Readonly<Record<Resource, StrainBounds>>
  readonly #shortSamples: Record<Resource, number> = { processor: 0, memory: 0, descriptors: 0 }
  #away: { readonly cause: Resource, readonly since: number } | undefined
  #presentUntil = -Infinity

  constructor (bounds: Readonly<Record<Resource, StrainBounds>>) {
    this.#bounds = bounds
  }

  /** The resource for which new callers are sent to others; undefined while the gateway takes callers. */
  get cause (): Resource | undefined {
    return this.#away?.cause
  }

  /**
   * Takes a sample, one each second.
   * @param others the other gateways: how many are live, and how many of them are away
   * @param now the time of the sample, in ms
   */
  sample (usage: Usage, others: { readonly live: number, readonly away: number }, now: number): void {
    for (const each of resources) this.#shortSamples[each] = usage[each] >= this.#bounds[each].short ? this.#shortSamples[each] + 1 : 0
    if (this.#away !== undefined) return this.#checkReturn(this.#away, usage, now)
    const cause = resources.find(each => this.#shortSamples[each] >= shortSamplesNeeded)
    const mayBeAway = others.away + 1 <= (others.live + 1) * maxAwayShare
    if (cause !== undefined && mayBeAway && now >= this.#presentUntil) this.#away = { cause, since: now }
  }

  #checkReturn ({ cause, since }: { readonly cause: Resource, readonly since: number }, usage: Usage, now: number): void {
    const time = now - since
    if (time < maxAway && usage[cause] > this.#bounds[cause].enough) return
    this.#away = undefined
    this.#presentUntil = now + time * minPresence
  }
}

const resources: readonly Resource[] = ['processor', 'memory', 'descriptors']
