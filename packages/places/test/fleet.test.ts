/** Askers and issuers together, with one failure brought about in each test. */
import test from 'ava'
import { World } from './world.js'

test('requests of all gateways get the places of a head, none more than it has, and the next at once when one ends', async t => {
  const world = new World({ gateways: 3, heads: 1, capacity: 2 })
  const [first, second, third] = world.gateways
  const a = await world.ask(second)
  const b = await world.ask(third)
  await world.advance(5)
  const c = await world.ask(first)
  await world.advance(5)
  t.deepEqual([a, b, c].map(each => each.ending), ['served', 'served', undefined])
  world.end(a)
  await world.advance(3)
  t.is(c.ending, 'served')
  t.is(world.beyond, 0)
})

test('the more urgent go first whatever gateway they came to', async t => {
  const world = new World({ gateways: 3, heads: 1, capacity: 1 })
  const [, second, third] = world.gateways
  const running = await world.ask(second)
  await world.advance(5)
  const late = await world.ask(second, { priority: 3 })
  const urgent = await world.ask(third, { priority: 0 })
  await world.advance(5)
  world.end(running)
  await world.advance(5)
  t.deepEqual([late.ending, urgent.ending], [undefined, 'served'])
})

test('where the issuer is dead, requests look for room alone within 50 ms, and after three of them at once', async t => {
  const world = new World({ gateways: 2, heads: 1, capacity: 1 })
  const [issuer, other] = world.gateways
  issuer.isDead = true
  const first = await Promise.all([1, 2, 3].map(async () => await world.ask(other)))
  await world.advance(50)
  t.deepEqual(first.map(each => each.ending), ['alone', 'alone', 'alone'])
  const next = await world.ask(other)
  t.is(next.ending, 'alone')
  t.is(next.endedAt, world.now)
  // Asked again after a while: another one may have taken over.
  await world.advance(1000)
  const later = await world.ask(other)
  t.is(later.ending, undefined)
})

test('where the issuer dies, those that wait there look alone once it has left three asks unanswered', async t => {
  const world = new World({ gateways: 2, heads: 1, capacity: 1 })
  const [issuer, other] = world.gateways
  await world.ask(other)
  await world.advance(5)
  const waiting = await world.ask(other, { until: world.now + 2000, aloneUntil: world.now + 2000 })
  await world.advance(5)
  issuer.isDead = true
  for (let count = 0; count < 3; count++) await world.ask(other)
  await world.advance(45)
  t.is(waiting.ending, undefined)
  await world.advance(10)
  t.is(waiting.ending, 'alone')
})

test('of a request with a short objective the issuer has a quarter to answer', async t => {
  const world = new World({ gateways: 2, heads: 1, capacity: 1 })
  const [issuer, other] = world.gateways
  issuer.isDead = true
  const request = await world.ask(other, { objective: 100 })
  await world.advance(25)
  t.is(request.ending, 'alone')
})

test('an ask that is lost is sent again', async t => {
  const world = new World({ gateways: 2, heads: 1, capacity: 1, weather: { loss: 1, doubled: 0, delay: 1 } })
  const request = await world.ask(world.gateways[1])
  world.weather = { loss: 0, doubled: 0, delay: 1 }
  await world.advance(30)
  t.is(request.ending, 'served')
})

test('an issuer that stands still is done without; what it grants afterwards is not used, and its place is free with the next heartbeat', async t => {
  const world = new World({ gateways: 2, heads: 1, capacity: 1 })
  const [issuer, other] = world.gateways
  issuer.pausedUntil = 300
  const request = await world.ask(other)
  await world.advance(60)
  t.is(request.ending, 'alone')
  await world.advance(1000)
  t.is(world.load('h0'), 0)
  const next = await world.ask(other)
  await world.advance(5)
  t.is(next.ending, 'served')
})

test('a caller that leaves takes no place: one on its way is told back or shown by the next heartbeat', async t => {
  const world = new World({ gateways: 2, heads: 1, capacity: 1 })
  const [issuer, other] = world.gateways
  const leaving = await world.ask(other)
  other.asker.release(leaving.claim)
  leaving.ending = 'refused'
  await world.advance(300)
  const next = await world.ask(issuer)
  await world.advance(2)
  t.is(next.ending, 'served')
})

test('two issuers at once exceed a head by no more than what both grant between two heartbeats, and not for longer', async t => {
  const world = new World({ gateways: 4, heads: 2, capacity: 4 })
  const [, second, third] = world.gateways
  third.owner = 'g1'
  second.owner = 'g1'
  const asked = await Promise.all(Array.from({ length: 20 }, async (_each, index) => await world.ask(world.gateways[index % 4])))
  await world.advance(300)
  t.true(world.beyond <= 4, `${world.beyond} beyond`)
  for (const each of asked) world.end(each)
  for (const each of world.gateways) each.owner = 'g1'
  await world.advance(500)
  world.beyond = 0
  await Promise.all(Array.from({ length: 20 }, async (_each, index) => await world.ask(world.gateways[index % 4])))
  await world.advance(400)
  t.is(world.beyond, 0)
})

test('another issuer takes over with what the heartbeats show', async t => {
  const world = new World({ gateways: 3, heads: 1, capacity: 2 })
  const [issuer, second, third] = world.gateways
  for (const each of [second, third]) await world.ask(each)
  await world.advance(300)
  issuer.isDead = true
  second.owner = third.owner = 'g1'
  const more = await world.ask(third)
  await world.advance(100)
  t.is(more.ending, undefined)
  t.is(world.beyond, 0)
})

test('in a fleet that doubles, requests wait at the old issuer and at the new one; a head has one too many at most until the next heartbeat', async t => {
  const world = new World({ gateways: 6, heads: 1, capacity: 1 })
  for (const each of world.gateways.slice(3)) each.isDead = true
  const running = await world.ask(world.gateways[1])
  await world.advance(260)
  const before = await world.ask(world.gateways[2])
  for (const each of world.gateways) {
    each.isDead = false
    each.owner = 'g4'
  }
  const after = await world.ask(world.gateways[1])
  await world.advance(100)
  world.end(running)
  await world.advance(300)
  t.true([before, after].some(each => each.ending === 'served'))
  t.true(world.beyond <= 1, `${world.beyond} beyond`)
})
