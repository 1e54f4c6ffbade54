/** Which requests get a place, at which head, and what the issuer replies to the others. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlightCounts, Issuer, roomOf, type PlaceRequest, type Head } from '../src/index.js'

const room = roomOf('s', 'm')

class Fixture {
  readonly clock = new ManualClock()
  readonly counts = new InFlightCounts()
  readonly replies: string[] = []
  heads: Head[] = [head('a', 1), head('b', 1)]
  /** The number of the request to which no reply can be delivered. */
  failing: number | undefined
  readonly localInFlight = new Map<string, number>()
  readonly issuer = new Issuer({
    clock: this.clock,
    heads: () => this.heads,
    inFlight: upstream => this.localInFlight.get(upstream) ?? 0,
    counts: this.counts,
    deliver: (to, reply) => {
      if (reply.number === this.failing) throw new Error('not delivered')
      this.replies.push(`${to}${reply.number} ${reply.place}${reply.place === 'grant' ? ` ${reply.upstream}` : ''}`)
    },
    random: () => 0
  })

  request (from: string, number: number, fields: Partial<PlaceRequest> = {}): void {
    const now = this.clock.now()
    this.issuer.request(room, { from, number, priority: 1, team: '', work: 1, arrivedAt: now, inTimeUntil: now + 400, until: now + 400, excluded: [], near: 'dc', ...fields })
  }

  /** The replies since the last call. */
  get newReplies (): string[] {
    return this.replies.splice(0)
  }
}

function head (id: string, capacity: number, dataCentre = 'dc', closedFor = 0): Head {
  return { id, dataCentre, capacity, closedFor }
}

test('places are granted at the least loaded heads, and then further requests wait', t => {
  const fixture = new Fixture()
  fixture.counts.set('y', 'a', 1)
  for (const number of [1, 2]) fixture.request('x', number)
  t.deepEqual(fixture.newReplies, ['x1 grant b', 'x2 wait'])
  t.is(fixture.issuer.waiting, 1)
})

test('a head in the data centre of the request is preferred to an equally loaded head elsewhere', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 2, 'far'), head('b', 2)]
  for (const number of [1, 2, 3]) fixture.request('x', number)
  t.deepEqual(fixture.newReplies, ['x1 grant b', 'x2 grant a', 'x3 grant b'])
})

test('a place that becomes free goes to the most urgent request at once', t => {
  const fixture = new Fixture()
  fixture.counts.set('y', 'a', 1)
  fixture.counts.set('y', 'b', 1)
  fixture.request('x', 1)
  fixture.request('z', 2, { priority: 0 })
  t.deepEqual(fixture.newReplies, ['x1 wait', 'z2 wait'])
  fixture.issuer.receiveCount(room, 'y', { upstream: 'a', count: 0, seen: 0 })
  t.deepEqual(fixture.newReplies, ['z2 grant a'])
  fixture.issuer.receiveCount(room, 'y', { upstream: 'b', count: 0, seen: 0 })
  t.deepEqual(fixture.newReplies, ['x1 grant b'])
})

test('a request that must not be sent to the free head leaves the place to the next one and keeps its turn', t => {
  const fixture = new Fixture()
  fixture.counts.set('y', 'a', 1)
  fixture.counts.set('y', 'b', 1)
  fixture.request('x', 1, { excluded: ['a'] })
  fixture.request('z', 2)
  fixture.issuer.receiveCount(room, 'y', { upstream: 'a', count: 0, seen: 0 })
  fixture.issuer.receiveCount(room, 'y', { upstream: 'b', count: 0, seen: 0 })
  t.deepEqual(fixture.newReplies, ['x1 wait', 'z2 wait', 'z2 grant a', 'x1 grant b'])
})

