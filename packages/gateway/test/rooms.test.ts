/** Which messages about room at heads gateways exchange, and the effects of these messages. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Rests, Suspects, type InFlightRequest } from '@eiderwind/detect'
import { Choice, Availability, Queue } from '@eiderwind/dispatch'
import { ranked } from '@eiderwind/hash'
import { type Log } from '@eiderwind/log'
import { type Heartbeat, type Peers } from '@eiderwind/peers'
import { encodeMessage, roomOf, type PlaceRequirements } from '@eiderwind/places'
import { Roster, type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { Rooms } from '../src/rooms.js'

const engine: Engine = { slots: 2, models: [], step: 8, stepPerRequest: 0.1, readRate: 45_000, prompt: 900, answer: 130, loadRate: 3, loadsAtOnce: 6, formTime: 300 }
const room = roomOf('s', 'm')
/** The gateway that issues places for this room. */
const issuer = ranked(room.key, ['g1', 'g2'])[0]
const other = issuer === 'g1' ? 'g2' : 'g1'

function head (id: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: ['m'], staged: [], membership: { replica: `r-${id}`, epoch: 1, rank: 0, state: 'open' } }
}

/** One of two gateways. */
class Fixture {
  readonly clock = new ManualClock()
  /** Datagrams about places that were sent. */
  readonly posted: string[] = []
  readonly lines: string[] = []
  readonly inFlight = new InFlight(this.clock, request => this.rooms.ended(request))
  readonly rests = new Rests({ clock: this.clock, begun: () => {}, ended: () => {} })
  readonly rooms: Rooms
  readonly #peer: string

