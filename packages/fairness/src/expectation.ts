/** How long a request would wait for its place. Pure; what comes after it is not foreseen, so the true wait may be longer. */
import { WaitingLine } from './line.js'
import { kindOf, type Waiting } from './order.js'
import { type TeamUsage } from './usage.js'

/** In how many ms a request that came now would be served, if `rate` places come free a second; Infinity if never within its time. */
export function expectedWait (request: Waiting, waiting: readonly Waiting[], usage: TeamUsage, rate: number, now: number): number {
  for (const { served, time } of servings([...waiting.filter(each => each !== request), request], usage, rate, now)) {
    if (time > request.until) break
    if (served === request) return time - now
  }
  return Infinity
}

/** Those of some that wait that would be served within their time, if `rate` places come free a second. */
export function servedInTime<Each extends Waiting> (waiting: readonly Each[], usage: TeamUsage, rate: number, now: number): Set<Each> {
  return new Set([...servings(waiting, usage, rate, now)].map(({ served }) => served))
}

/** Who would be served when, one after another, if `rate` places come free a second and nobody else came. */
function * servings<Each extends Waiting> (waiting: readonly Each[], usage: TeamUsage, rate: number, now: number): Generator<{ readonly served: Each, readonly time: number }> {
  if (rate <= 0) return
  const ahead = usage.copy()
  const line = new WaitingLine(waiting)
  for (let place = 1; line.size > 0; place++) {
    const time = now + place * 1000 / rate
    line.takeEnded(time)
    const served = line.next(ahead, time)
    if (served === undefined) return
    yield { served, time }
    line.remove(served)
    ahead.served(served.team, served.work, time, kindOf(served, time))
  }
}