test('a grant counts until a report of its gateway includes it, and no longer', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  fixture.request('x', 1)
  fixture.request('z', 2)
  t.deepEqual(fixture.newReplies, ['x1 grant a', 'z2 wait'])
  // Sent before the gateway received the grant.
  fixture.counts.replace('x', {})
  fixture.issuer.acknowledgeGrants('x', undefined)
  fixture.issuer.serveAll()
  t.deepEqual(fixture.newReplies, [])
  // The place is in use.
  fixture.counts.replace('x', { a: 1 })
  fixture.issuer.acknowledgeGrants('x', Number.MAX_SAFE_INTEGER)
  fixture.issuer.serveAll()
  t.deepEqual(fixture.newReplies, [])
  fixture.issuer.receiveCount(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
  t.deepEqual(fixture.newReplies, ['z2 grant a'])
})

test('a lost grant ends with the first heartbeat after it has expired; a report about another head ends no grant', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  fixture.request('x', 1)
  fixture.request('z', 2)
  fixture.clock.advance(199)
  fixture.issuer.acknowledgeGrants('x', undefined)
  fixture.clock.advance(1)
  fixture.issuer.receiveCount(room, 'x', { upstream: 'b', count: 0, seen: 0 })
  t.deepEqual(fixture.newReplies, ['x1 grant a', 'z2 wait'])
  fixture.issuer.acknowledgeGrants('x', undefined)
  fixture.issuer.serveAll()
  t.deepEqual(fixture.newReplies, ['z2 grant a'])
})

test('the place of a gateway that is no longer live is free', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  fixture.request('x', 1)
  fixture.request('z', 2)
  fixture.counts.set('x', 'a', 1)
  fixture.counts.keepOnly(() => false)
  fixture.issuer.forget(id => id !== 'x')
  fixture.clock.advance(20)
  t.deepEqual(fixture.newReplies, ['x1 grant a', 'z2 wait', 'z2 grant a'])
})

test('a grant to this gateway ends when it is used or not needed', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  let order = 0
  const issuer = new Issuer({ clock: fixture.clock, heads: () => fixture.heads, inFlight: () => 0, counts: fixture.counts, deliver: (_to, reply) => { if (reply.place === 'grant') order = reply.order }, random: () => 0 })
  const request = { from: '', number: 1, priority: 1, team: '', work: 1, arrivedAt: 0, inTimeUntil: 400, until: 400, excluded: [], near: 'dc' }
  issuer.request(room, request)
  issuer.request(room, { ...request, number: 2 })
  t.is(issuer.granted, 1)
  issuer.settle(order)
  issuer.serve(room)
  t.is(issuer.granted, 2)
})

test('a head that refused is excluded for the time that its gateway reports', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  fixture.issuer.receiveCount(room, 'x', { upstream: 'a', count: 0, seen: 0, shut: 100 })
  fixture.request('z', 1)
  fixture.clock.advance(99)
  t.deepEqual(fixture.newReplies, ['z1 wait'])
  fixture.clock.advance(21)
  t.deepEqual(fixture.newReplies, ['z1 grant a'])
})

test('if all heads are closed for longer than a request waits, it is refused at once with the time until the first opens', t => {
  const fixture = new Fixture()
  const dues: number[] = []
  fixture.heads = [head('a', 1, 'dc', 2000), head('b', 1)]
  const issuer = new Issuer({ clock: fixture.clock, heads: () => fixture.heads, inFlight: () => 0, counts: fixture.counts, deliver: (_to, reply) => { if (reply.place === 'later') dues.push(reply.due) }, random: () => 0 })
  issuer.receiveCount(room, 'x', { upstream: 'b', count: 0, seen: 0, shut: 1500 })
  issuer.request(room, { from: 'x', number: 1, priority: 1, team: '', work: 1, arrivedAt: 0, inTimeUntil: 400, until: 400, excluded: [], near: 'dc' })
  t.deepEqual(dues, [1500])
  t.is(issuer.waiting, 0)
})

test('a request that has waited as long as it can is refused, and a dropped one gets no reply', t => {
  const fixture = new Fixture()
  fixture.heads = []
  fixture.request('x', 1)
  fixture.request('x', 2)
  fixture.issuer.drop(room, 'x', 2)
  fixture.clock.advance(420)
  t.deepEqual(fixture.newReplies, ['x1 wait', 'x2 wait', 'x1 later'])
  t.is(fixture.issuer.waiting, 0)
})

