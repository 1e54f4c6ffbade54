/** Rests of upstreams: how long they last, by which clock, and what ends them. */
import test from 'ava'
import fc from 'fast-check'
import { ManualClock, type Subscription, type Task } from '@eiderwind/clock'
import { Rests } from '../src/index.js'

/** Rests that record their callbacks as events. */
function recordedRests (clock: ManualClock): { rests: Rests, events: string[] } {
  const events: string[] = []
  const rests = new Rests({ clock, begun: id => events.push(`${id} begun`), ended: () => events.push(`ended at ${clock.now()}`) })
  return { rests, events }
}

test('an upstream rests for as long as it asked, and the end is reported once', t => {
  const clock = new ManualClock()
  const { rests, events } = recordedRests(clock)
  rests.recordRestRequest('a', 3000)
  t.true(rests.has('a'))
  t.false(rests.has('b'))
  clock.advance(2999)
  t.is(rests.remaining('a'), 1)
  clock.advance(1)
  t.false(rests.has('a'))
  t.is(rests.count, 0)
  t.deepEqual(events, ['a begun', 'ended at 3000'])
})

/** A clock whose timers drop fractions of a ms, as those of Node.js do, and so fire early. */
class EarlyClock extends ManualClock {
  override after (delay: number, task: Task): Subscription {
    return super.after(Math.max(1, Math.trunc(delay)), task)
  }
}

test('a rest whose timer fires slightly early ends when it is over, and the end is reported', t => {
  const clock = new EarlyClock()
  const { rests, events } = recordedRests(clock)
  rests.recordRestRequest('a', 1000.7)
  clock.advance(1000)
  t.true(rests.has('a'))
  clock.advance(1)
  t.false(rests.has('a'))
  t.is(rests.count, 0)
  t.deepEqual(events, ['a begun', 'ended at 1001'])
})

test('of several requested rests the one that ends last holds, in any order', t => {
  const clock = new ManualClock()
  const { rests, events } = recordedRests(clock)
  rests.recordRestRequest('a', 2000)
  rests.recordRestRequest('a', 500)
  clock.advance(1000)
  rests.recordRestRequest('a', 2000)
  clock.advance(1000)
  t.is(rests.remaining('a'), 1000)
  clock.advance(1000)
  t.false(rests.has('a'))
  t.deepEqual(events, ['a begun', 'ended at 3000'])
})

test('a request for rest within a requested rest begins no new rest, and one within a pause does', t => {
  const clock = new ManualClock()
  const { rests, events } = recordedRests(clock)
  t.true(rests.recordRestRequest('a', 1000))
  t.false(rests.recordRestRequest('a', 1001))
  rests.pause('a', 5000)
  t.false(rests.recordRestRequest('a', 100))
  t.is(rests.remaining('a'), 5000)
  clock.advance(5000)
  t.true(rests.recordRestRequest('a', 100))
  rests.pause('b', 1000)
  t.true(rests.recordRestRequest('b', 2000))
  t.is(rests.remaining('b'), 2000)
  t.false(rests.recordRestRequest('c', 0))
  rests.pause('d', 500)
  t.true(rests.recordRestRequest('d', 100))
  t.false(rests.recordRestRequest('d', 100))
  t.is(rests.remaining('d'), 500)
  t.deepEqual(events, ['a begun', 'ended at 5000', 'a begun', 'b begun', 'd begun'])
})

test('a rest of 0 ms is ignored, and a rest of absurd length ends after an hour', t => {
  const clock = new ManualClock()
  const { rests, events } = recordedRests(clock)
  rests.recordRestRequest('a', 0)
  t.deepEqual(events, [])
  rests.recordRestRequest('a', Infinity)
  t.is(rests.remaining('a'), 3_600_000)
  rests.recordRestRequest('b', 10 ** 15)
  t.is(rests.remaining('b'), 3_600_000)
})

test('neither a suspension of the machine nor a step of the wall clock ends a rest early', t => {
  const clock = new ManualClock()
  const { rests } = recordedRests(clock)
  rests.recordRestRequest('a', 3000)
  clock.suspend(2000)
  clock.skew(5000)
  t.is(rests.remaining('a'), 3000)
  clock.freeze(1000)
  t.is(rests.remaining('a'), 2000)
})

test('in any series of requested rests an upstream rests until the latest end, and each end is reported', t => {
  const steps = fc.array(fc.record({ id: fc.constantFrom('a', 'b'), rest: fc.integer({ min: -10, max: 5000 }), pause: fc.integer({ min: 0, max: 3000 }) }), { maxLength: 40 })
  fc.assert(fc.property(steps, series => {
    const clock = new ManualClock()
    const { rests, events } = recordedRests(clock)
    const ends = new Map<string, number>()
    for (const { id, rest, pause } of series) {
      rests.recordRestRequest(id, rest)
      ends.set(id, Math.max(ends.get(id) ?? 0, clock.now() + rest))
      clock.advance(pause)
      for (const [each, end] of ends) if (rests.has(each) !== (end > clock.now())) return false
    }
    clock.advance(10_000)
    return rests.count === 0 && (events.length === 0 || events.at(-1)?.startsWith('ended') === true)
  }), { seed: 7, numRuns: 500 })
  t.pass()
})
