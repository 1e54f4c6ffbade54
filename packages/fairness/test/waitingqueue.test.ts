/** The next request of the sorted queue, compared with `nextServed` over all waiting requests. */
import test from 'ava'
import fc from 'fast-check'
import { TeamUsage, WaitingQueue, kindOf, nextServed, type WaitingRequest } from '../src/index.js'
import { drawn } from './requests.js'

const start = 100_000

/** A sequence of events: a request arrives, the next one is served, one leaves, or time passes. */
const steps = fc.array(fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('come' as const), request: drawn(start) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('serve' as const), excluded: fc.integer({ min: 0, max: 3 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), which: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pass' as const), time: fc.integer({ min: 1, max: 60 }) }) }
), { minLength: 1, maxLength: 120 })

test('the queue and `nextServed` agree on the next request after any sequence of arrivals, departures, served requests and ended waits', t => {
  t.notThrows(() => fc.assert(fc.property(steps, all => {
    const queue = new WaitingQueue<WaitingRequest>()
    const usage = new TeamUsage()
    let plain: WaitingRequest[] = []
    let now = start
    const leave = (request: WaitingRequest | undefined): void => {
      if (request === undefined) return
      queue.remove(request)
      plain = plain.filter(each => each !== request)
    }
    for (const step of all) {
      if (step.kind === 'pass') now += step.time
      if (step.kind === 'leave') leave(plain[step.which % plain.length])
      if (step.kind === 'come') {
        queue.add(step.request)
        plain.push(step.request)
      }
      const ended = plain.filter(({ until }) => until < now)
      plain = plain.filter(({ until }) => until >= now)
      if (queue.takeExpired(now).some((each, index) => each !== ended[index])) return false
      if ([...queue].length !== plain.length || queue.size !== plain.length) return false
      const excluded = new Set(step.kind === 'serve' ? plain.slice(0, step.excluded) : [])
      const next = nextServed(plain.filter(each => !excluded.has(each)), usage, now)
      if (queue.next(usage, now, excluded) !== next) return false
      if (step.kind !== 'serve' || next === undefined) continue
      usage.recordServed(next.team, next.work, now, kindOf(next, now))
      leave(next)
    }
    return true
  }), { seed: 11, numRuns: 3000 }))
})

test('finding the next of 2000 waiting requests reads fewer than 1000 fields', t => {
  const usage = new TeamUsage()
  const waiting = Array.from({ length: 2000 }, (_each, index): WaitingRequest => ({ priority: index % 2, team: `t${index % 5}`, work: 1, arrivedAt: start + index, inTimeUntil: start + 1000 + index, until: start + 5000, again: index % 3 === 0 }))
  let reads = 0
  const queue = new WaitingQueue(waiting.map(each => new Proxy(each, { get: (target, name) => { reads++; return Reflect.get(target, name) as unknown } })))
  reads = 0
  for (let place = 0; place < 20; place++) queue.next(usage, start + 3000)
  t.true(reads / 20 < 1000, `${reads / 20} reads per place with ${waiting.length} waiting requests`)
})
