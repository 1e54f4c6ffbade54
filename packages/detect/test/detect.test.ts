/** Silence of upstreams, suspected heads, and pauses of this process itself. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Log } from '@eiderwind/log'
import { Roster, type Upstream } from '@eiderwind/roster'
import { InFlight, Pauses, Stalls, Suspects } from '../src/index.js'

test('the silence of an upstream counts from its last byte or, if later, from its oldest request in flight', t => {
  const clock = new ManualClock()
  const flights = new InFlight(clock, () => {})
  const flight = flights.begin('a', 'm')
  clock.advance(300)
  t.deepEqual(flights.silentUpstreams(() => 400), [])
  flights.received(flight)
  clock.advance(390)
  t.deepEqual(flights.silentUpstreams(() => 400), [])
  clock.advance(20)
  t.deepEqual(flights.silentUpstreams(() => 400), ['a'])
  flights.end(flight)
  t.deepEqual(flights.silentUpstreams(() => 400), [])
  clock.advance(5000)
  flights.begin('a', 'm')
  t.deepEqual(flights.silentUpstreams(() => 400), [])
})

test('a suspected head may be tried with one request per interval, and is trusted again once it sends anything or forms another replica', t => {
  const clock = new ManualClock()
  const roster = new Roster(clock)
  const head = (replica: string): Upstream => ({
    id: 'a', service: 's', address: 'a:1', dataCentre: 'dc', leaving: false, loaded: [], staged: [], membership: { replica, epoch: 1, rank: 0, state: 'open' }
  })
  roster.replace([head('r')])
  const suspects = new Suspects(clock, roster)
  t.true(suspects.add('a'))
  t.false(suspects.add('a'))
  t.false(suspects.mayTry('a'))
  clock.advance(2500)
  t.true(suspects.mayTry('a'))
  suspects.recordTry('a')
  t.false(suspects.mayTry('a'))
  suspects.received('a')
  t.true(suspects.mayTry('a'))
  suspects.add('a')
  roster.replace([head('s')])
  t.false(suspects.has('a'))
})

test('after a pause of this process no head is suspected until data that arrived meanwhile has been read', t => {
  const clock = new ManualClock()
  const roster = new Roster(clock)
  roster.replace([{
    id: 'a', service: 's', address: 'a:1', dataCentre: 'dc', leaving: false, loaded: [], staged: [], membership: { replica: 'r', epoch: 1, rank: 0, state: 'open' }
  }])
  const suspects = new Suspects(clock, roster)
  const flights = new InFlight(clock, () => {})
  const pauses = new Pauses(clock)
  const stalls = new Stalls({ clock, log: new Log({ sink: () => {} }), roster, inFlight: flights, suspects, maxSilence: 400, peerViews: () => [], pauses, suspected: () => {} })
  pauses.start()
  stalls.start()
  const flight = flights.begin('a', 'm')
  clock.advance(100)
  clock.freeze(3000)
  clock.advance(200)
  t.false(suspects.has('a'))
  flights.received(flight)
  clock.advance(350)
  t.false(suspects.has('a'))
  clock.advance(500)
  t.true(suspects.has('a'))
})

/** A head `a` of an open replica whose streams are watched. */
function watchedHead (): { clock: ManualClock, suspects: Suspects, flights: InFlight, stalls: Stalls } {
  const clock = new ManualClock()
  const roster = new Roster(clock)
  roster.replace([{
    id: 'a', service: 's', address: 'a:1', dataCentre: 'dc', leaving: false, loaded: [], staged: [], membership: { replica: 'r', epoch: 1, rank: 0, state: 'open' }
  }])
  const suspects = new Suspects(clock, roster)
  const flights = new InFlight(clock, () => {})
  const stalls = new Stalls({ clock, log: new Log({ sink: () => {} }), roster, inFlight: flights, suspects, maxSilence: 400, peerViews: () => [], pauses: new Pauses(clock), suspected: () => {} })
  stalls.start()
  return { clock, suspects, flights, stalls }
}

test('a single stream that stays silent while its head serves others may move, and the head stays trusted', t => {
  const { clock, suspects, flights, stalls } = watchedHead()
  let stalled = 0
  const silent = flights.begin('a', 'm', { stalled: () => { stalled++ } })
  const other = flights.begin('a', 'm', { stalled: () => t.fail() })
  for (let time = 0; time < 1150; time += 50) {
    clock.advance(50)
    flights.received(other)
  }
  t.is(stalled, 0)
  for (let time = 0; time < 200; time += 50) {
    clock.advance(50)
    flights.received(other)
  }
  t.true(stalled > 0)
  t.false(suspects.has('a'))
  flights.end(silent)
  flights.end(other)
  stalls.stop()
})

test('a stream that is not read because its caller does not read raises no suspicion, and its silence counts from when it is read again', t => {
  const { clock, suspects, flights, stalls } = watchedHead()
  let stalled = 0
  const slow = flights.begin('a', 'm', { stalled: () => { stalled++ } })
  flights.received(slow)
  flights.pause(slow)
  clock.advance(5000)
  t.is(stalled, 0)
  t.false(suspects.has('a'))
  flights.resume(slow)
  clock.advance(300)
  t.false(suspects.has('a'))
  clock.advance(1500)
  t.true(suspects.has('a'))
  t.true(stalled > 0)
  stalls.stop()
})

test('while one stream is not read, the silence of its upstream counts from the other streams', t => {
  const clock = new ManualClock()
  const flights = new InFlight(clock, () => {})
  flights.pause(flights.begin('a', 'm'))
  clock.advance(1000)
  flights.begin('a', 'm')
  clock.advance(400)
  t.deepEqual(flights.silentUpstreams(() => 500), [])
  clock.advance(200)
  t.deepEqual(flights.silentUpstreams(() => 500), ['a'])
})
