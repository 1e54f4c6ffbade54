/**
 * Estimates how long a request would wait in the queue of a room, from the recent rate of granted places and the
 * requests that wait before it. Owns these rates. Caches each estimate briefly, because many similar requests arrive
 * at once.
 */
import { expectedWait, groupOf, kindOf, servedInTime, type TeamUsage, type WaitingQueue } from '@eiderwind/fairness'
import { type PlaceRequest } from './request.js'
import { Backlogs } from './backlogs.js'
import { Rate } from './rate.js'

/**
 * How long requests must have waited without a break until the rate of granted places is taken as the rate of free
 * places, in ms. Before that, the rate of grants only shows the demand.
 */
const minBusyTime = 500

/** Maximum number of requests from which an expected wait is computed. A longer queue is represented by a sample. */
const maxSample = 64

/** How long an estimate is valid for similar requests, and by how much their remaining waits may differ, in ms. */
const estimateLifetime = 20
const waitStep = 100

/**
 * A refused caller gets a retry delay only if the queue takes longer than this, in ms. Below it the delay of an
 * ordinary refusal is enough.
 */
const minRetryDelay = 900

/** The expected wait of similar requests, when it was computed, and how many of them have arrived since. */
interface Estimate {
  readonly wait: number
  readonly at: number
  arrivals: number
}

/** The wait estimates of one room. Times are on `Clock.now`, in ms. */
export class WaitEstimator {
  /** Places granted per second, by the priority of the request. */
  readonly #rates = new Map<number, Rate>()
  readonly #backlogs = new Backlogs()
  readonly #estimates = new Map<string, Estimate>()
  /** Since when requests have waited without a break. Undefined if none waits. */
  #busySince: number | undefined

  /** Counts a granted place. */
  recordGrant (request: PlaceRequest, now: number): void {
    const { priority } = request
    const rate = this.#rates.get(priority) ?? new Rate()
    this.#rates.set(priority, rate)
    rate.add(now)
    this.#backlogs.recordGrant(groupOf(request), now)
  }

  /** Records which requests wait now. */
  recordWaiting (waiting: WaitingQueue<PlaceRequest>, now: number): void {
    this.#busySince = waiting.size > 0 ? this.#busySince ?? now : undefined
    this.#backlogs.recordWaiting(waiting.groups, now)
  }

  /**
   * The time after which a request that has just arrived would be served, in ms; 0 while the rate of free places is
   * not known. Places that more urgent requests got recently are left out, because such requests will continue to
   * arrive.
   */
  expectedWait (request: PlaceRequest, waiting: WaitingQueue<PlaceRequest>, usage: TeamUsage, now: number): number {
    const rate = this.#rate(request.priority, now)
    if (rate === undefined || this.#busySince === undefined || now - this.#busySince < minBusyTime) return 0
    const key = `${kindOf(request, now)} ${Math.round((request.until - now) / waitStep)} ${request.team}`
    const known = this.#estimates.get(key)
    if (known !== undefined && now - known.at < estimateLifetime) return known.wait + ++known.arrivals / rate * 1000
    const rivals = [...waiting].filter(each => each.priority >= request.priority)
    const step = Math.ceil(rivals.length / maxSample)
    const sample = step === 1 ? rivals : rivals.filter((_request, index) => index % step === 0)
    const wait = expectedWait(request, sample, usage, rate / step, now)
    this.#estimates.set(key, { wait, at: now, arrivals: 0 })
    return wait
  }

  /**
   * Returns the candidates that would not be served in time; all of them if the rate of free places is not known. The
   * estimate uses the requests that wait now. It also uses the recent rate of similar requests, because requests that
   * arrive later may go first.
   */
  notServedInTime (candidates: readonly PlaceRequest[], waiting: WaitingQueue<PlaceRequest>, usage: TeamUsage, now: number): PlaceRequest[] {
    const inTime = new Map<number, ReadonlySet<PlaceRequest>>()
    for (const priority of new Set(candidates.map(each => each.priority))) {
      const rivals = [...waiting].filter(each => each.priority >= priority)
      inTime.set(priority, servedInTime(rivals, usage, this.#rate(priority, now) ?? 0, now))
    }
    return candidates.filter(each => {
      const rate = this.#backlogs.rate(groupOf(each), now)
      const isOvertaken = rate !== undefined && now + (waiting.countBefore(each) + 1) / rate * 1000 > each.until
      return isOvertaken || inTime.get(each.priority)?.has(each) !== true
    })
  }

  /** The time after which the requests that wait now are served, in ms; 0 if it is short or not known. */
  retryDelay (waiting: number, now: number): number {
    const rate = this.#rate(-Infinity, now)
    const time = rate === undefined ? 0 : (waiting + 1) / rate * 1000
    return time > minRetryDelay ? time : 0
  }

  /** Removes expired state. */
  forget (now: number): void {
    this.#backlogs.forget(now)
  }

  /**
   * Places that become free per second for requests of a priority and less urgent ones; undefined if the rate is not
   * known.
   */
  #rate (priority: number, now: number): number | undefined {
    const all = [...this.#rates].map(([urgency, rate]) => ({ urgency, rate: rate.at(now) }))
    if (all.every(({ rate }) => rate === undefined)) return undefined
    return all.reduce((sum, { urgency, rate = 0 }) => urgency >= priority ? sum + rate : sum, 0)
  }
}
