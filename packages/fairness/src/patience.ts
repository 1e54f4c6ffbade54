/**
 * How much of its time a caller has spent before it came to this gateway, from the time that it says it will wait: first tries of a route say the same, and a
 * caller that comes back says less. Pure but for what it remembers of each route. Unsure where callers choose their own times: then nobody counts as come back.
 */
import { DecayingSums } from './decaying.js'

/** Half-life of what callers said, in ms: a new usual value counts within some seconds. */
const halfLife = 30_000

/** Part of the callers that say the usual value, at least: below it, callers choose their times themselves. Under overload most come back several times. */
const leastShare = 0.15

/** Differences of the usual value up to this count as none, in ms: callers count what they need to connect. */
const tolerance = 20

/** Values that are remembered of a route before those that are seldom said are forgotten. */
const mostValues = 64

/** What callers of each route usually say. Times are in ms. */
export class UsualPatience {
  readonly #said = new Map<string, DecayingSums<number>>()

  /** Takes in what a caller says, and tells how much of its time it has spent: 0 on a first try, or where it cannot be told. */
  spent (route: string, patience: number, now: number): number {
    const said = this.#said.get(route) ?? new DecayingSums<number>(halfLife)
    this.#said.set(route, said)
    const value = Math.round(patience)
    said.add(value, 1, now)
    if (said.size > mostValues) said.forget(now, 1)
    const usual = usualOf(said, now)
    const spent = usual === undefined ? 0 : usual - value
    return spent > tolerance ? spent : 0
  }
}

/** The longest time that enough callers say. */
function usualOf (said: DecayingSums<number>, now: number): number | undefined {
  const least = leastShare * said.total(now)
  const frequent = said.names.filter(value => said.of(value, now) >= least)
  return frequent.length === 0 ? undefined : Math.max(...frequent)
}
