/** How long a request would wait for its place. Pure; what comes after it is not foreseen, so the true wait may be longer. */
import { WaitingLine } from './line.js'
import { kindOf, type Waiting } from './order.js'
import { type TeamUsage } from './usage.js'

/** In how many ms a request that came now would be served, if `rate` places come free a second; Infinity if never within its time. */
export function expectedWait (request: Waiting, waiting: readonly Waiting[], usage: TeamUsage, rate: number, now: number): number {
  if (rate <= 0) return Infinity
  const ahead = usage.copy()
  const line = new WaitingLine([...waiting.filter(each => each !== request), request])
  for (let place = 1; now + place * 1000 / rate <= request.until; place++) {
    const time = now + place * 1000 / rate
    line.takeEnded(time)
    const next = line.next(ahead, time)
    if (next === request) return time - now
    if (next === undefined) return Infinity
    line.remove(next)
    ahead.served(next.team, next.work, time, kindOf(next, time))
  }
  return Infinity
}

/** Those of some that wait that would be served within their time, if `rate` places come free a second. */
export function servedInTime<Each extends Waiting> (waiting: readonly Each[], usage: TeamUsage, rate: number, now: number): Set<Each> {
  const served = new Set<Each>()
  if (rate <= 0) return served
  const ahead = usage.copy()
  const line = new WaitingLine(waiting)
  for (let place = 1; line.size > 0; place++) {
    const time = now + place * 1000 / rate
    line.takeEnded(time)
    const next = line.next(ahead, time)
    if (next === undefined) break
    line.remove(next)
    served.add(next)
    ahead.served(next.team, next.work, time, kindOf(next, time))
  }
  return served
}
