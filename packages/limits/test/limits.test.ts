/** Which of several reports about a limit applies, whichever gateway read it and in whatever order they arrive. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Limits } from '../src/index.js'

/** This gateway issues the tokens of no upstream. */
const none = (): boolean => false

test('the newest limit applies, and it lasts until an answer names none', t => {
  const clock = new ManualClock()
  const limits = new Limits(clock)
  t.true(limits.recordAnswer('a', 3))
  t.false(limits.recordAnswer('a', 3))
  t.true(limits.recordAnswer('a', 1.6))
  clock.advance(1_000_000)
  t.is(limits.rate('a'), 1.6)
  t.deepEqual(limits.namedIds, ['a'])
  t.true(limits.recordAnswer('a', Infinity))
  t.false(limits.isLimited('a'))
  t.false(limits.recordAnswer('b', Infinity))
  t.deepEqual(limits.namedIds, [])
})

test('an upstream that names 0 gets a request every ten seconds', t => {
  const limits = new Limits(new ManualClock())
  limits.recordAnswer('a', 0)
  t.is(limits.rate('a'), 0.1)
})

test('of the limits that two gateways read the later one applies, in both orders of arrival', t => {
  const clock = new ManualClock()
  const first = new Limits(clock)
  const second = new Limits(clock)
  first.recordAnswer('a', 3)
  clock.advance(100)
  second.recordAnswer('a', 1)
  const { a: old } = first.reports(none)
  const { a: later } = second.reports(none)
  t.deepEqual([old, later], [[3, 100], [1, 0]])
  t.true(first.receive('a', later))
  t.false(second.receive('a', old))
  t.is(first.rate('a'), 1)
  t.is(second.rate('a'), 1)
})

test('the end of a limit that another gateway read overrides an older limit, but not a newer one', t => {
  const clock = new ManualClock()
  const limits = new Limits(clock)
  limits.recordAnswer('a', 3)
  clock.advance(1000)
  t.false(limits.receive('a', [null, 2000]))
  t.true(limits.receive('a', [null, 500]))
  t.false(limits.isLimited('a'))
  t.false(limits.receive('a', [3, 700]))
  t.false(limits.receive('b', [null, 0]))
  t.deepEqual(limits.reports(none), {})
})

test('a gateway that reads a change reports it for five seconds, even if it reads or receives the same limit again', t => {
  const clock = new ManualClock()
  const limits = new Limits(clock)
  limits.receive('a', [3, 0])
  limits.recordAnswer('a', 3)
  t.deepEqual(limits.reports(none), {})
  limits.recordAnswer('b', 2)
  clock.advance(4000)
  limits.receive('b', [2, 0])
  limits.recordAnswer('b', 2)
  clock.advance(999)
  t.deepEqual(limits.reports(none), { b: [2, 999] })
  clock.advance(1)
  t.deepEqual(limits.reports(none), {})
  limits.recordAnswer('b', 1)
  t.deepEqual(limits.reports(none), { b: [1, 0] })
  limits.recordAnswer('b', Infinity)
  t.deepEqual(limits.reports(none), { b: [null, 0] })
  t.deepEqual(limits.report('a'), [3, 5000])
  t.deepEqual(limits.report('c'), [null, 10_000])
})

test('the issuer of the tokens reports a limit while it lasts, from whichever gateway it came, and its end for ten seconds', t => {
  const clock = new ManualClock()
  const limits = new Limits(clock)
  const issues = (id: string): boolean => id === 'a'
  limits.receive('a', [3, 0])
  limits.receive('b', [3, 0])
  clock.advance(100_000)
  t.deepEqual(limits.reports(issues), { a: [3, 100_000] })
  limits.receive('a', [null, 0])
  clock.advance(9999)
  t.deepEqual(limits.reports(issues), { a: [null, 9999] })
  clock.advance(1)
  t.deepEqual(limits.reports(issues), {})
})

test('a limit starts with the first answer that names one, and a change of its rate does not restart it', t => {
  const clock = new ManualClock()
  const limits = new Limits(clock)
  clock.advance(100)
  limits.recordAnswer('a', 3)
  clock.advance(100)
  limits.recordAnswer('a', 2)
  t.is(limits.since('a'), 100)
  limits.recordAnswer('a', Infinity)
  t.is(limits.since('a'), undefined)
  limits.recordAnswer('a', 2)
  t.is(limits.since('a'), 200)
})

test('upstreams that are no longer known are removed', t => {
  const limits = new Limits(new ManualClock())
  limits.recordAnswer('a', 3)
  limits.recordAnswer('b', 3)
  limits.keepOnly(id => id === 'b')
  t.deepEqual(limits.namedIds, ['b'])
})
