/** Contended rooms, in-flight counts of the other gateways, the rate of events, and the datagrams. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Contention, InFlightCounts, decodeMessage, encodeMessage, roomOf, type PlaceMessage } from '../src/index.js'
import { Rate } from '../src/rate.js'

const room = roomOf('s', 'm')

test('a room is contended while its heads are nearly full, and for a second after that', t => {
  const clock = new ManualClock()
  let fullness = 0.84
  const changes: boolean[] = []
  const contention = new Contention({ clock, fullness: () => fullness, changed: (_room, contended) => changes.push(contended) })
  t.false(contention.has(room))
  fullness = 0.85
  clock.advance(49)
  t.false(contention.has(room))
  clock.advance(1)
  t.true(contention.has(room))
  fullness = 0
  clock.advance(999)
  t.true(contention.has(room))
  clock.advance(1)
  t.false(contention.has(room))
  t.deepEqual(contention.ownShortages, [])
  contention.forget()
  t.deepEqual(changes, [true, false])
  t.is(contention.count, 0)
})

test('a shortage that one gateway met reaches the others, which do not pass it on', t => {
  const clock = new ManualClock()
  const first = new Contention({ clock, fullness: () => 0 })
  const second = new Contention({ clock, fullness: () => 0 })
  first.recordShortage(room)
  t.deepEqual(first.ownShortages, [room.key])
  second.receive(first.ownShortages)
  t.true(second.has(room))
  t.deepEqual(second.ownShortages, [])
  clock.advance(1000)
  t.false(first.has(room))
  t.deepEqual(first.ownShortages, [])
})

test('a heartbeat replaces the counts of its gateway, and a gateway that ended has none', t => {
  const counts = new InFlightCounts()
  counts.replace('x', { a: 2, b: 1 })
  counts.replace('y', { a: 1 })
  counts.set('x', 'a', 1)
  t.deepEqual([counts.of('a'), counts.of('b')], [2, 1])
  counts.replace('x', { c: 3 })
  t.deepEqual([counts.of('a'), counts.of('b'), counts.of('c')], [1, 0, 3])
  counts.keepOnly(id => id === 'y')
  t.deepEqual([counts.of('a'), counts.of('c')], [1, 0])
})

test('a rate is known after a quarter of a second, and unknown again after three seconds', t => {
  const rate = new Rate()
  t.is(rate.at(0), undefined)
  for (let now = 0; now < 200; now += 10) rate.add(now)
  t.is(rate.at(200), undefined)
  for (let now = 200; now < 2000; now += 10) rate.add(now)
  t.true(Math.abs((rate.at(2000) ?? 0) - 100) < 5, String(rate.at(2000)))
  t.is(rate.at(5000), undefined)
  t.true(rate.isExpired(5000))
})

test('messages are decoded as they were encoded, and other datagrams are rejected', t => {
  const messages: PlaceMessage[] = [
    { place: 'ask', service: 's', model: 'm', number: 1, priority: 0, team: '', work: 1, age: 0, timely: -1, patience: 2, besides: ['a'], near: 'dc' },
    { place: 'ask', service: 's', model: 'm', number: 1, priority: 0, team: '', work: 1, age: 0, timely: -1, patience: 2, review: 1, besides: [], near: 'dc' },
    { place: 'drop', service: 's', model: 'm', number: 1 },
    { place: 'wait', number: 1 },
    { place: 'grant', number: 1, upstream: 'a', order: 7 },
    { place: 'later', number: 1, due: 900 },
    { place: 'count', service: 's', model: 'm', upstream: 'a', count: 2, seen: 7, shut: 100 }
  ]
  for (const message of messages) t.deepEqual(decodeMessage(Buffer.from(encodeMessage(message))), message)
  for (const text of ['', '{"place":', '{"place":"other"}', '{"id":"g1"}', '{"place":"grant","number":-1,"upstream":"a","order":1}']) t.is(decodeMessage(Buffer.from(text)), undefined)
})

test('the bytes of the messages stay: gateways of two builds serve together', t => {
  t.is(encodeMessage({ place: 'ask', service: 's', model: 'm', number: 1, priority: 0, team: 't', work: 1, age: 3, timely: 400, patience: 395, besides: [], near: 'dc' }),
    '{"place":"ask","service":"s","model":"m","number":1,"priority":0,"team":"t","work":1,"age":3,"timely":400,"patience":395,"besides":[],"near":"dc"}')
  t.is(encodeMessage({ place: 'ask', service: 's', model: 'm', number: 1, priority: 0, team: 't', work: 1, age: 3, timely: 400, patience: 395, review: 105, besides: [], near: 'dc' }),
    '{"place":"ask","service":"s","model":"m","number":1,"priority":0,"team":"t","work":1,"age":3,"timely":400,"patience":395,"review":105,"besides":[],"near":"dc"}')
  t.is(encodeMessage({ place: 'drop', service: 's', model: 'm', number: 1 }), '{"place":"drop","service":"s","model":"m","number":1}')
  t.is(encodeMessage({ place: 'wait', number: 1 }), '{"place":"wait","number":1}')
  t.is(encodeMessage({ place: 'grant', number: 1, upstream: 'a', order: 7 }), '{"place":"grant","number":1,"upstream":"a","order":7}')
  t.is(encodeMessage({ place: 'later', number: 1, due: 900 }), '{"place":"later","number":1,"due":900}')
  t.is(encodeMessage({ place: 'count', service: 's', model: 'm', upstream: 'a', count: 2, seen: 7 }), '{"place":"count","service":"s","model":"m","upstream":"a","count":2,"seen":7}')
})
