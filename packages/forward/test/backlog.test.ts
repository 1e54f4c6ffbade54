/** The unread bytes of slow callers: when upstreams are paused and resumed, and which callers are closed. */
import test from 'ava'
import { Backlog } from '../src/backlog.js'

const bounds = { perCaller: 100, total: 1000, patience: 8000 }

test('an upstream is paused at the bound of its caller and resumed at half of it', t => {
  const backlog = new Backlog<string>(bounds)
  t.false(backlog.isFull('a'))
  t.true(backlog.mayResume('a'))
  backlog.add('a', 99, 0)
  t.false(backlog.isFull('a'))
  backlog.add('a', 1, 0)
  t.true(backlog.isFull('a'))
  backlog.read('a', 49, 10)
  t.false(backlog.isFull('a'))
  t.false(backlog.mayResume('a'))
  backlog.read('a', 1, 20)
  t.true(backlog.mayResume('a'))
  t.is(backlog.total, 50)
})

test('at the total bound the upstreams of slow callers are paused, those of callers that have read everything are not', t => {
  const backlog = new Backlog<string>(bounds)
  for (let each = 0; each < 20; each++) backlog.add(`slow ${each}`, 50, 0)
  t.true(backlog.isFull('slow 0'))
  t.false(backlog.mayResume('slow 0'))
  t.false(backlog.isFull('fast'))
  backlog.read('slow 1', 1, 10)
  t.false(backlog.isFull('slow 0'))
  t.true(backlog.mayResume('slow 0'))
})

test('a caller that reads nothing for longer than the patience is closed, one that reads a little at a time is not', t => {
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

test('additional unread bytes do not restart the idle time of a caller', t => {
  const backlog = new Backlog<string>(bounds)
  backlog.add('a', 10, 0)
  backlog.add('a', 10, 7000)
  t.deepEqual(backlog.overdue(8001), [{ caller: 'a', bytes: 20, idle: 8001 }])
})

test('the idle time of a caller that could not read yet restarts, and an unknown caller is ignored', t => {
  const backlog = new Backlog<string>(bounds)
  backlog.add('a', 10, 0)
  backlog.restartIdleTime('a', 7000)
  backlog.restartIdleTime('unknown', 7000)
  t.deepEqual(backlog.overdue(15_000), [])
  t.is(backlog.overdue(15_001).length, 1)
})

test('a caller that has read everything is removed, and so is one that has disconnected', t => {
  const backlog = new Backlog<string>(bounds)
  backlog.add('a', 10, 0)
  backlog.add('b', 10, 0)
  backlog.read('a', 10, 10)
  backlog.remove('b')
  backlog.remove('b')
  backlog.read('b', 10, 20)
  t.deepEqual([backlog.callers, backlog.total], [[], 0])
})

test('above twice the total bound callers are closed sooner, longest idle first, until the rest fits; a caller that reads is not closed', t => {
  const backlog = new Backlog<string>(bounds)
  for (let each = 0; each < 21; each++) backlog.add(`idle ${each}`, 100, each * 10)
  backlog.add('reads', 50, 0)
  backlog.read('reads', 10, 3000)
  t.deepEqual(backlog.overdue(2000), [])
  t.deepEqual(backlog.overdue(3000).map(({ caller }) => caller), ['idle 0', 'idle 1'])
})

test('between the total bound and twice that bound upstreams are paused and no caller is closed sooner', t => {
  const backlog = new Backlog<string>(bounds)
  for (let each = 0; each < 19; each++) backlog.add(`idle ${each}`, 100, 0)
  t.true(backlog.isFull('idle 0'))
  t.deepEqual(backlog.overdue(8000), [])
  t.is(backlog.overdue(8001).length, 19)
})
