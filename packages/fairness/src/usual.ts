/**
 * What teams usually ask for. The latest part of what was seen does not count yet, so that a surge does not pass for usual while it lasts. Owns what was seen, in
 * memory only. Times are on `Clock.now`, in ms.
 */
import { DecayingSums, countedTime } from './decaying.js'

/** Half-life of what is usual, in ms: a team that grows for good has its new share within some of these. */
const halfLife = 600_000

/** First time after which what was seen is set aside, and the longest time between two of these, in ms. In between, the time doubles. */
const firstTime = 1000
const longestTime = 30_000

/** What was asked for up to a time. */
interface Account {
  readonly sums: DecayingSums<string>
  readonly at: number
}

/** What teams ask for, but for the last while. */
export class UsualDemand {
  readonly #asked: DecayingSums<string>
  #since: number | undefined
  /** What counts, and what counts next. */
  #settled: Account | undefined
  #pending: Account | undefined
  #next = 0

  constructor (asked = new DecayingSums<string>(halfLife)) {
    this.#asked = asked
  }

  asked (team: string, work: number, now: number): void {
    this.#since ??= now
    if (this.#pending === undefined && this.#next === 0) this.#next = now + firstTime
    if (now >= this.#next) this.#settle(now)
    this.#asked.add(team, work, now)
  }

  /** What a team usually asks for over what the mean team does; undefined where too little was seen. */
  relative (team: string): number | undefined {
    const settled = this.#settled
    if (settled === undefined) return undefined
    const { sums, at } = settled
    return sums.of(team, at) * sums.size / sums.total(at)
  }

  /** Work that a team usually asks for, a ms; 0 where too little was seen. */
  rate (team: string): number {
    const settled = this.#settled
    if (settled === undefined || this.#since === undefined) return 0
    return settled.sums.of(team, settled.at) / countedTime(halfLife, settled.at - this.#since)
  }

  #settle (now: number): void {
    this.#settled = this.#pending
    this.#pending = { sums: this.#asked.copy(), at: now }
    this.#next = now + Math.min(longestTime, now - (this.#since ?? now))
  }
}