test('a request that arrives twice waits once', t => {
  const fixture = new Fixture()
  fixture.heads = []
  fixture.request('x', 1)
  fixture.request('x', 1)
  t.is(fixture.issuer.waiting, 1)
})

test('a request behind too many others is refused at once, with the time in which those are served', t => {
  const fixture = new Fixture()
  const dues: number[] = []
  let patience = 400
  fixture.heads = [head('a', 1)]
  const issuer = new Issuer({ clock: fixture.clock, heads: () => fixture.heads, inFlight: () => 0, counts: fixture.counts, deliver: (_to, reply) => { if (reply.place === 'later') dues.push(reply.due) }, random: () => 0 })
  const request = (number: number): void => issuer.request(room, { from: 'x', number, priority: 1, team: '', work: 1, arrivedAt: 0, inTimeUntil: 10_000, until: fixture.clock.now() + patience, excluded: [], near: 'dc' })
  // A place becomes free every 100 ms for a while, and a request always waits.
  for (const number of [1000, 1001]) request(number)
  for (let number = 0; number < 30; number++) {
    request(number)
    fixture.clock.advance(100)
    issuer.receiveCount(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
  }
  issuer.receiveCount(room, 'x', { upstream: 'a', count: 1, seen: Number.MAX_SAFE_INTEGER })
  for (let number = 100; number < 120; number++) request(number)
  t.true(dues.length >= 15, `${dues.length} refused`)
  // The requests that wait are served soon.
  t.true(dues.every(due => due === 0))
  patience = 3000
  for (let number = 200; number < 260; number++) request(number)
  t.true(issuer.waiting >= 25 && issuer.waiting <= 35, `${issuer.waiting} wait`)
  const last = dues[dues.length - 1]
  t.true(last >= 2500 && last <= 3500, `in ${last} ms`)
})

test('if requests are rare and get their places at once, one that must wait is not refused', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  for (let number = 0; number < 10; number++) {
    fixture.request('x', number)
    fixture.clock.advance(1000)
    fixture.issuer.receiveCount(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
  }
  t.deepEqual(fixture.newReplies, Array.from({ length: 10 }, (_each, number) => `x${number} grant a`))
  fixture.counts.set('y', 'a', 1)
  fixture.request('x', 10)
  t.deepEqual(fixture.newReplies, ['x10 wait'])
})

test('less urgent requests are refused at once if more urgent ones get all places', t => {
  const fixture = new Fixture()
  const { clock } = fixture
  fixture.heads = [head('a', 1)]
  let later = 0
  const issuer = new Issuer({ clock, heads: () => fixture.heads, inFlight: () => 0, counts: fixture.counts, deliver: (_to, reply) => { if (reply.place === 'later') later++ }, random: () => 0 })
  const request = (number: number, priority: number): void => issuer.request(room, { from: 'x', number, priority, team: '', work: 1, arrivedAt: clock.now(), inTimeUntil: clock.now() + 400, until: clock.now() + 400, excluded: [], near: 'dc' })
  // A request always waits.
  for (const number of [1000, 1001]) request(number, 0)
  for (let number = 0; number < 20; number++) {
    request(number, 0)
    clock.advance(50)
    issuer.receiveCount(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
  }
  issuer.receiveCount(room, 'x', { upstream: 'a', count: 1, seen: Number.MAX_SAFE_INTEGER })
  request(50, 0)
  request(51, 1)
  t.is(later, 1)
})

/**
 * A head whose place becomes free every `interval` ms for a second, so that the rate of free places is known.
 * Requests wait all the time.
 */
function withSteadyPlaces (interval: number): { fixture: Fixture, advance: (time: number) => void } {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  const advance = (time: number): void => {
    for (let passed = 0; passed < time; passed++) {
      fixture.clock.advance(1)
      if (fixture.clock.now() % interval === 0) fixture.issuer.receiveCount(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
    }
  }
  for (let number = 0; number < 1000 / interval + 1; number++) fixture.request('x', number, { until: Infinity })
  advance(1000)
  return { fixture, advance }
}

test('at its review a request continues to wait if it would be served in time, and is refused otherwise', t => {
  const { fixture, advance } = withSteadyPlaces(50)
  const now = fixture.clock.now()
  t.is(fixture.issuer.waiting, 0)
  fixture.replies.length = 0
  for (let number = 100; number < 112; number++) fixture.request('x', number, { arrivedAt: now + number, until: now + 400, reviewAt: now + 110 })
  // The rate of the past lets the first requests wait.
  advance(45)
  for (let number = 112; number < 118; number++) fixture.request('x', number, { arrivedAt: now + number, until: now + 400, reviewAt: now + 110 })
  fixture.replies.length = 0
  advance(70)
  const refused = fixture.newReplies.filter(each => each.endsWith('later'))
  t.true(refused.length >= 8 && refused.length <= 11, refused.join())
  advance(400)
  const later = fixture.newReplies
  t.true(later.filter(each => each.endsWith('later')).length <= 1, later.join())
})

test('if the rate of free places is not known, a request is refused at its review', t => {
  const fixture = new Fixture()
  fixture.heads = []
  fixture.request('x', 1, { reviewAt: fixture.clock.now() + 110 })
  fixture.request('x', 2)
  fixture.clock.advance(105)
  t.deepEqual(fixture.newReplies, ['x1 wait', 'x2 wait'])
  fixture.clock.advance(6)
  t.deepEqual(fixture.newReplies, ['x1 later'])
})

test('a request that later arrivals overtake is refused at its review', t => {
  const fixture = new Fixture()
  fixture.heads = [head('a', 1)]
  const served = new Map<string, number>()
  let [refusedLate, refusedEarly] = [0, 0]
  const arrivals = new Map<number, { team: string, at: number }>()
  const { clock } = fixture
  const issuer = new Issuer({
    clock,
    heads: () => fixture.heads,
    inFlight: () => 0,
    counts: fixture.counts,
    deliver: (_to, reply) => {
      const arrival = arrivals.get(reply.number)
      if (arrival === undefined) return
      if (reply.place === 'grant') served.set(arrival.team, (served.get(arrival.team) ?? 0) + 1)
      if (reply.place !== 'later' || clock.now() < 3000) return
      if (clock.now() - arrival.at > 115) refusedLate++
      else refusedEarly++
    },
    random: () => 0
  })
  const request = (number: number, team: string): void => {
    const at = clock.now()
    arrivals.set(number, { team, at })
    issuer.request(room, { from: 'x', number, priority: 1, team, work: 1, arrivedAt: at, inTimeUntil: at + 450, until: at + 400, reviewAt: at + 110, excluded: [], near: 'dc' })
  }
  // 40 places a second. Six teams send 5 requests a second each, and one team sends 40.
  for (let number = 0; clock.now() < 6000; number++) {
    if (number % 200 < 6) request(10_000 + number, `t${number % 200}`)
    if (number % 25 === 0) request(number, 'many')
    if (number % 25 === 10) issuer.receiveCount(room, 'x', { upstream: 'a', count: 0, seen: Number.MAX_SAFE_INTEGER })
    clock.advance(1)
  }
  t.true((served.get('many') ?? 0) >= 40, `${served.get('many')} of the many served`)
  t.true(refusedLate <= (refusedLate + refusedEarly) * 0.1, `${refusedLate} of ${refusedLate + refusedEarly} refusals came after the review`)
})

// Guards against: one delivery that fails ended the checks of all requests that wait for the same room.
test('requests behind one whose reply cannot be delivered get theirs', t => {
  const fixture = new Fixture()
  const { clock } = fixture
  fixture.heads = []
  for (const number of [1, 2]) fixture.request('x', number, { until: 100 * number, inTimeUntil: 100 * number })
  t.is(fixture.newReplies.length, 2)
  fixture.failing = 1
  t.throws(() => clock.advance(200), { message: 'not delivered' })
  clock.advance(1000)
  t.deepEqual(fixture.newReplies, ['x2 later'])
})
