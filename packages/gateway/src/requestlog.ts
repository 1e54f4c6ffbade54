/**
 * Records each request that has ended: in the metrics, and in the log unless it was an ordinary success. Those whose answer was late are
 * none: `eiderwindctl late` counts them by what they lost their time to. Owns the count by which ordinary successes are sampled.
 */
import { type Clock } from '@eiderwind/clock'
import { type CallerRequest } from '@eiderwind/forward'
import { type Log } from '@eiderwind/log'
import { type Metrics } from './metrics.js'

/** One ordinary success in this many is logged: at 100 requests a second two lines a second. */
const sampling = 50

/** Outcomes of an ordinary success: a collected answer, and a stream that was passed on to its end. */
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
  #ordinary = 0

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
    if (isOrdinary && ++this.#ordinary % sampling !== 0) return
    this.#write(request, outcome, Math.round(took), isOrdinary ? sampling : undefined)
  }

  /**
   * One that was lost at an upstream, or is blocked, is written with its fingerprint: only that shows that its caller sends it again and again.
   * @param sampled how many requests the line stands for; undefined for itself alone
   */
  #write (request: CallerRequest, outcome: string, took: number, sampled: number | undefined): void {
    const { id, route, service, team, attempts: ended, currentUpstream, timing, queuedAt } = request
    const underWay = currentUpstream === undefined ? [] : [`${currentUpstream} under way`]
    const attempts = [...ended, ...underWay].join('; ')
    this.#options.log.write('request-ended', { request: id, route: route.name, service, team: team?.name, outcome, took, sampled, ...times(timing), ...expectation(timing), late: timing.lateness(route), queue: queuedAt, attempts, rule: request.shortage, fingerprint: request.lost || request.blocked ? request.fingerprint : undefined })
  }
}

/** The times of a request for the log, in whole ms; those that there are none of are left out. */
function times ({ waited, first, pause }: CallerRequest['timing']): Record<string, number | undefined> {
  const whole = (time: number | undefined): number | undefined => time === undefined ? undefined : Math.round(time)
  return { waited: whole(waited), first: whole(first), pause: first === undefined ? undefined : Math.round(pause) }
}

/** When the first event was expected, in ms, and what that rested on; what is usual is left out. */
function expectation ({ expectation: expected }: CallerRequest['timing']): Record<string, number | boolean | undefined> {
  if (expected === undefined) return {}
  const { time, lag, prompt, inFlight, unread, limited, remote } = expected
  return { expected: Math.round(time), lag: Math.round(lag), prompt, load: inFlight, unread, limited: limited || undefined, remote: remote || undefined }
}
