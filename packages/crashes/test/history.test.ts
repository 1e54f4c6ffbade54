/** Which requests are suspected, blocked or cleared after crashes of the upstreams that ran them. */
import { ManualClock } from '@eiderwind/clock'
import test from 'ava'
import { CrashHistory, unnamedRequest, type RequestIdentity } from '@eiderwind/crashes'

interface Fixture {
  readonly clock: ManualClock
  readonly history: CrashHistory
  readonly blocked: string[]
  /** Crashes an upstream and waits for the decision. */
  readonly crash: (upstream: string, ...requests: string[]) => void
}

function fixture (): Fixture {
  const clock = new ManualClock()
  const blocked: string[] = []
  const history = new CrashHistory({ clock, changed: () => {}, blockChanged: ({ names }) => { blocked.push(...names) } })
  const crash = (upstream: string, ...requests: string[]): void => {
    history.confirm({ upstream, at: clock.now(), requests: requests.map(unnamedRequest) })
    clock.advance(200)
  }
  return { clock, history, blocked, crash }
}

/** A request without parts, named only by its fingerprint. */
function whole (fingerprint: string): RequestIdentity {
  return { fingerprint, parts: [], team: '@team' }
}

test('a request that is alone in three crashes is blocked at the third', t => {
  const { history, blocked, crash } = fixture()
  crash('a', 'p')
  t.is(history.standing(whole('p')), 'trusted')
  crash('b', 'p')
  t.is(history.standing(whole('p')), 'suspected')
  crash('c', 'p')
  t.is(history.standing(whole('p')), 'blocked')
  t.deepEqual(blocked, ['p'])
})

test('a crash with one suspect blocks that request and none that ran beside it', t => {
  const { history, blocked, crash } = fixture()
  crash('a', 'p', 'x', 'y', 'z')
  crash('b', 'p', 'x', 'y')
  t.is(history.standing(whole('x')), 'suspected')
  t.is(history.standing(whole('z')), 'trusted')
  crash('c', 'p', 'z', 'new')
  t.deepEqual(blocked, ['p'])
  t.is(history.standing(whole('z')), 'suspected')
  t.is(history.standing(whole('new')), 'trusted')
})

test('a crash with two suspects blocks neither; the one that crashes the next upstream alone is blocked', t => {
  const { history, blocked, crash } = fixture()
  crash('a', 'p', 'x')
  crash('b', 'p', 'x')
  crash('c', 'p', 'x')
  t.deepEqual(blocked, [])
  t.true(history.clear('x'))
  crash('d', 'p')
  t.deepEqual(blocked, ['p'])
  t.is(history.standing(whole('x')), 'trusted')
})

test('four crashes block a request that was never the only suspect', t => {
  const { blocked, crash } = fixture()
  for (const upstream of ['a', 'b', 'c']) crash(upstream, 'p', 'q')
  t.deepEqual(blocked, [])
  crash('d', 'p', 'q', 'r')
  t.deepEqual(blocked, ['p', 'q'])
})

test('reports of several gateways about one crash count once; a later crash of the same upstream counts again', t => {
  const { clock, history, blocked, crash } = fixture()
  history.confirm({ upstream: 'a', at: 0, requests: ['p'].map(unnamedRequest) })
  history.confirm({ upstream: 'a', at: 3, requests: ['p', 'x'].map(unnamedRequest) })
  clock.advance(200)
  history.confirm({ upstream: 'a', at: -40, requests: ['p'].map(unnamedRequest) })
  clock.advance(4000)
  t.is(history.standing(whole('p')), 'trusted')
  crash('a', 'p')
  t.is(history.standing(whole('p')), 'suspected')
  clock.advance(4000)
  crash('a', 'p')
  t.deepEqual(blocked, ['p'])
})

test('a report that arrives before the decision on a crash adds its suspects, so neither suspect is blocked', t => {
  const { clock, history, blocked, crash } = fixture()
  crash('a', 'p', 'x')
  crash('b', 'p', 'x')
  history.confirm({ upstream: 'c', at: clock.now(), requests: ['x'].map(unnamedRequest) })
  clock.advance(100)
  history.confirm({ upstream: 'c', at: clock.now() - 100, requests: ['p'].map(unnamedRequest) })
  t.true(history.isPending('x'))
  clock.advance(100)
  t.deepEqual(blocked, [])
})

test('a broken connection counts as a crash until it is withdrawn, unless another gateway confirms the crash', t => {
  const { clock, history, crash } = fixture()
  crash('a', 'p')
  history.suspect({ upstream: 'b', at: clock.now(), requests: ['p'].map(unnamedRequest) })
  t.is(history.standing(whole('p')), 'suspected')
  t.true(history.isPending('p'))
  history.withdraw('b')
  t.is(history.standing(whole('p')), 'trusted')
  t.false(history.isPending('p'))
  history.suspect({ upstream: 'b', at: clock.now(), requests: ['p'].map(unnamedRequest) })
  history.confirm({ upstream: 'b', at: clock.now(), requests: ['q'].map(unnamedRequest) })
  history.withdraw('b')
  t.is(history.standing(whole('p')), 'suspected', 'another gateway has confirmed the crash')
})

test('a completed run also clears a blocked request', t => {
  const { history, crash } = fixture()
  for (const upstream of ['a', 'b', 'c']) crash(upstream, 'p')
  t.true(history.clear('p'))
  t.is(history.standing(whole('p')), 'trusted')
  t.false(history.clear('p'))
  t.true(history.isEmpty)
})

test('a blocked request may run once more after an hour, and one crash blocks it again', t => {
  const { clock, history, blocked, crash } = fixture()
  history.block({ names: ['p'], age: 59 * 60_000, duration: 60 * 60_000 })
  t.is(history.standing(whole('p')), 'blocked')
  t.is(history.blockedFor(whole('p')), 60_000)
  clock.advance(60_000)
  t.is(history.standing(whole('p')), 'suspected')
  crash('a', 'p')
  t.is(history.standing(whole('p')), 'blocked')
  t.deepEqual(blocked, ['p'], 'the first block came from another gateway, the second was decided here')
})

test('suspicions expire after ten minutes; with many requests old ones are evicted, but not blocked ones', t => {
  const { clock, history, crash } = fixture()
  crash('a', 'p')
  crash('b', 'p')
  clock.advance(11 * 60_000)
  crash('c', 'x')
  t.is(history.standing(whole('p')), 'trusted')
  for (const upstream of ['d', 'e', 'f']) crash(upstream, 'q')
  for (let index = 0; index < 3000; index++) crash(`u${index}`, `r${index}`)
  t.is(history.standing(whole('q')), 'blocked')
  crash('g', 'r0')
  t.is(history.standing(whole('r0')), 'trusted')
  crash('h', 'r2999')
  t.is(history.standing(whole('r2999')), 'suspected')
})
