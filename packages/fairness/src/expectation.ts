/**
 * Estimates how long a request waits for its place, by simulating the order in which requests are served. Pure.
 * Requests that arrive later are not considered, so the real wait may be longer.
 */
import { WaitingQueue } from './waitingqueue.js'
import { kindOf, type WaitingRequest } from './order.js'
import { type TeamUsage } from './usage.js'

/**
 * The expected wait of a request that arrives now, in ms, if `rate` places become free per second. Infinity if the
 * request is not served before its wait ends.
 */
export function expectedWait (request: WaitingRequest, waiting: readonly WaitingRequest[], usage: TeamUsage, rate: number, now: number): number {
  for (const { served, time } of simulateServing([...waiting.filter(each => each !== request), request], usage, rate, now)) {
    if (time > request.until) break
    if (served === request) return time - now
  }
  return Infinity
}

/** The waiting requests that would be served before their wait ends, if `rate` places become free per second. */
export function servedInTime<Each extends WaitingRequest> (waiting: readonly Each[], usage: TeamUsage, rate: number, now: number): Set<Each> {
  return new Set([...simulateServing(waiting, usage, rate, now)].map(({ served }) => served))
}

/** Simulates which request is served at which time, if `rate` places become free per second and no request arrives. */
function * simulateServing<Each extends WaitingRequest> (waiting: readonly Each[], usage: TeamUsage, rate: number, now: number): Generator<{ readonly served: Each, readonly time: number }> {
  if (rate <= 0) return
  const simulatedUsage = usage.copy()
  const queue = new WaitingQueue(waiting)
  for (let place = 1; queue.size > 0; place++) {
    const time = now + place * 1000 / rate
    queue.takeExpired(time)
    const served = queue.next(simulatedUsage, time)
    if (served === undefined) return
    yield { served, time }
    queue.remove(served)
    simulatedUsage.recordServed(served.team, served.work, time, kindOf(served, time))
  }
}
