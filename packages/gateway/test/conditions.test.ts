/** What follows at a gateway, and at the others, from what upstreams say of themselves and from their refusals. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight } from '@eiderwind/detect'
import { Queue } from '@eiderwind/dispatch'
import { type AnswerHead } from '@eiderwind/forward'
import { type Log } from '@eiderwind/log'
import { type Heartbeat } from '@eiderwind/peers'
import { Roster, type Condition, type Upstream } from '@eiderwind/roster'
import { Conditions } from '../src/conditions.js'
import { seeker } from './seeker.js'

const nothing: Condition = { leaving: false, rest: 0 }

/** The head of a replica; a plain upstream is in none. */
function upstream (id: string, membership: Upstream['membership'] = { replica: id, epoch: 1, rank: 0, state: 'open' }): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: [], staged: [], membership }
}

function heartbeat (news: Partial<Heartbeat>): Heartbeat {
  return { id: 'other', revision: 0, canPlan: false, inFlight: {}, suspects: [], offeredByModel: {}, served: false, loads: {}, ...news }
}

class Fixture {
  readonly clock = new ManualClock()
  readonly roster = new Roster(this.clock)
  readonly inFlight = new InFlight(this.clock, () => {})
  readonly queue = new Queue(this.clock)
  readonly lines: string[] = []
  readonly limits: string[] = []
  readonly cold: string[] = []
  told = 0
  rested = 0
  readonly conditions = new Conditions({
    clock: this.clock,
    log: { write: (name: string, { upstream, rest, from }: Record<string, unknown>) => this.lines.push([name, upstream, rest ?? from].join(' ').trim()) } as unknown as Log,
    roster: this.roster,
    inFlight: this.inFlight,
    queue: this.queue,
    tell: () => { this.told++ },
    limited: (id, rate) => { this.limits.push(`${id} ${rate}`) },
    cold: (id, remaining) => { this.cold.push(`${id} ${remaining}`) },
    rested: () => { this.rested++ }
  })

  constructor () {
    this.roster.replace([upstream('a'), upstream('b')])
  }

  /** Has an upstream answer a request that was sent now. */
  answer (id: string, refused: boolean, condition = nothing, from = upstream(id)): void {
    const head: AnswerHead = { status: refused ? 503 : 200, headers: {}, refused, sentAt: this.clock.now() }
    this.conditions.answered(from, head, condition)
  }
}

test('a rest is logged and counted once, what waits for its connection there is withdrawn, and who waits looks again at its end', async t => {
  const fixture = new Fixture()
  const { clock, conditions, inFlight, lines, queue } = fixture
  let withdrawn = 0
  inFlight.begin('a', '', { withdrawn: () => { withdrawn++ } })
  inFlight.begin('b', '', { withdrawn: () => t.fail() })
  conditions.take('a', { leaving: false, rest: 1000 })
  conditions.take('a', { leaving: false, rest: 1000 })
  t.is(withdrawn, 1)
  t.deepEqual(lines, ['upstream-resting a 1000'])
  t.is(fixture.rested, 1)
  const found = queue.wait(seeker(clock.now(), clock.now() + 5000), () => conditions.rests.has('a') ? undefined : clock.now())
  clock.advance(1000)
  t.is(await found, 1000)
})

test('an upstream that refuses without a time is left out, longer each time, and not logged as one that rests', t => {
  const fixture = new Fixture()
  const { clock, conditions: { rests } } = fixture
  const refuse = (): number => {
    clock.advance(1)
    fixture.answer('a', true)
    return rests.left('a')
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

test('a plain upstream is not left out for refusals without a time, and rests where it asks for that', t => {
  const fixture = new Fixture()
  const { membership: _head, ...plain } = upstream('a')
  for (let count = 0; count < 5; count++) {
    fixture.clock.advance(1)
    fixture.answer('a', true, nothing, plain)
  }
  t.false(fixture.conditions.rests.has('a'))
  fixture.answer('a', true, { leaving: false, rest: 500 }, plain)
  t.is(fixture.conditions.rests.left('a'), 500)
})

test('a refusal for a time that the upstream names is no pause of its own', t => {
  const fixture = new Fixture()
  fixture.answer('a', true, { leaving: false, rest: 50 })
  t.is(fixture.conditions.rests.left('a'), 50)
  t.is(fixture.rested, 1)
})

test('an answer of an earlier request that ends well ends no rest', t => {
  const fixture = new Fixture()
  fixture.answer('a', true, { leaving: false, rest: 500 })
  fixture.answer('a', false)
  t.is(fixture.conditions.rests.left('a'), 500)
})

test('the other gateways hear of an upstream that is leaving from the one that it told, and do not pass it on', t => {
  const first = new Fixture()
  const second = new Fixture()
  first.answer('a', false, { leaving: true, rest: 0 })
  first.answer('a', false, { leaving: true, rest: 0 })
  t.is(first.told, 1)
  t.deepEqual(first.conditions.news, { leaving: ['a'] })
  second.conditions.hear(heartbeat(first.conditions.news))
  second.conditions.hear(heartbeat(first.conditions.news))
  t.deepEqual(second.roster.available('s').map(each => each.id), ['b'])
  t.deepEqual(second.lines, ['upstream-leaving a other'])
  t.deepEqual(second.conditions.news, { leaving: [] })
})

test('a gateway that has no list yet hears of it with a later heartbeat', t => {
  const late = new Fixture()
  late.roster.replace([])
  late.clock.advance(100_000)
  late.roster.replace([])
  late.conditions.hear(heartbeat({ leaving: ['c'] }))
  late.roster.replace([upstream('c')])
  t.deepEqual(late.roster.available('s').map(each => each.id), ['c'])
  late.conditions.hear(heartbeat({ leaving: ['c'] }))
  t.deepEqual(late.roster.available('s'), [])
})

test('an upstream that nobody remembers any more is told to nobody', t => {
  const { clock, roster, conditions } = new Fixture()
  conditions.take('a', { leaving: true, rest: 0 })
  roster.apply([{ gone: 'a', certain: true }])
  t.deepEqual(conditions.news, { leaving: ['a'] })
  clock.advance(100_000)
  roster.apply([])
  t.deepEqual(conditions.news, { leaving: [] })
})

test('the limit of any answer that tells of one is passed on', t => {
  const fixture = new Fixture()
  fixture.answer('a', false, { ...nothing, limit: 3 })
  fixture.conditions.take('a', { ...nothing, limit: Infinity })
  fixture.conditions.take('a', nothing)
  t.deepEqual(fixture.limits, ['a 3', 'a Infinity'])
})
