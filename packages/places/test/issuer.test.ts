/** Who gets a place, where, and what is told to the others. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Counts, Issuer, roomOf, type Ask, type Head } from '../src/index.js'

const room = roomOf('s', 'm')

class Fixture {
  readonly clock = new ManualClock()
  readonly counts = new Counts()
  readonly answers: string[] = []
  heads: Head[] = [head('a', 1), head('b', 1)]
  readonly own = new Map<string, number>()
  readonly issuer = new Issuer({
    clock: this.clock,
    heads: () => this.heads,
    inFlight: upstream => this.own.get(upstream) ?? 0,
    counts: this.counts,
    deliver: (to, reply) => { this.answers.push(`${to}${reply.number} ${reply.place}${reply.place === 'grant' ? ` ${reply.upstream}` : ''}`) },
    random: () => 0
  })

  ask (from: string, number: number, ask: Partial<Ask> = {}): void {
    const now = this.clock.now()
    this.issuer.ask(room, { from, number, priority: 1, team: '', work: 1, arrivedAt: now, inTimeUntil: now + 400, until: now + 400, besides: [], near: 'dc', ...ask })
  }

  /** What was answered since the last look. */
  get heard (): string[] {
    return this.answers.splice(0)
  }
}

function head (id: string, capacity: number, dataCentre = 'dc', closedFor = 0): Head {
  return { id, dataCentre, capacity, closedFor }
}

test('places are given at the least loaded heads, and then the others wait', t => {
  const fixture = new Fixture()
  fixture.counts.set('y', 'a', 1)
  for (const number of [1, 2]) fixture.ask('x', number)
  t.deepEqual(fixture.heard, ['x1 grant b', 'x2 wait'])
  t.is(fixture.issuer.waiting, 1)
})

test('a head in the data centre of the request goes before one as loaded elsewhere', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 2, 'far'), head('b', 2)]
  for (const number of [1, 2, 3]) fixture.ask('x', number)
  t.deepEqual(fixture.heard, ['x1 grant b', 'x2 grant a', 'x3 grant b'])
})

test('a place that comes free goes to the most urgent at once', t => {
  const fixture = new Fixture()
  fixture.counts.set('y', 'a', 1)
  fixture.counts.set('y', 'b', 1)
  fixture.ask('x', 1)
  fixture.ask('z', 2, { priority: 0 })
  t.deepEqual(fixture.heard, ['x1 wait', 'z2 wait'])
  fixture.issuer.hear(room, 'y', { upstream: 'a', count: 0, seen: 0 })
  t.deepEqual(fixture.heard, ['z2 grant a'])
  fixture.issuer.hear(room, 'y', { upstream: 'b', count: 0, seen: 0 })
  t.deepEqual(fixture.heard, ['x1 grant b'])
})

test('one that must not be sent where a place comes free leaves it to the next, and keeps its own turn', t => {
  const fixture = new Fixture()
  fixture.counts.set('y', 'a', 1)
  fixture.counts.set('y', 'b', 1)
  fixture.ask('x', 1, { besides: ['a'] })
  fixture.ask('z', 2)
  fixture.issuer.hear(room, 'y', { upstream: 'a', count: 0, seen: 0 })
  fixture.issuer.hear(room, 'y', { upstream: 'b', count: 0, seen: 0 })
  t.deepEqual(fixture.heard, ['x1 wait', 'z2 wait', 'z2 grant a', 'x1 grant b'])
})

test('a grant counts until a word of its gateway shows it, and no longer', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  fixture.ask('x', 1)
  fixture.ask('z', 2)
  t.deepEqual(fixture.heard, ['x1 grant a', 'z2 wait'])
  // Sent before it got the grant.
  fixture.counts.hear('x', {})
  fixture.issuer.heard('x', undefined)
  fixture.issuer.serveAll()
  t.deepEqual(fixture.heard, [])
  // It has the place in use.
  fixture.counts.hear('x', { a: 1 })
  fixture.issuer.heard('x', Number.MAX_SAFE_INTEGER)
  fixture.issuer.serveAll()
  t.deepEqual(fixture.heard, [])
  fixture.issuer.hear(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
  t.deepEqual(fixture.heard, ['z2 grant a'])
})

test('a grant that was lost is over with the first heartbeat after it has lapsed; a word about another head ends none', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  fixture.ask('x', 1)
  fixture.ask('z', 2)
  fixture.clock.advance(199)
  fixture.issuer.heard('x', undefined)
  fixture.clock.advance(1)
  fixture.issuer.hear(room, 'x', { upstream: 'b', count: 0, seen: 0 })
  t.deepEqual(fixture.heard, ['x1 grant a', 'z2 wait'])
  fixture.issuer.heard('x', undefined)
  fixture.issuer.serveAll()
  t.deepEqual(fixture.heard, ['z2 grant a'])
})

