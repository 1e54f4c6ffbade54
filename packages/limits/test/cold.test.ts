/** How long an upstream counts as cold after readings and reports in any order, and which rate it gets meanwhile. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { ColdUpstreams, Limits, coldRate } from '../src/index.js'

/** This gateway issues the tokens of no upstream. */
const none = (): boolean => false

function coldUpstreams (rate = 32): { clock: ManualClock, cold: ColdUpstreams, ended: string[] } {
  const clock = new ManualClock()
  const ended: string[] = []
  const cold = new ColdUpstreams({ clock, rate: () => rate, ended: id => { ended.push(`${id} ${clock.now()}`) } })
  return { clock, cold, ended }
}

test('an upstream is cold for the time that was read, and its end is announced once', t => {
  const { clock, cold, ended } = coldUpstreams()
  t.true(cold.recordAnswer('a', 3000))
  t.false(cold.recordAnswer('a', 2000))
  t.is(cold.rate('a'), 32)
  t.is(cold.rate('b'), Infinity)
  t.is(cold.since('a'), 0)
  clock.advance(2999)
  t.deepEqual(cold.ids, ['a'])
  clock.advance(1)
  t.is(cold.rate('a'), Infinity)
  t.is(cold.since('a'), undefined)
  t.deepEqual(ended, ['a 3000'])
  t.true(cold.recordAnswer('a', 10))
})

test('of two readings the longer time applies, in either order', t => {
  for (const times of [[1000, 5000], [5000, 1000]]) {
    const { clock, cold, ended } = coldUpstreams()
    for (const each of times) cold.recordAnswer('a', each)
    clock.advance(10_000)
    t.deepEqual(ended, ['a 5000'])
  }
})

test('a zero, negative or NaN time is ignored, and an enormous one ends after an hour', t => {
  const { clock, cold, ended } = coldUpstreams()
  for (const each of [0, -1, NaN]) t.false(cold.recordAnswer('a', each))
  cold.recordAnswer('a', 1e15)
  clock.advance(3_600_000)
  t.deepEqual(ended, ['a 3600000'])
})

test('an explicit end applies at once and is announced only for a cold upstream', t => {
  const { cold, ended } = coldUpstreams()
  cold.recordAnswer('a', 3000)
  cold.end('a')
  cold.end('b')
  t.is(cold.rate('a'), Infinity)
  t.deepEqual(ended, ['a 0'])
})

test('a gateway without a configured rate uses the rate in a report', t => {
  const { cold } = coldUpstreams(Infinity)
  cold.recordAnswer('b', 3000)
  t.is(cold.rate('b'), Infinity, 'no rate is configured, so it is not limited')
  t.deepEqual(cold.reports(() => true), {})
  t.true(cold.receive('a', [32, 3000]))
  t.is(cold.rate('a'), 32)
})

test('reports that take less than 50 ms to arrive do not prolong the cold state', t => {
  const { clock, cold } = coldUpstreams()
  cold.recordAnswer('a', 3000)
  for (let round = 0; round < 40; round++) {
    const { a } = cold.reports(() => true)
    clock.advance(50)
    if (a !== undefined) cold.receive('a', a)
  }
  t.is(Math.round(cold.remaining('a')), 1000)
  t.false(cold.receive('a', [32, 2000]))
  t.is(Math.round(cold.remaining('a')), 2000, 'a report that exceeds the known time by more than 50 ms applies')
})

test('a gateway reports what it read within the last 600 ms, and the upstreams whose tokens it issues while they are cold', t => {
  const { clock, cold } = coldUpstreams()
  cold.recordAnswer('a', 3000)
  cold.receive('b', [20, 3000])
  t.deepEqual(cold.reports(none), { a: [32, 3000] })
  clock.advance(600)
  t.deepEqual(cold.reports(none), {})
  t.deepEqual(cold.reports(id => id === 'b'), { b: [20, 2400] })
  clock.advance(2400)
  t.deepEqual(cold.reports(() => true), {})
})

test('the reports stay short when 3000 upstreams start at once', t => {
  const { cold } = coldUpstreams()
  for (let index = 0; index < 3000; index++) cold.recordAnswer(`u${index}`, 3000)
  t.is(Object.keys(cold.reports(none)).length, 64)
})

test('the lower of a named limit and the cold rate applies', t => {
  for (const [named, rate, both] of [[3, 32, 3], [50, 32, 32], [Infinity, 32, 32], [3, Infinity, 3]]) {
    const { clock, cold } = coldUpstreams(rate)
    const limits = new Limits(clock, cold)
    limits.recordAnswer('a', named)
    cold.recordAnswer('a', 3000)
    t.is(limits.rate('a'), both)
    clock.advance(3000)
    t.is(limits.rate('a'), named)
  }
})

test('an upstream counts as limited since it was cold or named a limit, whichever came first', t => {
  const { clock, cold } = coldUpstreams()
  const limits = new Limits(clock, cold)
  clock.advance(100)
  cold.recordAnswer('a', 3000)
  clock.advance(100)
  limits.recordAnswer('a', 3)
  t.is(limits.since('a'), 100)
  clock.advance(3000)
  t.is(limits.since('a'), 200)
  t.true(limits.recordAnswer('a', Infinity))
  t.is(limits.since('a'), undefined)
})

test('the cold rate leaves room for bursts, for held tokens, and for two gateways that issue tokens at the same time', t => {
  for (const [rate, overshoot, slack] of [[32, 1.5, 5], [32, 1, 0], [10, 1, 5], [4, 1.5, 5], [2, 1, 1], [1000, 1.5, 5]]) {
    const given = coldRate(rate, overshoot, slack)
    t.true(given <= rate)
    t.true(given * 1.1 * 1.4 + 3 <= rate * overshoot + slack + 1e-9 || given === 0, `${rate} ${overshoot} ${slack}`)
  }
  t.is(coldRate(32, 1.5, 5), 32)
})