  constructor (id: string) {
    const { clock, inFlight, rests } = this
    this.#peer = id === issuer ? other : issuer
    const live = [{ id: this.#peer }]
    const roster = new Roster(clock)
    roster.replace([head('a')])
    const peers = { live, post: (to: string, message: string) => { this.posted.push(`${to} ${message}`) } } as unknown as Peers
    const availability = new Availability({ clock, rests })
    const choice = new Choice({ roster, inFlight, peers, suspects: new Suspects(clock, roster), availability, dataCentre: 'dc', random: () => 0 })
    const log = { write: (name: string, { contended, issuer }: Record<string, unknown>) => this.lines.push(`${name} ${String(contended)} ${String(issuer)}`) } as unknown as Log
    this.rooms = new Rooms({ clock, log, id, dataCentre: 'dc', roster, peers, inFlight, rests, queue: new Queue(clock), choice, availability, engine: service => service === 's' ? engine : undefined, random: () => 0 })
  }

  /** Simulates a heartbeat of the other gateway. */
  receiveHeartbeat (heartbeat: Partial<Heartbeat> = {}): void {
    this.rooms.receiveHeartbeat({ id: this.#peer, revision: 1, canPlan: false, inFlight: {}, suspects: [], offeredByModel: {}, served: true, loads: {}, ...heartbeat }, { id: this.#peer, address: `${this.#peer}:1` })
  }

  begin (): InFlightRequest {
    return this.inFlight.begin('a', 'm')
  }

  requirements (): PlaceRequirements {
    const now = this.clock.now()
    return { room, priority: 1, team: '', work: 1, arrivedAt: now, inTimeUntil: now + 400, until: now + 400, aloneUntil: now + 110, objective: 500, excluded: () => [] }
  }

  /** Messages sent since the last access. */
  get newMessages (): string[] {
    return this.posted.splice(0)
  }
}

test('while heads have room, no message about places is sent', t => {
  const { rooms, newMessages, ...fixture } = new Fixture(other)
  const second = new Fixture(other)
  second.inFlight.end(second.begin())
  t.is(rooms.placeClient.find(rooms.placeClient.claim(second.requirements())).kind, 'alone')
  t.deepEqual([...newMessages, ...fixture.posted, ...second.newMessages], [])
  t.deepEqual(rooms.heartbeatFields, { contended: [], grants: {} })
})

test('when the counts of all gateways show almost full heads, a request asks the issuer for a place, and the end of each request is reported to the issuer', t => {
  const fixture = new Fixture(other)
  fixture.receiveHeartbeat({ inFlight: { a: 1 } })
  const request = fixture.begin()
  const claim = fixture.rooms.placeClient.claim(fixture.requirements())
  t.is(fixture.rooms.placeClient.find(claim).kind, 'wait')
  const [message] = fixture.newMessages
  t.true(message.startsWith(`${issuer} {"place":"ask","service":"s","model":"m"`), message)
  fixture.inFlight.end(request)
  t.deepEqual(fixture.newMessages, [`${issuer} {"place":"count","service":"s","model":"m","upstream":"a","count":0,"seen":0}`])
  t.deepEqual(fixture.lines, [`room-contended true ${issuer}`])
  fixture.receiveHeartbeat()
  fixture.rooms.start()
  fixture.clock.advance(1500)
  t.deepEqual(fixture.lines, [`room-contended true ${issuer}`, `room-contended false ${issuer}`])
  fixture.rooms.stop()
})

test('a refusal by a head makes its room contended, also at other gateways after the next heartbeat; the head is excluded only while it rests', t => {
  const fixture = new Fixture(other)
  fixture.rooms.answered(head('a'), { status: 503, headers: {}, refused: true, sentAt: 0 })
  t.deepEqual(fixture.newMessages, [`${issuer} {"place":"count","service":"s","model":"m","upstream":"a","count":0,"seen":0}`])
  t.deepEqual(fixture.rooms.heartbeatFields.contended, [room.key])
  fixture.rests.recordRestRequest('a', 700)
  fixture.rooms.answered(head('a'), { status: 503, headers: {}, refused: true, sentAt: 0 })
  t.true(fixture.newMessages[0].endsWith('"shut":700}'))
  const second = new Fixture(issuer)
  second.receiveHeartbeat({ contended: [room.key] })
  t.true(second.rooms.placeClient.isContended(room))
})

test('the issuer answers a gateway whose heartbeat it has received, and no other sender', t => {
  const fixture = new Fixture(issuer)
  const ask = Buffer.from(encodeMessage({ place: 'ask', service: 's', model: 'm', number: 5, priority: 1, team: '', work: 1, age: 0, timely: 400, patience: 400, besides: [], near: 'dc' }))
  t.true(fixture.rooms.receive(ask, `${other}:1`))
  t.deepEqual(fixture.newMessages, [])
  fixture.receiveHeartbeat()
  t.true(fixture.rooms.receive(ask, `${other}:1`))
  const [answer] = fixture.newMessages
  t.true(answer.startsWith(`${other} {"place":"grant","number":5,"upstream":"a"`), answer)
  t.false(fixture.rooms.receive(Buffer.from('{"token":"grant","number":5}'), `${other}:1`))
})

test('a gateway reports the last grant that it received in its heartbeat', async t => {
  const fixture = new Fixture(other)
  fixture.receiveHeartbeat({ inFlight: { a: 2 } })
  const claim = fixture.rooms.placeClient.claim(fixture.requirements())
  fixture.rooms.placeClient.find(claim)
  fixture.rooms.receive(Buffer.from(encodeMessage({ place: 'grant', number: 1, upstream: 'a', order: 77 })), `${issuer}:1`)
  t.deepEqual(fixture.rooms.placeClient.find(claim), { kind: 'place', upstream: 'a' })
  t.deepEqual(fixture.rooms.heartbeatFields.grants, { [issuer]: 77 })
})

test('room of a service without engines or a model without heads is never contended', t => {
  const { rooms } = new Fixture(other)
  t.false(rooms.placeClient.isContended(roomOf('plain', '')))
  t.false(rooms.placeClient.isContended(roomOf('s', 'unknown')))
})