test('the place of a gateway that lives no more is free', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  fixture.ask('x', 1)
  fixture.ask('z', 2)
  fixture.counts.set('x', 'a', 1)
  fixture.counts.keepOnly(() => false)
  fixture.issuer.forget(id => id !== 'x')
  fixture.clock.advance(20)
  t.deepEqual(fixture.heard, ['x1 grant a', 'z2 wait', 'z2 grant a'])
})

test('an own grant is over once it is used or not needed', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  let order = 0
  const issuer = new Issuer({ clock: fixture.clock, heads: () => fixture.heads, inFlight: () => 0, counts: fixture.counts, deliver: (_to, reply) => { if (reply.place === 'grant') order = reply.order }, random: () => 0 })
  const ask = { from: '', number: 1, priority: 1, team: '', work: 1, arrivedAt: 0, inTimeUntil: 400, until: 400, besides: [], near: 'dc' }
  issuer.ask(room, ask)
  issuer.ask(room, { ...ask, number: 2 })
  t.is(issuer.given, 1)
  issuer.settle(order)
  issuer.serve(room)
  t.is(issuer.given, 2)
})

test('a head that refused is left out for the time that its gateway says', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  fixture.issuer.hear(room, 'x', { upstream: 'a', count: 0, seen: 0, shut: 100 })
  fixture.ask('z', 1)
  fixture.clock.advance(99)
  t.deepEqual(fixture.heard, ['z1 wait'])
  fixture.clock.advance(21)
  t.deepEqual(fixture.heard, ['z1 grant a'])
})

test('where all heads are closed for longer than a request waits, it is refused at once with the time until the first opens', t => {
  const fixture = new Fixture()
  const dues: number[] = []
  fixture.heads = [head('a', 1, 'dc', 2000), head('b', 1)]
  const issuer = new Issuer({ clock: fixture.clock, heads: () => fixture.heads, inFlight: () => 0, counts: fixture.counts, deliver: (_to, reply) => { if (reply.place === 'later') dues.push(reply.due) }, random: () => 0 })
  issuer.hear(room, 'x', { upstream: 'b', count: 0, seen: 0, shut: 1500 })
  issuer.ask(room, { from: 'x', number: 1, priority: 1, team: '', work: 1, arrivedAt: 0, inTimeUntil: 400, until: 400, besides: [], near: 'dc' })
  t.deepEqual(dues, [1500])
  t.is(issuer.waiting, 0)
})

test('one that has waited as long as it can is refused, and one that is dropped gets nothing', t => {
  const fixture = new Fixture()
  fixture.heads = []
  fixture.ask('x', 1)
  fixture.ask('x', 2)
  fixture.issuer.drop(room, 'x', 2)
  fixture.clock.advance(420)
  t.deepEqual(fixture.heard, ['x1 wait', 'x2 wait', 'x1 later'])
  t.is(fixture.issuer.waiting, 0)
})

test('an ask that comes twice waits once', t => {
  const fixture = new Fixture()
  fixture.heads = []
  fixture.ask('x', 1)
  fixture.ask('x', 1)
  t.is(fixture.issuer.waiting, 1)
})

