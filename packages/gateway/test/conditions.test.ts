/** How a gateway, and the other gateways, react to an upstream's announcements and refusals. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight } from '@eiderwind/detect'
import { Queue } from '@eiderwind/dispatch'
import { type AnswerHead } from '@eiderwind/forward'
import { type Log } from '@eiderwind/log'
import { type Heartbeat } from '@eiderwind/peers'
import { Roster, type Condition, type Upstream } from '@eiderwind/roster'
import { Conditions } from '../src/conditions.js'
import { queuedRequest } from './queuedrequest.js'

const noCondition: Condition = { leaving: false, rest: 0 }

/** Returns the head of a replica. A plain upstream has no membership. */
function upstream (id: string, membership: Upstream['membership'] = { replica: id, epoch: 1, rank: 0, state: 'open' }): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: [], staged: [], membership }
}

function heartbeat (fields: Partial<Heartbeat>): Heartbeat {
  return { id: 'other', revision: 0, canPlan: false, inFlight: {}, suspects: [], offeredByModel: {}, served: false, loads: {}, ...fields }
}

class Fixture {
  readonly clock = new ManualClock()
  readonly roster = new Roster(this.clock)
  readonly inFlight = new InFlight(this.clock, () => {})
  readonly queue = new Queue(this.clock)
  readonly lines: string[] = []
  readonly limits: string[] = []
  readonly cold: string[] = []
  notifications = 0
  restCount = 0
  readonly conditions = new Conditions({
    clock: this.clock,
    log: { write: (name: string, { upstream, rest, from }: Record<string, unknown>) => this.lines.push([name, upstream, rest ?? from].join(' ').trim()) } as unknown as Log,
    roster: this.roster,
    inFlight: this.inFlight,
    queue: this.queue,
    announce: () => { this.notifications++ },
    limited: (id, rate) => { this.limits.push(`${id} ${rate}`) },
    cold: (id, remaining) => { this.cold.push(`${id} ${remaining}`) },
    rested: () => { this.restCount++ }
  })

  constructor () {
    this.roster.replace([upstream('a'), upstream('b')])
  }

  /** Simulates an answer of an upstream to a request that is sent now. */
  answer (id: string, refused: boolean, condition = noCondition, from = upstream(id)): void {
    const head: AnswerHead = { status: refused ? 503 : 200, headers: {}, refused, sentAt: this.clock.now() }
    this.conditions.answered(from, head, condition)
  }
}

test('a rest is logged and counted once, unsent requests to the upstream are withdrawn, and waiting requests search again at its end', async t => {
  const fixture = new Fixture()
  const { clock, conditions, inFlight, lines, queue } = fixture
  let withdrawn = 0
  inFlight.begin('a', '', { withdrawn: () => { withdrawn++ } })
  inFlight.begin('b', '', { withdrawn: () => t.fail() })
  conditions.take('a', { leaving: false, rest: 1000 })
  conditions.take('a', { leaving: false, rest: 1000 })
  t.is(withdrawn, 1)
  t.deepEqual(lines, ['upstream-resting a 1000'])
  t.is(fixture.restCount, 1)
  const found = queue.wait(queuedRequest(clock.now(), clock.now() + 5000), () => conditions.rests.has('a') ? undefined : clock.now())
  clock.advance(1000)
  t.is(await found, 1000)
})

test('an upstream that refuses without a time is left out for increasing times, and no rest is logged', t => {
  const fixture = new Fixture()
  const { clock, conditions: { rests } } = fixture
  const refuse = (): number => {
    clock.advance(1)
    fixture.answer('a', true)
    return rests.remaining('a')
  }
  t.is(refuse(), 0)
  t.is(refuse(), 100)
  clock.advance(100)
  t.is(refuse(), 200)
  clock.advance(200)
  fixture.answer('a', false)
  t.is(refuse(), 0)
  t.is(refuse(), 100)
  t.deepEqual(fixture.lines, [])
})

test('a plain upstream is not left out after refusals without a time, but rests if it asks for it', t => {
  const fixture = new Fixture()
  const { membership: _head, ...plain } = upstream('a')
  for (let count = 0; count < 5; count++) {
    fixture.clock.advance(1)
    fixture.answer('a', true, noCondition, plain)
  }
  t.false(fixture.conditions.rests.has('a'))
  fixture.answer('a', true, { leaving: false, rest: 500 }, plain)
  t.is(fixture.conditions.rests.remaining('a'), 500)
})

test('a refusal with a time does not count as a refusal without one', t => {
  const fixture = new Fixture()
  fixture.answer('a', true, { leaving: false, rest: 50 })
  t.is(fixture.conditions.rests.remaining('a'), 50)
  t.is(fixture.restCount, 1)
})

test('a successful answer to an earlier request does not end a rest', t => {
  const fixture = new Fixture()
  fixture.answer('a', true, { leaving: false, rest: 500 })
  fixture.answer('a', false)
  t.is(fixture.conditions.rests.remaining('a'), 500)
})

test('the gateway to which an upstream announces that it is leaving notifies the others, and these do not forward it', t => {
  const first = new Fixture()
  const second = new Fixture()
  first.answer('a', false, { leaving: true, rest: 0 })
  first.answer('a', false, { leaving: true, rest: 0 })
  t.is(first.notifications, 1)
  t.deepEqual(first.conditions.heartbeatFields, { leaving: ['a'] })
  second.conditions.receiveHeartbeat(heartbeat(first.conditions.heartbeatFields))
  second.conditions.receiveHeartbeat(heartbeat(first.conditions.heartbeatFields))
  t.deepEqual(second.roster.available('s').map(each => each.id), ['b'])
  t.deepEqual(second.lines, ['upstream-leaving a other'])
  t.deepEqual(second.conditions.heartbeatFields, { leaving: [] })
})

test('a gateway that has no list yet learns of a leaving upstream from a later heartbeat', t => {
  const late = new Fixture()
  late.roster.replace([])
  late.clock.advance(100_000)
  late.roster.replace([])
  late.conditions.receiveHeartbeat(heartbeat({ leaving: ['c'] }))
  late.roster.replace([upstream('c')])
  t.deepEqual(late.roster.available('s').map(each => each.id), ['c'])
  late.conditions.receiveHeartbeat(heartbeat({ leaving: ['c'] }))
  t.deepEqual(late.roster.available('s'), [])
})

test('an upstream that has been forgotten is no longer reported as leaving', t => {
  const { clock, roster, conditions } = new Fixture()
  conditions.take('a', { leaving: true, rest: 0 })
  roster.apply([{ gone: 'a', certain: true }])
  t.deepEqual(conditions.heartbeatFields, { leaving: ['a'] })
  clock.advance(100_000)
  roster.apply([])
  t.deepEqual(conditions.heartbeatFields, { leaving: [] })
})

test('the limit in any answer is forwarded', t => {
  const fixture = new Fixture()
  fixture.answer('a', false, { ...noCondition, limit: 3 })
  fixture.conditions.take('a', { ...noCondition, limit: Infinity })
  fixture.conditions.take('a', noCondition)
  t.deepEqual(fixture.limits, ['a 3', 'a Infinity'])
})
