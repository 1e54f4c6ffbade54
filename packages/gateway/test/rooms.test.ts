/** What gateways tell each other of room at heads, and what follows from it. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Rests, Suspects, type InFlightRequest } from '@eiderwind/detect'
import { Choice, Intake, Queue } from '@eiderwind/dispatch'
import { ranked } from '@eiderwind/hash'
import { type Log } from '@eiderwind/log'
import { type Heartbeat, type Peers } from '@eiderwind/peers'
import { encodeMessage, roomOf, type Wish } from '@eiderwind/places'
import { Roster, type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { Rooms } from '../src/rooms.js'

const engine: Engine = { slots: 2, models: [], step: 8, stepPerRequest: 0.1, readRate: 45_000, prompt: 900, answer: 130, loadRate: 3, loadsAtOnce: 6, formTime: 300 }
const room = roomOf('s', 'm')
const issuer = ranked(room.key, ['g1', 'g2'])[0]
const other = issuer === 'g1' ? 'g2' : 'g1'

function head (id: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: ['m'], staged: [], membership: { replica: `r-${id}`, epoch: 1, rank: 0, state: 'open' } }
}

/** One gateway of two. */
class Fixture {
  readonly clock = new ManualClock()
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
    const intake = new Intake({ clock, rests })
    const choice = new Choice({ roster, inFlight, peers, suspects: new Suspects(clock, roster), intake, dataCentre: 'dc', random: () => 0 })
    const log = { write: (name: string, { contended, issuer }: Record<string, unknown>) => this.lines.push(`${name} ${String(contended)} ${String(issuer)}`) } as unknown as Log
    this.rooms = new Rooms({ clock, log, id, dataCentre: 'dc', roster, peers, inFlight, rests, queue: new Queue(clock), choice, intake, engine: service => service === 's' ? engine : undefined, random: () => 0 })
  }

  /** The heartbeat of the other gateway. */
  hear (heartbeat: Partial<Heartbeat> = {}): void {
    this.rooms.hear({ id: this.#peer, revision: 1, canPlan: false, inFlight: {}, suspects: [], offeredByModel: {}, served: true, loads: {}, ...heartbeat }, { id: this.#peer, address: `${this.#peer}:1` })
  }

  begin (): InFlightRequest {
    return this.inFlight.begin('a', 'm')
  }

  wish (): Wish {
    const now = this.clock.now()
    return { room, priority: 1, team: '', work: 1, arrivedAt: now, inTimeUntil: now + 400, until: now + 400, aloneUntil: now + 110, objective: 500, besides: () => [] }
  }

  /** What was posted since the last look. */
  get sent (): string[] {
    return this.posted.splice(0)
  }
}

test('where heads have room nothing is asked or told', t => {
  const { rooms, sent, ...fixture } = new Fixture(other)
  const request = new Fixture(other)
  request.inFlight.end(request.begin())
  t.is(rooms.asker.find(rooms.asker.claim(request.wish())).kind, 'alone')
  t.deepEqual([...sent, ...fixture.posted, ...request.sent], [])
  t.deepEqual(rooms.news, { contended: [], grants: {} })
})

test('where the counts of all gateways show heads nearly full, a request asks the issuer, and each that ends is told to it', t => {
  const fixture = new Fixture(other)
  fixture.hear({ inFlight: { a: 1 } })
  const request = fixture.begin()
  const claim = fixture.rooms.asker.claim(fixture.wish())
  t.is(fixture.rooms.asker.find(claim).kind, 'wait')
  const [asked] = fixture.sent
  t.true(asked.startsWith(`${issuer} {"place":"ask","service":"s","model":"m"`), asked)
  fixture.inFlight.end(request)
  t.deepEqual(fixture.sent, [`${issuer} {"place":"count","service":"s","model":"m","upstream":"a","count":0,"seen":0}`])
  t.deepEqual(fixture.lines, [`room-contended true ${issuer}`])
  fixture.hear()
  fixture.rooms.start()
  fixture.clock.advance(1500)
  t.deepEqual(fixture.lines, [`room-contended true ${issuer}`, `room-contended false ${issuer}`])
  fixture.rooms.stop()
})

test('a refusal of a head makes its room contended here, and by the next heartbeat elsewhere; the head is left out only for a time of its own', t => {
  const fixture = new Fixture(other)
  fixture.rooms.answered(head('a'), { status: 503, headers: {}, refused: true, sentAt: 0 })
  t.deepEqual(fixture.sent, [`${issuer} {"place":"count","service":"s","model":"m","upstream":"a","count":0,"seen":0}`])
  t.deepEqual(fixture.rooms.news.contended, [room.key])
  fixture.rests.ask('a', 700)
  fixture.rooms.answered(head('a'), { status: 503, headers: {}, refused: true, sentAt: 0 })
  t.true(fixture.sent[0].endsWith('"shut":700}'))
  const second = new Fixture(issuer)
  second.hear({ contended: [room.key] })
  t.true(second.rooms.asker.isContended(room))
})

test('the issuer answers the gateway that asks, and no other sender', t => {
  const fixture = new Fixture(issuer)
  const ask = Buffer.from(encodeMessage({ place: 'ask', service: 's', model: 'm', number: 5, priority: 1, team: '', work: 1, age: 0, timely: 400, patience: 400, besides: [], near: 'dc' }))
  t.true(fixture.rooms.receive(ask, `${other}:1`))
  t.deepEqual(fixture.sent, [])
  fixture.hear()
  t.true(fixture.rooms.receive(ask, `${other}:1`))
  const [answer] = fixture.sent
  t.true(answer.startsWith(`${other} {"place":"grant","number":5,"upstream":"a"`), answer)
  t.false(fixture.rooms.receive(Buffer.from('{"token":"grant","number":5}'), `${other}:1`))
})

test('a gateway tells by heartbeat which grant it got last', async t => {
  const fixture = new Fixture(other)
  fixture.hear({ inFlight: { a: 2 } })
  const claim = fixture.rooms.asker.claim(fixture.wish())
  fixture.rooms.asker.find(claim)
  fixture.rooms.receive(Buffer.from(encodeMessage({ place: 'grant', number: 1, upstream: 'a', order: 77 })), `${issuer}:1`)
  t.deepEqual(fixture.rooms.asker.find(claim), { kind: 'place', upstream: 'a' })
  t.deepEqual(fixture.rooms.news.grants, { [issuer]: 77 })
})

test('what is in a service without engines, or a model without heads, is never contended', t => {
  const { rooms } = new Fixture(other)
  t.false(rooms.asker.isContended(roomOf('plain', '')))
  t.false(rooms.asker.isContended(roomOf('s', 'unknown')))
})
