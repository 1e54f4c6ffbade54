/** What is kept for callers that read slowly: tables of callers, what they have read, and which of them lose their connections. */
import test from 'ava'
import { Backlog } from '../src/backlog.js'

const bounds = { perCaller: 100, total: 1000, patience: 8000 }

test('an upstream is paused at the bound of its caller, and read on at half of it', t => {
  const backlog = new Backlog<string>(bounds)
  t.false(backlog.isFull('a'))
  t.true(backlog.isRelieved('a'))
  backlog.add('a', 99, 0)
  t.false(backlog.isFull('a'))
  backlog.add('a', 1, 0)
  t.true(backlog.isFull('a'))
  backlog.read('a', 49, 10)
  t.false(backlog.isFull('a'))
  t.false(backlog.isRelieved('a'))
  backlog.read('a', 1, 20)
  t.true(backlog.isRelieved('a'))
  t.is(backlog.total, 50)
})

test('at the bound of all, upstreams of slow callers are paused, and those of callers that have read everything are not', t => {
  const backlog = new Backlog<string>(bounds)
  for (let each = 0; each < 20; each++) backlog.add(`slow ${each}`, 50, 0)
  t.true(backlog.isFull('slow 0'))
  t.false(backlog.isRelieved('slow 0'))
  t.false(backlog.isFull('fast'))
  backlog.read('slow 1', 1, 10)
  t.false(backlog.isFull('slow 0'))
  t.true(backlog.isRelieved('slow 0'))
})

test('a caller that reads nothing for longer than the patience is closed; one that reads a little at a time never is', t => {
  const backlog = new Backlog<string>(bounds)
  backlog.add('stalled', 60, 0)
  backlog.add('steady', 90, 0)
  for (let now = 7000; now <= 56_000; now += 7000) {
    backlog.read('steady', 1, now)
    if (now === 7000) t.deepEqual(backlog.overdue(8000), [])
  }
  t.deepEqual(backlog.overdue(56_000), [{ caller: 'stalled', bytes: 60, idle: 56_000 }])
  backlog.remove('stalled')
  t.deepEqual(backlog.callers, ['steady'])
  t.is(backlog.total, 82)
})

test('more that is kept for a caller is no progress', t => {
  const backlog = new Backlog<string>(bounds)
  backlog.add('a', 10, 0)
  backlog.add('a', 10, 7000)
  t.deepEqual(backlog.overdue(8001), [{ caller: 'a', bytes: 20, idle: 8001 }])
})

test('a caller whose earlier answer is still being sent has its time from then on', t => {
  const backlog = new Backlog<string>(bounds)
  backlog.add('a', 10, 0)
  backlog.excuse('a', 7000)
  backlog.excuse('unknown', 7000)
  t.deepEqual(backlog.overdue(15_000), [])
  t.is(backlog.overdue(15_001).length, 1)
})

test('a caller that has read everything is forgotten, and so is one that has left', t => {
  const backlog = new Backlog<string>(bounds)
  backlog.add('a', 10, 0)
  backlog.add('b', 10, 0)
  backlog.read('a', 10, 10)
  backlog.remove('b')
  backlog.remove('b')
  backlog.read('b', 10, 20)
  t.deepEqual([backlog.callers, backlog.total], [[], 0])
})

test('well above the total the patience is shorter, for the longest idle first and no more of them than it takes; what reads is kept', t => {
  const backlog = new Backlog<string>(bounds)
  for (let each = 0; each < 21; each++) backlog.add(`idle ${each}`, 100, each * 10)
  backlog.add('reads', 50, 0)
  backlog.read('reads', 10, 3000)
  t.deepEqual(backlog.overdue(2000), [])
  t.deepEqual(backlog.overdue(3000).map(({ caller }) => caller), ['idle 0', 'idle 1'])
})

test('above the total alone nobody is closed sooner: upstreams are paused', t => {
  const backlog = new Backlog<string>(bounds)
  for (let each = 0; each < 19; each++) backlog.add(`idle ${each}`, 100, 0)
  t.true(backlog.isFull('idle 0'))
  t.deepEqual(backlog.overdue(8000), [])
  t.is(backlog.overdue(8001).length, 19)
})
