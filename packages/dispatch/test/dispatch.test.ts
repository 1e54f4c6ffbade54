/** The choice of an upstream, the queue for one, and the retry budget. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Rests, Suspects } from '@eiderwind/detect'
import { Peers } from '@eiderwind/peers'
import { Roster } from '@eiderwind/roster'
import { Choice, Intake, Queue, RetryBudget } from '../src/index.js'

function budget (clock: ManualClock): RetryBudget {
  return new RetryBudget(clock, { ratio: 0.2, window: 10_000, slack: 40, gateways: () => 4 })
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
  const waiting = new Queue(clock)
  const free: string[] = []
  const find = (): string | undefined => free.shift()
  const order: string[] = []
  const wait = async (name: string, priority: number, time: number): Promise<void> => {
    const found = await waiting.wait({ room: 's', offered: false, priority, team: '', work: 1, arrivedAt: clock.now(), inTimeUntil: Infinity, until: clock.now() + time }, find)
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

test('a replica is sent as many requests as it has slots, and a tenth more that wait there', t => {
  const clock = new ManualClock()
  const roster = new Roster(clock)
  roster.replace([{
    id: 'a', service: 's', address: 'a:1', dataCentre: 'dc', leaving: false, loaded: ['m'], staged: [], membership: { replica: 'r', epoch: 1, rank: 0, state: 'open' }
  }])
  const flights = new InFlight(clock, () => {})
  const heartbeat = { id: 'e', revision: 0, canPlan: false, inFlight: {}, suspects: [], offeredByModel: {}, served: false, loads: {} }
  const peers = new Peers({ clock, id: 'e', address: '127.0.0.1:1', heartbeat: () => heartbeat, interval: 250, timeout: 1000 })
  const choice = new Choice({ roster, inFlight: flights, peers, suspects: new Suspects(clock, roster), intake: new Intake({ clock, rests: new Rests({ clock, begun: () => {}, ended: () => {} }) }), dataCentre: 'dc', random: Math.random })
  const engine = { slots: 20, models: [], step: 8, stepPerRequest: 0.1, readRate: 45_000, prompt: 900, answer: 130, loadRate: 3, loadsAtOnce: 6, formTime: 300 }
  for (let count = 0; count < 22; count++) {
    t.is(choice.head('s', 'm', engine, new Set())?.id, 'a', String(count))
    flights.begin('a', 'm')
  }
  t.is(choice.head('s', 'm', engine, new Set()), undefined)
})

test('a place that is kept for a request about to be sent is not chosen for another one, until it is free again', t => {
  const clock = new ManualClock()
  const flights = new InFlight(clock, () => {})
  const frees = [flights.keep('a'), flights.keep('a')]
  flights.begin('a', 'm')
  t.is(flights.count('a'), 3)
  t.is(flights.total, 1)
  t.deepEqual(flights.counts, { a: 1 })
  for (const free of [frees[0], frees[0], frees[1]]) free()
  t.is(flights.count('a'), 1)
  t.is(flights.count('b'), 0)
})
