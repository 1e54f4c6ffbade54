/** Place clients and issuers of several gateways together, with one failure in each test. */
import test from 'ava'
import { Simulation } from './simulation.js'

test('requests of all gateways get the places of a head, never more than it has, and the next one at once when one ends', async t => {
  const simulation = new Simulation({ gateways: 3, heads: 1, capacity: 2 })
  const [first, second, third] = simulation.gateways
  const a = await simulation.request(second)
  const b = await simulation.request(third)
  await simulation.advance(5)
  const c = await simulation.request(first)
  await simulation.advance(5)
  t.deepEqual([a, b, c].map(each => each.outcome), ['served', 'served', undefined])
  simulation.end(a)
  await simulation.advance(3)
  t.is(c.outcome, 'served')
  t.is(simulation.maxExcess, 0)
})

test('the more urgent request goes first, whichever gateway received it', async t => {
  const simulation = new Simulation({ gateways: 3, heads: 1, capacity: 1 })
  const [, second, third] = simulation.gateways
  const running = await simulation.request(second)
  await simulation.advance(5)
  const late = await simulation.request(second, { priority: 3 })
  const urgent = await simulation.request(third, { priority: 0 })
  await simulation.advance(5)
  simulation.end(running)
  await simulation.advance(5)
  t.deepEqual([late.outcome, urgent.outcome], [undefined, 'served'])
})

test('if the issuer is dead, requests search alone within 50 ms, and without delay after three timeouts', async t => {
  const simulation = new Simulation({ gateways: 2, heads: 1, capacity: 1 })
  const [issuer, other] = simulation.gateways
  issuer.isDead = true
  const first = await Promise.all([1, 2, 3].map(async () => await simulation.request(other)))
  await simulation.advance(50)
  t.deepEqual(first.map(each => each.outcome), ['alone', 'alone', 'alone'])
  const next = await simulation.request(other)
  t.is(next.outcome, 'alone')
  t.is(next.endedAt, simulation.now)
  // The issuer is asked again after a while, because another gateway may have taken over.
  await simulation.advance(1000)
  const later = await simulation.request(other)
  t.is(later.outcome, undefined)
})

test('if the issuer dies, requests that wait there search alone after three other requests timed out', async t => {
  const simulation = new Simulation({ gateways: 2, heads: 1, capacity: 1 })
  const [issuer, other] = simulation.gateways
  await simulation.request(other)
  await simulation.advance(5)
  const waiting = await simulation.request(other, { until: simulation.now + 2000, aloneUntil: simulation.now + 2000 })
  await simulation.advance(5)
  issuer.isDead = true
  for (let count = 0; count < 3; count++) await simulation.request(other)
  await simulation.advance(45)
  t.is(waiting.outcome, undefined)
  await simulation.advance(10)
  t.is(waiting.outcome, 'alone')
})

test('a request with a short objective waits a quarter of it for the issuer\'s reply', async t => {
  const simulation = new Simulation({ gateways: 2, heads: 1, capacity: 1 })
  const [issuer, other] = simulation.gateways
  issuer.isDead = true
  const request = await simulation.request(other, { objective: 100 })
  await simulation.advance(25)
  t.is(request.outcome, 'alone')
})

test('a place request that is lost is sent again', async t => {
  const simulation = new Simulation({ gateways: 2, heads: 1, capacity: 1, network: { loss: 1, duplication: 0, delay: 1 } })
  const request = await simulation.request(simulation.gateways[1])
  simulation.network = { loss: 0, duplication: 0, delay: 1 }
  await simulation.advance(30)
  t.is(request.outcome, 'served')
})

test('if the issuer is paused, requests search alone; its late grant is not used, and the place is free with the next heartbeat', async t => {
  const simulation = new Simulation({ gateways: 2, heads: 1, capacity: 1 })
  const [issuer, other] = simulation.gateways
  issuer.pausedUntil = 300
  const request = await simulation.request(other)
  await simulation.advance(60)
  t.is(request.outcome, 'alone')
  await simulation.advance(1000)
  t.is(simulation.load('h0'), 0)
  const next = await simulation.request(other)
  await simulation.advance(5)
  t.is(next.outcome, 'served')
})

test('a caller that leaves takes no place: a grant on its way is returned or shown by the next heartbeat', async t => {
  const simulation = new Simulation({ gateways: 2, heads: 1, capacity: 1 })
  const [issuer, other] = simulation.gateways
  const leaving = await simulation.request(other)
  other.placeClient.release(leaving.claim)
  leaving.outcome = 'refused'
  await simulation.advance(300)
  const next = await simulation.request(issuer)
  await simulation.advance(2)
  t.is(next.outcome, 'served')
})

test('two issuers at once exceed a head\'s capacity by no more than both grant between two heartbeats, and not for longer', async t => {
  const simulation = new Simulation({ gateways: 4, heads: 2, capacity: 4 })
  const [, second, third] = simulation.gateways
  third.owner = 'g1'
  second.owner = 'g1'
  const requests = await Promise.all(Array.from({ length: 20 }, async (_each, index) => await simulation.request(simulation.gateways[index % 4])))
  await simulation.advance(300)
  t.true(simulation.maxExcess <= 4, `${simulation.maxExcess} requests beyond the capacity`)
  for (const each of requests) simulation.end(each)
  for (const each of simulation.gateways) each.owner = 'g1'
  await simulation.advance(500)
  simulation.maxExcess = 0
  await Promise.all(Array.from({ length: 20 }, async (_each, index) => await simulation.request(simulation.gateways[index % 4])))
  await simulation.advance(400)
  t.is(simulation.maxExcess, 0)
})

test('an issuer that takes over from a dead one counts the requests in flight from the heartbeats, and overloads no head', async t => {
  const simulation = new Simulation({ gateways: 3, heads: 1, capacity: 2 })
  const [issuer, second, third] = simulation.gateways
  for (const each of [second, third]) await simulation.request(each)
  await simulation.advance(300)
  issuer.isDead = true
  second.owner = third.owner = 'g1'
  const more = await simulation.request(third)
  await simulation.advance(100)
  t.is(more.outcome, undefined)
  t.is(simulation.maxExcess, 0)
})

test('in a fleet that doubles, requests wait at the old and the new issuer; a head has at most one request too many until the next heartbeat', async t => {
  const simulation = new Simulation({ gateways: 6, heads: 1, capacity: 1 })
  for (const each of simulation.gateways.slice(3)) each.isDead = true
  const running = await simulation.request(simulation.gateways[1])
  await simulation.advance(260)
  const before = await simulation.request(simulation.gateways[2])
  for (const each of simulation.gateways) {
    each.isDead = false
    each.owner = 'g4'
  }
  const after = await simulation.request(simulation.gateways[1])
  await simulation.advance(100)
  simulation.end(running)
  await simulation.advance(300)
  t.true([before, after].some(each => each.outcome === 'served'))
  t.true(simulation.maxExcess <= 1, `${simulation.maxExcess} requests beyond the capacity`)
})
