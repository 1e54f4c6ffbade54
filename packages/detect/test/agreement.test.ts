/**
 * Guards against false suspicions in large fleets. 35 gateways share a head of 20 requests, so that each has one or two
 * streams there, and a single slow first event looks like a stall. In a fleet of five each gateway has several.
 */
import test from 'ava'
import { ManualClock, seeded } from '@eiderwind/clock'
import { Log } from '@eiderwind/log'
import { Roster } from '@eiderwind/roster'
import { majoritySuspects, InFlight, isMajoritySuspect, Pauses, Stalls, Suspects, type InFlightRequest, type GatewayView } from '../src/index.js'

const maxSilence = 400

/** Time until the other gateways receive a suspicion, in ms. */
const heartbeatDelay = 10

interface TestGateway {
  readonly flights: InFlight
  readonly suspects: Suspects
  readonly moved: Set<InFlightRequest>
}

/** Gateways in front of one head, with a clock and the views that they have exchanged. */
class TestGateways {
  readonly clock = new ManualClock()
  readonly all: TestGateway[] = []
  #views: GatewayView[] = []

  constructor (size: number) {
    const roster = new Roster(this.clock)
    roster.replace([{ id: 'head', service: 's', address: 'h:1', dataCentre: 'dc', leaving: false, loaded: ['m'], staged: [], membership: { replica: 'r', epoch: 1, rank: 0, state: 'open' } }])
    for (let index = 0; index < size; index++) {
      const flights = new InFlight(this.clock, () => {})
      const suspects = new Suspects(this.clock, roster)
      const peerViews = (): GatewayView[] => this.#views.filter((_each, other) => other !== index)
      new Stalls({ clock: this.clock, log: new Log({ sink: () => {} }), roster, inFlight: flights, suspects, maxSilence, peerViews, pauses: new Pauses(this.clock), suspected: () => { this.clock.after(heartbeatDelay, () => this.exchangeViews()) } }).start()
      this.all.push({ flights, suspects, moved: new Set() })
    }
    this.clock.every(250, () => this.exchangeViews())
  }

  exchangeViews (): void {
    this.#views = this.all.map(({ flights, suspects }) => ({ inFlight: flights.counts, suspects: suspects.all }))
  }

  send ({ flights, moved }: TestGateway): InFlightRequest {
    const request: InFlightRequest = flights.begin('head', 'm', { stalled: () => moved.add(request) })
    return request
  }

  get hasMajority (): boolean {
    this.exchangeViews()
    return majoritySuspects(this.#views).has('head')
  }
}

for (const size of [5, 35]) {
  test(`after a head dies, all ${size} gateways move their streams within half a second, and a majority suspects it`, t => {
    const gateways = new TestGateways(size)
    const { clock } = gateways
    const requests = gateways.all.flatMap(each => [gateways.send(each), gateways.send(each)].map(request => ({ each, request })))
    for (let time = 0; time < 1000; time += 50) {
      clock.advance(50)
      for (const { each, request } of requests) each.flights.received(request)
    }
    // The last requests before the death were sent a moment ago and have received nothing.
    const late = gateways.all.slice(0, Math.ceil(size / 4)).map(each => ({ each, request: gateways.send(each) }))
    clock.advance(maxSilence + 110)
    t.true(gateways.hasMajority)
    for (const { each, request } of requests) t.true(each.moved.has(request))
    for (const { each, request } of late) t.true(each.moved.has(request))
  })
}

test('a head that is slow to begin for one of 35 gateways and serves the others is suspected neither by that gateway nor by a majority', t => {
  const gateways = new TestGateways(35)
  const { clock } = gateways
  const random = seeded(8)
  const [slow, ...served] = gateways.all
  const waiting = gateways.send(slow)
  const requests = served.map(each => ({ each, request: gateways.send(each) }))
  for (let time = 0; time < 900; time += 50) {
    clock.advance(50)
    for (const { each, request } of requests) if (random() < 0.5) each.flights.received(request)
    t.false(gateways.hasMajority)
  }
  t.false(slow.suspects.has('head'))
  t.false(slow.moved.has(waiting))
})

test('a stream whose own connection is silent moves within 1.2 s although the head serves all other gateways', t => {
  const gateways = new TestGateways(35)
  const { clock } = gateways
  const [cut, ...served] = gateways.all
  const silent = gateways.send(cut)
  const requests = served.map(each => ({ each, request: gateways.send(each) }))
  for (let time = 0; time < 1200; time += 50) {
    clock.advance(50)
    for (const { each, request } of requests) each.flights.received(request)
  }
  t.true(cut.moved.has(silent))
  t.false(gateways.hasMajority)
})

test('an upstream is suspect if a majority of the concerned gateways suspects it; gateways without requests there do not count', t => {
  const trusting: GatewayView = { inFlight: { a: 1 }, suspects: [] }
  const suspecting: GatewayView = { inFlight: { a: 1 }, suspects: ['a'] }
  const moved: GatewayView = { inFlight: {}, suspects: ['a'] }
  const idle: GatewayView = { inFlight: {}, suspects: [] }
  t.false(isMajoritySuspect('a', []))
  t.false(isMajoritySuspect('a', [idle, idle]))
  t.true(isMajoritySuspect('a', [suspecting]))
  t.true(isMajoritySuspect('a', [moved, idle, idle, idle]))
  t.false(isMajoritySuspect('a', [suspecting, trusting]))
  t.true(isMajoritySuspect('a', [suspecting, moved, trusting]))
  t.deepEqual([...majoritySuspects([suspecting, moved, trusting, { inFlight: { b: 2 }, suspects: ['c'] }])], ['a', 'c'])
})