test('a request before which too many wait is refused at once, with the time in which those are served', t => {
  const fixture = new Fixture()
  const dues: number[] = []
  let patience = 400
  fixture.heads = [head('a', 1)]
  const issuer = new Issuer({ clock: fixture.clock, heads: () => fixture.heads, inFlight: () => 0, counts: fixture.counts, deliver: (_to, reply) => { if (reply.place === 'later') dues.push(reply.due) }, random: () => 0 })
  const ask = (number: number): void => issuer.ask(room, { from: 'x', number, priority: 1, team: '', work: 1, arrivedAt: 0, inTimeUntil: 10_000, until: fixture.clock.now() + patience, besides: [], near: 'dc' })
  // A place each 100 ms for a while, and always one that waits.
  for (const number of [1000, 1001]) ask(number)
  for (let number = 0; number < 30; number++) {
    ask(number)
    fixture.clock.advance(100)
    issuer.hear(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
  }
  issuer.hear(room, 'x', { upstream: 'a', count: 1, seen: Number.MAX_SAFE_INTEGER })
  for (let number = 100; number < 120; number++) ask(number)
  t.true(dues.length >= 15, `${dues.length} refused`)
  // Those that wait are served soon.
  t.true(dues.every(due => due === 0))
  patience = 3000
  for (let number = 200; number < 260; number++) ask(number)
  t.true(issuer.waiting >= 25 && issuer.waiting <= 35, `${issuer.waiting} wait`)
  const last = dues[dues.length - 1]
  t.true(last >= 2500 && last <= 3500, `in ${last} ms`)
})

test('where requests ask seldom and get their places at once, one that must wait is not refused for it', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  for (let number = 0; number < 10; number++) {
    fixture.ask('x', number)
    fixture.clock.advance(1000)
    fixture.issuer.hear(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
  }
  t.deepEqual(fixture.heard, Array.from({ length: 10 }, (_each, number) => `x${number} grant a`))
  fixture.counts.set('y', 'a', 1)
  fixture.ask('x', 10)
  t.deepEqual(fixture.heard, ['x10 wait'])
})

test('the less urgent are refused at once where the more urgent have all places', t => {
  const fixture = new Fixture()
  const { clock } = fixture
  fixture.heads = [head('a', 1)]
  let later = 0
  const issuer = new Issuer({ clock, heads: () => fixture.heads, inFlight: () => 0, counts: fixture.counts, deliver: (_to, reply) => { if (reply.place === 'later') later++ }, random: () => 0 })
  const ask = (number: number, priority: number): void => issuer.ask(room, { from: 'x', number, priority, team: '', work: 1, arrivedAt: clock.now(), inTimeUntil: clock.now() + 400, until: clock.now() + 400, besides: [], near: 'dc' })
  // Always one that waits.
  for (const number of [1000, 1001]) ask(number, 0)
  for (let number = 0; number < 20; number++) {
    ask(number, 0)
    clock.advance(50)
    issuer.hear(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
  }
  issuer.hear(room, 'x', { upstream: 'a', count: 1, seen: Number.MAX_SAFE_INTEGER })
  ask(50, 0)
  ask(51, 1)
  t.is(later, 1)
})

/** A head whose place comes free each `interval` ms for a second, so that it is known how fast places come free; requests wait all the time. */
function steady (interval: number): { fixture: Fixture, pass: (time: number) => void } {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  const pass = (time: number): void => {
    for (let passed = 0; passed < time; passed++) {
      fixture.clock.advance(1)
      if (fixture.clock.now() % interval === 0) fixture.issuer.hear(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
    }
  }
  for (let number = 0; number < 1000 / interval + 1; number++) fixture.ask('x', number, { until: Infinity })
  pass(1000)
  return { fixture, pass }
}

test('when a request would no longer wait alone, it goes on waiting if it is served in time, and else is refused then', t => {
  const { fixture, pass } = steady(50)
  const now = fixture.clock.now()
  t.is(fixture.issuer.waiting, 0)
  fixture.answers.length = 0
  for (let number = 100; number < 112; number++) fixture.ask('x', number, { arrivedAt: now + number, until: now + 400, reviewAt: now + 110 })
  // What is known of the past lets the first ones wait.
  pass(45)
  for (let number = 112; number < 118; number++) fixture.ask('x', number, { arrivedAt: now + number, until: now + 400, reviewAt: now + 110 })
  fixture.answers.length = 0
  pass(70)
  const refused = fixture.heard.filter(each => each.endsWith('later'))
  t.true(refused.length >= 8 && refused.length <= 11, refused.join())
  pass(400)
  const later = fixture.heard
  t.true(later.filter(each => each.endsWith('later')).length <= 1, later.join())
})

test('where it is not known how fast places come free, a request waits no longer than alone', t => {
  const fixture = new Fixture()
  fixture.heads = []
  fixture.ask('x', 1, { reviewAt: fixture.clock.now() + 110 })
  fixture.ask('x', 2)
  fixture.clock.advance(105)
  t.deepEqual(fixture.heard, ['x1 wait', 'x2 wait'])
  fixture.clock.advance(6)
  t.deepEqual(fixture.heard, ['x1 later'])
})

test('one that others overtake who come later is refused when it would no longer wait alone', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  const served = new Map<string, number>()
  let [held, early] = [0, 0]
  const come = new Map<number, { team: string, at: number }>()
  const { clock } = fixture
  const issuer = new Issuer({
    clock,
    heads: () => fixture.heads,
    inFlight: () => 0,
    counts: fixture.counts,
    deliver: (_to, reply) => {
      const ask = come.get(reply.number)
      if (ask === undefined) return
      if (reply.place === 'grant') served.set(ask.team, (served.get(ask.team) ?? 0) + 1)
      if (reply.place !== 'later' || clock.now() < 3000) return
      if (clock.now() - ask.at > 115) held++
      else early++
    },
    random: () => 0
  })
  const ask = (number: number, team: string): void => {
    const at = clock.now()
    come.set(number, { team, at })
    issuer.ask(room, { from: 'x', number, priority: 1, team, work: 1, arrivedAt: at, inTimeUntil: at + 450, until: at + 400, reviewAt: at + 110, besides: [], near: 'dc' })
  }
  // 40 places a second; six teams ask 5 times a second each, and one 40 times.
  for (let number = 0; clock.now() < 6000; number++) {
    if (number % 200 < 6) ask(10_000 + number, `t${number % 200}`)
    if (number % 25 === 0) ask(number, 'many')
    if (number % 25 === 10) issuer.hear(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
    clock.advance(1)
  }
  t.true((served.get('many') ?? 0) >= 40, `${served.get('many')} of the many served`)
  t.true(held <= (held + early) * 0.1, `${held} held of ${held + early} refused`)
})
