/** The parts of a direct entry, each on its own. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Roster, type Upstream } from '@eiderwind/roster'
import { Log } from '@eiderwind/log'
import { Peers } from '@eiderwind/peers'
import { Choice, EventSplitter, Flights, Pauses, Repeats, Stalls, Suspects, Waiting } from '../src/index.js'

test('a stream is cut into whole events, whatever pieces it comes in', t => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 31\ndata: c\n\n'
  for (let size = 1; size <= text.length; size++) {
    const splitter = new EventSplitter()
    const events = []
    for (let at = 0; at < text.length; at += size) events.push(...splitter.push(Buffer.from(text.slice(at, at + size))))
    t.deepEqual(events.map(each => each.id), [1, 2, undefined, 31], `pieces of ${size}`)
    t.is(Buffer.concat(events.map(each => each.bytes)).toString(), text)
    t.true(splitter.clean)
  }
})

test('an event without its end is not passed on', t => {
  const splitter = new EventSplitter()
  t.is(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata:')).length, 1)
  t.false(splitter.clean)
})

function budget (clock: ManualClock): Repeats {
  return new Repeats(clock, { ratio: 0.2, window: 10_000, slack: 40, entries: () => 4 })
}

test('repeats are a share of the requests of the window, and an entry\'s part of the slack', t => {
  const clock = new ManualClock()
  const repeats = budget(clock)
  let taken = 0
  while (repeats.take()) taken++
  t.is(taken, 7)
  for (let index = 0; index < 100; index++) repeats.request()
  while (repeats.take()) taken++
  t.is(taken, 22)
  clock.advance(5000)
  t.false(repeats.take())
  clock.advance(7000)
  t.true(repeats.take())
})

test('in every window of the rule the repeats of four entries stay within ratio and slack', t => {
  const clock = new ManualClock()
  const entries = Array.from({ length: 4 }, () => budget(clock))
  const requests: number[] = []
  const taken: number[] = []
  for (let step = 0; step < 600; step++) {
    clock.advance(100)
    const rate = step % 200 < 100 ? 6 : 0
    for (const entry of entries) {
      for (let index = 0; index < rate; index++) {
        entry.request()
        requests.push(clock.now())
      }
      while (entry.take()) taken.push(clock.now())
    }
    const since = clock.now() - 10_000
    const asked = (from: number): number => requests.filter(at => at > from && at <= from + 10_000).length
    const allowed = 0.2 * Math.max(asked(since), asked(since - 5000), asked(since - 10_000)) + 40
    t.true(taken.filter(at => at > since).length <= allowed)
  }
})

test('whoever waits is served by priority, then by age, and leaves when the time is over', async t => {
  const clock = new ManualClock()
  const waiting = new Waiting(clock)
  const free: string[] = []
  const find = (): string | undefined => free.shift()
  const order: string[] = []
  const wait = async (name: string, priority: number, time: number): Promise<void> => {
    const found = await waiting.wait(priority, time, find)
    order.push(`${name} ${found ?? 'nothing'}`)
  }
  const all = [wait('late', 2, 1000), wait('first', 1, 1000), wait('second', 1, 1000), wait('brief', 0, 10)]
  clock.advance(20)
  free.push('x', 'y')
  waiting.wake()
  clock.advance(1000)
  await Promise.all(all)
  t.deepEqual(order, ['brief nothing', 'first x', 'second y', 'late nothing'])
})

test('an upstream is quiet when nothing came from it since its oldest request was sent', t => {
  const clock = new ManualClock()
  const flights = new Flights(clock, () => {})
  const flight = flights.begin('a', 'm')
  clock.advance(300)
  t.deepEqual(flights.quiet(() => 400), [])
  flights.heard(flight)
  clock.advance(390)
  t.deepEqual(flights.quiet(() => 400), [])
  clock.advance(20)
  t.deepEqual(flights.quiet(() => 400), ['a'])
  flights.end(flight)
  t.deepEqual(flights.quiet(() => 400), [])
  clock.advance(5000)
  flights.begin('a', 'm')
  t.deepEqual(flights.quiet(() => 400), [])
})

test('a replica is sent as many requests as it has slots, and a tenth more that wait there', t => {
  const clock = new ManualClock()
  const roster = new Roster(clock)
  roster.replace([{
    id: 'a', service: 's', address: 'a:1', dataCentre: 'dc', leaving: false, loaded: ['m'], staged: [], membership: { replica: 'r', epoch: 1, rank: 0, state: 'open' }
  }])
  const flights = new Flights(clock, () => {})
  const beat = { id: 'e', revision: 0, able: false, loads: {}, suspects: [], models: {}, served: false }
  const peers = new Peers({ clock, id: 'e', address: '127.0.0.1:1', beat: () => beat, interval: 250, patience: 1000 })
  const choice = new Choice({ clock, roster, flights, peers, suspects: new Suspects(clock, roster), dataCentre: 'dc', random: Math.random })
  const engine = { slots: 20, models: [], step: 8, stepPerRequest: 0.1, readRate: 45_000, prompt: 900, answer: 130, loadRate: 3, loadsAtOnce: 6, formTime: 300 }
  for (let count = 0; count < 22; count++) {
    t.is(choice.head('s', 'm', engine, new Set())?.id, 'a', String(count))
    flights.begin('a', 'm')
  }
  t.is(choice.head('s', 'm', engine, new Set()), undefined)
})

test('a suspected head is tried with one request now and then, and trusted again once it is heard or forms another replica', t => {
  const clock = new ManualClock()
  const roster = new Roster(clock)
  const head = (replica: string): Upstream => ({
    id: 'a', service: 's', address: 'a:1', dataCentre: 'dc', leaving: false, loaded: [], staged: [], membership: { replica, epoch: 1, rank: 0, state: 'open' }
  })
  roster.replace([head('r')])
  const suspects = new Suspects(clock, roster)
  t.true(suspects.add('a'))
  t.false(suspects.add('a'))
  t.false(suspects.passes('a'))
  clock.advance(2500)
  t.true(suspects.passes('a'))
  suspects.sent('a')
  t.false(suspects.passes('a'))
  suspects.heard('a')
  t.true(suspects.passes('a'))
  suspects.add('a')
  roster.replace([head('s')])
  t.false(suspects.has('a'))
})

test('a process that stood still itself suspects nobody until it has read what came meanwhile', t => {
  const clock = new ManualClock()
  const roster = new Roster(clock)
  roster.replace([{
    id: 'a', service: 's', address: 'a:1', dataCentre: 'dc', leaving: false, loaded: [], staged: [], membership: { replica: 'r', epoch: 1, rank: 0, state: 'open' }
  }])
  const suspects = new Suspects(clock, roster)
  const flights = new Flights(clock, () => {})
  const pauses = new Pauses(clock)
  const stalls = new Stalls({ clock, log: new Log({ sink: () => {} }), roster, flights, suspects, silence: 400, pauses, suspected: () => {} })
  pauses.start()
  stalls.start()
  const flight = flights.begin('a', 'm')
  clock.advance(100)
  clock.freeze(3000)
  clock.advance(200)
  t.false(suspects.has('a'))
  flights.heard(flight)
  clock.advance(350)
  t.false(suspects.has('a'))
  clock.advance(500)
  t.true(suspects.has('a'))
})
