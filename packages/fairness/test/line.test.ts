/** Who is next in a line that is kept, against the plain rule over all that wait. */
import test from 'ava'
import fc from 'fast-check'
import { TeamUsage, WaitingLine, kindOf, nextServed, type Waiting } from '../src/index.js'
import { drawn } from './requests.js'

const start = 100_000

/** What happens, one after another: a request comes, the next is served, one leaves, or time passes. */
const steps = fc.array(fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('come' as const), request: drawn(start) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('serve' as const), besides: fc.integer({ min: 0, max: 3 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), which: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pass' as const), time: fc.integer({ min: 1, max: 60 }) }) }
), { minLength: 1, maxLength: 120 })

test('the next of a line is that of the plain rule, whoever came, left, was served or waits no longer', t => {
  t.notThrows(() => fc.assert(fc.property(steps, all => {
    const line = new WaitingLine<Waiting>()
    const usage = new TeamUsage()
    let plain: Waiting[] = []
    let now = start
    const leave = (request: Waiting | undefined): void => {
      if (request === undefined) return
      line.remove(request)
      plain = plain.filter(each => each !== request)
    }
    for (const step of all) {
      if (step.kind === 'pass') now += step.time
      if (step.kind === 'leave') leave(plain[step.which % plain.length])
      if (step.kind === 'come') {
        line.add(step.request)
        plain.push(step.request)
      }
      const ended = plain.filter(({ until }) => until < now)
      plain = plain.filter(({ until }) => until >= now)
      if (line.takeEnded(now).some((each, index) => each !== ended[index])) return false
      if ([...line].length !== plain.length || line.size !== plain.length) return false
      const besides = new Set(step.kind === 'serve' ? plain.slice(0, step.besides) : [])
      const next = nextServed(plain.filter(each => !besides.has(each)), usage, now)
      if (line.next(usage, now, besides) !== next) return false
      if (step.kind !== 'serve' || next === undefined) continue
      usage.served(next.team, next.work, now, kindOf(next, now))
      leave(next)
    }
    return true
  }), { seed: 11, numRuns: 3000 }))
})

test('a place given to one of several hundred that wait takes a small part of the time that looking at all takes', t => {
  const usage = new TeamUsage()
  const waiting = Array.from({ length: 2000 }, (_each, index): Waiting => ({ priority: index % 2, team: `t${index % 5}`, work: 1, arrivedAt: start + index, inTimeUntil: start + 1000 + index, until: start + 5000, again: index % 3 === 0 }))
  let read = 0
  const line = new WaitingLine(waiting.map(each => new Proxy(each, { get: (target, name) => { read++; return Reflect.get(target, name) as unknown } })))
  read = 0
  for (let place = 0; place < 20; place++) line.next(usage, start + 3000)
  t.true(read / 20 < 1000, `${read / 20} looks for a place among ${waiting.length}`)
})
