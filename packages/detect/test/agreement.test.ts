/**
 * What many gateways make of the silence of one head together, each by its own streams. The load is that of a large fleet: 35 gateways share
 * a head of 20 requests, so that each has one or two there; the fleet of five has several each.
 */
import test from 'ava'
import { ManualClock, seeded } from '@eiderwind/clock'
import { Log } from '@eiderwind/log'
import { Roster } from '@eiderwind/roster'
import { agreedSuspects, InFlight, isAgreed, Pauses, Stalls, Suspects, type InFlightRequest, type Witness } from '../src/index.js'

const silence = 400

/** Time until a suspicion is heard by the others, in ms. */
const heartbeatDelay = 10

interface Observer {
  readonly flights: InFlight
  readonly suspects: Suspects
  readonly moved: Set<InFlightRequest>
}

/** Gateways before one head, with a clock and what each hears of the others. */
class Observers {
  readonly clock = new ManualClock()
  readonly all: Observer[] = []
  #heard: Witness[] = []

  constructor (size: number) {
    const roster = new Roster(this.clock)
    roster.replace([{ id: 'head', service: 's', address: 'h:1', dataCentre: 'dc', leaving: false, loaded: ['m'], staged: [], membership: { replica: 'r', epoch: 1, rank: 0, state: 'open' } }])
    for (let index = 0; index < size; index++) {
      const flights = new InFlight(this.clock, () => {})
      const suspects = new Suspects(this.clock, roster)
      const witnesses = (): Witness[] => this.#heard.filter((_each, other) => other !== index)
      new Stalls({ clock: this.clock, log: new Log({ sink: () => {} }), roster, inFlight: flights, suspects, silence, witnesses, pauses: new Pauses(this.clock), suspected: () => { this.clock.after(heartbeatDelay, () => this.tell()) } }).start()
      this.all.push({ flights, suspects, moved: new Set() })
    }
    this.clock.every(250, () => this.tell())
  }

  tell (): void {
    this.#heard = this.all.map(({ flights, suspects }) => ({ inFlight: flights.counts, suspects: suspects.all }))
  }

  send ({ flights, moved }: Observer): InFlightRequest {
    const request: InFlightRequest = flights.begin('head', 'm', { stalled: () => moved.add(request) })
    return request
  }

  get agreed (): boolean {
    this.tell()
    return agreedSuspects(this.#heard).has('head')
  }
}

for (const size of [5, 35]) {
  test(`when a head dies, all ${size} gateways move their streams within half a second, and the planner knows it`, t => {
    const observers = new Observers(size)
    const { clock } = observers
    const requests = observers.all.flatMap(each => [observers.send(each), observers.send(each)].map(request => ({ each, request })))
    for (let time = 0; time < 1000; time += 50) {
      clock.advance(50)
      for (const { each, request } of requests) each.flights.received(request)
    }
    // The last requests before the death were sent a moment ago and have got nothing.
    const late = observers.all.slice(0, Math.ceil(size / 4)).map(each => ({ each, request: observers.send(each) }))
    clock.advance(silence + 110)
    t.true(observers.agreed)
    for (const { each, request } of requests) t.true(each.moved.has(request))
    for (const { each, request } of late) t.true(each.moved.has(request))
  })
}

test('a head that is slow to begin for single gateways of 35, and serves the others, is suspected by nobody and probed by no planner', t => {
  const observers = new Observers(35)
  const { clock } = observers
  const random = seeded(8)
  const [slow, ...served] = observers.all
  const waiting = observers.send(slow)
  const requests = served.map(each => ({ each, request: observers.send(each) }))
  for (let time = 0; time < 900; time += 50) {
    clock.advance(50)
    for (const { each, request } of requests) if (random() < 0.5) each.flights.received(request)
    t.false(observers.agreed)
  }
  t.false(slow.suspects.has('head'))
  t.false(slow.moved.has(waiting))
})

test('a stream whose own connection is silent moves within 1.2 s although the head serves all other gateways', t => {
  const observers = new Observers(35)
  const { clock } = observers
  const [cut, ...served] = observers.all
  const silent = observers.send(cut)
  const requests = served.map(each => ({ each, request: observers.send(each) }))
  for (let time = 0; time < 1200; time += 50) {
    clock.advance(50)
    for (const { each, request } of requests) each.flights.received(request)
  }
  t.true(cut.moved.has(silent))
  t.false(observers.agreed)
})

test('most of the gateways concerned have to suspect an upstream; those without requests there have no say', t => {
  const trusting: Witness = { inFlight: { a: 1 }, suspects: [] }
  const suspecting: Witness = { inFlight: { a: 1 }, suspects: ['a'] }
  const moved: Witness = { inFlight: {}, suspects: ['a'] }
  const idle: Witness = { inFlight: {}, suspects: [] }
  t.false(isAgreed('a', []))
  t.false(isAgreed('a', [idle, idle]))
  t.true(isAgreed('a', [suspecting]))
  t.true(isAgreed('a', [moved, idle, idle, idle]))
  t.false(isAgreed('a', [suspecting, trusting]))
  t.true(isAgreed('a', [suspecting, moved, trusting]))
  t.deepEqual([...agreedSuspects([suspecting, moved, trusting, { inFlight: { b: 2 }, suspects: ['c'] }])], ['a', 'c'])
})
