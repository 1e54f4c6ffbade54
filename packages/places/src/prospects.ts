/**
 * How long a request would wait in the queue of a room, by how fast places were given lately and who waits before it. Owns these rates, and what it has found for a moment,
 * since many that are alike ask at once.
 */
import { expectedWait, groupOf, kindOf, servedInTime, type TeamUsage, type WaitingLine } from '@eiderwind/fairness'
import { type Ask } from './ask.js'
import { Backlogs } from './backlogs.js'
import { Rate } from './rate.js'

/** How long requests have to wait without a break until places given are taken for places that come free, in ms: before, as many were given as asked for. */
const leastBusy = 500

/** Requests on which the expected wait is computed at most; of a longer queue a part stands for the whole. */
const sample = 64

/** How long an expected wait holds for requests alike, and by how much their patience may differ, in ms. */
const expectationTime = 20
const patienceStep = 100

/** A refused caller is told a time only if the queue takes longer than this, in ms: a usual refusal tells as much. */
const usualReturn = 900

/** How long a request of some kind would have waited at a moment, and how many of the kind have come since. */
interface Expectation {
  readonly wait: number
  readonly at: number
  since: number
}

/** The prospects of requests of one room. Times are on `Clock.now`, in ms. */
export class Prospects {
  /** Places given a second, by the priority of who got them. */
  readonly #rates = new Map<number, Rate>()
  readonly #backlogs = new Backlogs()
  readonly #expected = new Map<string, Expectation>()
  /** Since when there is always one that waits. */
  #busySince: number | undefined

  /** Counts a place that was given. */
  given (ask: Ask, now: number): void {
    const { priority } = ask
    const rate = this.#rates.get(priority) ?? new Rate()
    this.#rates.set(priority, rate)
    rate.add(now)
    this.#backlogs.given(groupOf(ask), now)
  }

  /** Takes who waits now. */
  look (waiting: WaitingLine<Ask>, now: number): void {
    this.#busySince = waiting.size > 0 ? this.#busySince ?? now : undefined
    this.#backlogs.look(waiting.groups, now)
  }

  /**
   * In how many ms a request that has just come would be served; 0 while it is not known how fast places come free. The more urgent ones go on coming: what they got
   * lately is not there for it.
   */
  wait (ask: Ask, waiting: WaitingLine<Ask>, usage: TeamUsage, now: number): number {
    const rate = this.#rate(ask.priority, now)
    if (rate === undefined || this.#busySince === undefined || now - this.#busySince < leastBusy) return 0
    const alike = `${kindOf(ask, now)} ${Math.round((ask.until - now) / patienceStep)} ${ask.team}`
    const known = this.#expected.get(alike)
    if (known !== undefined && now - known.at < expectationTime) return known.wait + ++known.since / rate * 1000
    const rivals = [...waiting].filter(each => each.priority >= ask.priority)
    const each = Math.ceil(rivals.length / sample)
    const part = each === 1 ? rivals : rivals.filter((_ask, index) => index % each === 0)
    const wait = expectedWait(ask, part, usage, rate / each, now)
    this.#expected.set(alike, { wait, at: now, since: 0 })
    return wait
  }

  /**
   * Of some that wait, those that would not be served in time; all where it is not known how fast places come free. By who waits now, and by what those like it got lately,
   * since others will come that go first.
   */
  hopeless (some: readonly Ask[], waiting: WaitingLine<Ask>, usage: TeamUsage, now: number): Ask[] {
    const inTime = new Map<number, ReadonlySet<Ask>>()
    for (const priority of new Set(some.map(each => each.priority))) {
      const rivals = [...waiting].filter(each => each.priority >= priority)
      inTime.set(priority, servedInTime(rivals, usage, this.#rate(priority, now) ?? 0, now))
    }
    return some.filter(each => {
      const rate = this.#backlogs.rate(groupOf(each), now)
      const isOvertaken = rate !== undefined && now + (waiting.before(each) + 1) / rate * 1000 > each.until
      return isOvertaken || inTime.get(each.priority)?.has(each) !== true
    })
  }

  /** In how many ms those that wait now are served, where that is worth telling; 0 where it is soon, or not known. */
  return (waiting: number, now: number): number {
    const rate = this.#rate(-Infinity, now)
    const time = rate === undefined ? 0 : (waiting + 1) / rate * 1000
    return time > usualReturn ? time : 0
  }

  /** Forgets what is over. */
  forget (now: number): void {
    this.#backlogs.forget(now)
  }

  /** Places that come free a second for requests of a priority and less urgent ones; undefined where it is not known. */
  #rate (priority: number, now: number): number | undefined {
    const all = [...this.#rates].map(([urgency, rate]) => ({ urgency, rate: rate.at(now) }))
    if (all.every(({ rate }) => rate === undefined)) return undefined
    return all.reduce((sum, { urgency, rate = 0 }) => urgency >= priority ? sum + rate : sum, 0)
  }
}
