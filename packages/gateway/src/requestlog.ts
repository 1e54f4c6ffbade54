/**
 * Records each ended request in the metrics, and in the log unless it was an ordinary success. A request with a late
 * answer is not ordinary: `eiderwindctl late` counts these by the cause of the lost time. Owns the count by which
 * ordinary successes are sampled.
 */
import { type Clock } from '@eiderwind/clock'
import { type CallerRequest } from '@eiderwind/forward'
import { type Log } from '@eiderwind/log'
import { type Metrics } from './metrics.js'

/** One in this many ordinary successes is logged: two lines a second at 100 requests a second. */
const sampleRatio = 50

/** Outcomes of an ordinary success: a collected answer, and a stream that was forwarded to its end. */
const successes = new Set(['answered 200', 'answered'])

/** Dependencies of `RequestLog`. */
export interface RequestLogOptions {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
}

/** Log and metrics of ended requests. */
export class RequestLog {
  readonly #options: RequestLogOptions
  #ordinaryCount = 0

  constructor (options: RequestLogOptions) {
    this.#options = options
  }

  /** Records a request that has ended with an outcome, such as `answered 200` or `busy 429`. */
  ended (request: CallerRequest, outcome: string): void {
    const { clock, metrics } = this.#options
    const took = clock.now() - request.arrivedAt
    metrics.ended(request, outcome, took / 1000)
    const retried = request.attempts.length >= 2
    const late = request.timing.lateness(request.route) !== undefined
    const isOrdinary = successes.has(outcome) && !retried && !late
    if (isOrdinary && ++this.#ordinaryCount % sampleRatio !== 0) return
    this.#write(request, outcome, Math.round(took), isOrdinary ? sampleRatio : undefined)
  }

  /**
   * Writes the log line of a request.
   * @param sampled how many requests the line stands for; undefined if only for itself
   */
  #write (request: CallerRequest, outcome: string, took: number, sampled: number | undefined): void {
    const { id, route, service, team, attempts: endedAttempts, currentUpstreams, timing, queuedAt, listAge } = request
    const inProgress = currentUpstreams.map(each => `${each} under way`)
    const attempts = [...endedAttempts, ...inProgress].join('; ')
    this.#options.log.write('request-ended', {
      request: id,
      route: route.name,
      service,
      team: team?.name,
      outcome,
      took,
      sampled,
      ...times(timing),
      ...expectation(timing),
      late: timing.lateness(route),
      queue: queuedAt,
      list: rounded(listAge),
      attempts,
      rule: request.shortage,
      upstreams: request.emptySearch?.upstreams,
      closed: request.emptySearch?.cause,
      denied: request.retryDenied || undefined,
      ...names(request)
    })
  }
}

/** The times of a request for the log, in whole ms. Times that do not exist are omitted. */
function times ({ waited, first, pause }: CallerRequest['timing']): Record<string, number | undefined> {
  return { waited: rounded(waited), first: rounded(first), pause: first === undefined ? undefined : Math.round(pause) }
}

/** A time in whole ms. */
function rounded (time: number | undefined): number | undefined {
  return time === undefined || !Number.isFinite(time) ? undefined : Math.round(time)
}

/** When the first event was expected, in ms, and the inputs of that estimate. Usual values are omitted. */
function expectation ({ expectation: expected }: CallerRequest['timing']): Record<string, number | boolean | undefined> {
  if (expected === undefined) return {}
  const { time, lag, prompt, inFlight, unread, limited, remote } = expected
  return {
    expected: Math.round(time),
    lag: Math.round(lag),
    prompt,
    load: inFlight,
    unread,
    limited: limited || undefined,
    remote: remote || undefined
  }
}

/**
 * The fingerprint of a request that was lost at an upstream or is blocked, and the shared parts of its prompt. Only
 * these show that the same request, or the same part, is sent again and again.
 */
function names ({ lost, blocked, identity }: CallerRequest): { readonly fingerprint?: string, readonly parts?: string } {
  if (!lost && !blocked) return {}
  const { fingerprint, parts } = identity
  return { fingerprint, parts: parts.length === 0 ? undefined : parts.join(' ') }
}
