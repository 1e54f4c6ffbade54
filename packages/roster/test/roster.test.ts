/** Which upstreams count as listed, and when each departed. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Outage, Roster, type Upstream } from '../src/index.js'

function engine (id: string, difference: Partial<Upstream> = {}): Upstream {
  return { id, service: 'chat', address: `${id}:1`, dataCentre: 'dc', leaving: false, domain: 'd', loaded: ['m'], staged: [], ...difference }
}

const open = { replica: 'r', epoch: 1, rank: 0, state: 'open' } as const

test('only open heads that are not leaving take requests of their model', t => {
  const roster = new Roster(new ManualClock())
  t.false(roster.hasList)
  roster.replace([
    engine('head', { membership: open }),
    engine('member', { membership: { ...open, rank: 1, state: 'ready' } }),
    engine('closing', { membership: { ...open, replica: 's', state: 'closing' } }),
    engine('leaving', { membership: { ...open, replica: 'u' }, leaving: true }),
    engine('other', { membership: { ...open, replica: 'v' }, loaded: ['n'] })
  ])
  t.true(roster.hasList)
  t.deepEqual(roster.heads('chat', 'm').map(each => each.id), ['head'])
  t.deepEqual(roster.available('chat').map(each => each.id), ['head', 'member', 'closing', 'other'])
})

test('a departure starts when it is first seen, and none is recorded for an upstream that stays', t => {
  const clock = new ManualClock()
  const roster = new Roster(clock)
  roster.replace([engine('a'), engine('b')])
  clock.advance(100)
  roster.apply([{ upstream: engine('a', { leaving: true }) }])
  clock.advance(100)
  roster.apply([{ gone: 'a' }])
  t.is(roster.departure('a')?.at, 100)
  t.is(roster.find('a'), undefined)
  roster.apply([{ upstream: engine('b') }])
  t.is(roster.departure('b'), undefined)
})

test('an upstream that has announced its leaving stays leaving, even if an older record arrives late', t => {
  const clock = new ManualClock()
  const roster = new Roster(clock)
  roster.replace([engine('a', { membership: open }), engine('b')])
  roster.apply([{ upstream: engine('a', { membership: open, leaving: true }) }])
  clock.advance(100)
  roster.apply([{ upstream: engine('a', { membership: open }) }])
  t.deepEqual(roster.available('chat').map(each => each.id), ['b'])
  t.deepEqual(roster.heads('chat', 'm'), [])
  roster.apply([{ gone: 'a' }, { upstream: engine('a') }])
  t.deepEqual(roster.available('chat').map(each => each.id), ['b'])
  t.is(roster.departure('a')?.at, 0)
})

test('listeners are notified of every change until they unsubscribe', t => {
  const roster = new Roster(new ManualClock())
  let notifications = 0
  const unsubscribe = roster.listen(() => notifications++)
  roster.replace([engine('a')])
  roster.apply([{ gone: 'a' }])
  unsubscribe()
  roster.replace([])
  t.is(notifications, 2)
})

test('an upstream that is not listed any more after a quiet time is gone at once', t => {
  const clock = new ManualClock()
  const outage = new Outage(clock)
  const roster = new Roster(clock, outage)
  roster.replace([engine('a')])
  // For a long time no call was made, or the answers had no changes; then one answer was lost.
  clock.advance(8000)
  outage.recordAnswer()
  roster.apply([{ gone: 'a' }])
  t.is(roster.find('a'), undefined)
  roster.apply([{ upstream: engine('a') }])
  outage.recordFailure(clock.now())
  clock.advance(2600)
  outage.recordAnswer()
  roster.apply([{ gone: 'a' }])
  t.is(roster.find('a'), undefined)
})

test('entries that are missing after an outage are retained until the time to be listed again is over', t => {
  const clock = new ManualClock()
  const outage = new Outage(clock)
  const roster = new Roster(clock, outage)
  roster.replace([engine('back'), engine('dead')])
  for (let times = 0; times < 3; times++) {
    outage.recordFailure(clock.now())
    clock.advance(1500)
  }
  outage.recordAnswer()
  roster.apply([{ gone: 'back' }])
  roster.replace([])
  t.deepEqual(roster.upstreams.map(each => each.id), ['back', 'dead'])
  clock.advance(1900)
  roster.apply([{ upstream: engine('back') }])
  clock.advance(700)
  t.deepEqual(roster.upstreams.map(each => each.id), ['back'])
  roster.apply([{ gone: 'back' }])
  t.deepEqual(roster.upstreams, [])
})

test('a list that was first read a moment ago does not count as complete', t => {
  const clock = new ManualClock()
  const outage = new Outage(clock)
  clock.advance(5000)
  t.false(outage.listComplete)
  outage.recordAnswer()
  clock.advance(2500)
  t.false(outage.listComplete)
  clock.advance(200)
  t.true(outage.listComplete)
})

test('the departure of an upstream that is gone is retained for a minute', t => {
  const clock = new ManualClock()
  const roster = new Roster(clock)
  roster.replace([engine('a')])
  roster.apply([{ gone: 'a' }])
  clock.advance(60_000)
  roster.apply([])
  t.is(roster.departure('a')?.at, 0)
  clock.advance(1)
  roster.apply([])
  t.is(roster.departure('a'), undefined)
})

test('a list that is followed again after another process followed it counts as complete, unless the gap may hide an outage', t => {
  const clock = new ManualClock()
  const outage = new Outage(clock)
  outage.recordAnswer()
  clock.advance(10_000)
  outage.resume(clock.now() - 2500)
  t.deepEqual([outage.listComplete, outage.resumed], [true, false])
  outage.resume(clock.now() - 2501)
  t.deepEqual([outage.listComplete, outage.resumed], [false, true])
  clock.advance(2600)
  t.true(outage.listComplete)
})

test('an engine that has left its replica retains the weights in use until it loads others, and a new engine has none', t => {
  const roster = new Roster(new ManualClock())
  const loaded = (): readonly string[] | undefined => roster.find('a')?.loaded
  roster.replace([engine('a', { membership: open, staged: ['n'] })])
  roster.apply([{ upstream: engine('a', { loaded: [], staged: ['n'] }) }])
  t.deepEqual(loaded(), ['m'])
  roster.apply([{ upstream: engine('a', { loaded: [], staged: ['n'], membership: { ...open, epoch: 2, state: 'joining' } }) }])
  t.deepEqual(loaded(), [])
  roster.apply([{ upstream: engine('a', { loaded: ['n'], staged: ['n'], membership: { ...open, epoch: 2, state: 'ready' } }) }])
  roster.apply([{ upstream: engine('a', { loaded: [], staged: ['n'] }) }])
  t.deepEqual(loaded(), ['n'])
  roster.replace([engine('b', { loaded: [] })])
  t.deepEqual(roster.find('b')?.loaded, [])
})
