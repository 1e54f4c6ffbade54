/**
 * Estimates how long a caller waited before its request reached this gateway, from the maximum wait in the request.
 * First attempts on a route usually send the same maximum wait, and a retry sends less. Where callers choose individual
 * values, no request counts as a retry. Owns recent values by route, in memory only.
 */
import { DecayingSums } from './decaying.js'

/** Half-life of the counts, in ms. A new usual value takes effect within some seconds. */
const halfLife = 30_000

/**
 * Minimum share of requests that send the usual value. Below it, callers choose individual values. It is low because
 * under overload most callers retry several times.
 */
const minShare = 0.15

/**
 * Differences from the usual value up to this are ignored, in ms: callers include the time that they need to connect.
 */
const tolerance = 20

/** Maximum number of stored values of a route. Beyond it, rare values are removed. */
const maxValues = 64

/** The usual maximum wait of the callers of each route. Times are in ms. */
export class UsualMaxWaits {
  readonly #reported = new Map<string, DecayingSums<number>>()

  /**
   * Counts the maximum wait of a request. Returns how long its caller has waited: 0 on a first attempt, or if unknown.
   */
  spent (route: string, maxWait: number, now: number): number {
    const counts = this.#reported.get(route) ?? new DecayingSums<number>(halfLife)
    this.#reported.set(route, counts)
    const value = Math.round(maxWait)
    counts.add(value, 1, now)
    if (counts.size > maxValues) counts.prune(now, 1)
    const usual = usualOf(counts, now)
    const spent = usual === undefined ? 0 : usual - value
    return spent > tolerance ? spent : 0
  }
}

/** The longest maximum wait that enough requests send. */
function usualOf (counts: DecayingSums<number>, now: number): number | undefined {
  const minCount = minShare * counts.totalAt(now)
  const frequent = counts.names.filter(value => counts.valueAt(value, now) >= minCount)
  return frequent.length === 0 ? undefined : Math.max(...frequent)
}
