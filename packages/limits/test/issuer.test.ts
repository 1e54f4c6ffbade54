/** Who gets the tokens of an upstream, and when. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Issuer, type Ask } from '../src/index.js'

class Fixture {
  readonly clock = new ManualClock()
  readonly answers: string[] = []
  rate = 10
  begin = 0
  readonly issuer = new Issuer({
    clock: this.clock,
    rate: () => this.rate,
    begin: () => this.begin,
    deliver: (to, reply) => { this.answers.push(`${to}${reply.number} ${reply.token === 'grant' ? 'granted' : `in ${reply.due}`}`) }
  })

  ask (from: string, number: number, ask: Partial<Ask> = {}): void {
    this.issuer.ask('u', { from, number, priority: 1, patience: 1000, ...ask })
  }

  /** What was answered since the last look. */
  get heard (): string[] {
    return this.answers.splice(0)
  }
}

test('tokens go to those that wait in the order in which they asked, the most urgent first', t => {
  const fixture = new Fixture()
  const { clock } = fixture
  fixture.ask('a', 1)
  fixture.ask('b', 2)
  fixture.ask('c', 3, { priority: 0 })
  t.deepEqual(fixture.heard, ['a1 in 100', 'b2 in 200', 'c3 in 100'])
  clock.advance(100)
  t.deepEqual(fixture.heard, ['c3 granted'])
  clock.advance(200)
  t.deepEqual(fixture.heard, ['a1 granted', 'b2 granted'])
})

test('one whose token would come too late does not wait for it', t => {
  const fixture = new Fixture()
  fixture.ask('a', 1, { patience: 99 })
  fixture.ask('b', 2)
  t.deepEqual(fixture.heard, ['a1 in 100', 'b2 in 100'])
  fixture.clock.advance(1000)
  t.deepEqual(fixture.heard, ['b2 granted'])
})

test('one that is dropped, or overtaken until it waits no longer, leaves its token to the next', t => {
  const fixture = new Fixture()
  fixture.ask('a', 1, { patience: 150 })
  fixture.ask('b', 2)
  fixture.ask('c', 3, { priority: 0 })
  fixture.ask('d', 4)
  fixture.issuer.drop('u', 'b', 2)
  fixture.issuer.drop('u', 'x', 4)
  fixture.clock.advance(200)
  t.deepEqual(fixture.heard.slice(4), ['c3 granted', 'd4 granted'])
})

test('a token that nobody waits for is there for this gateway', t => {
  const { clock, issuer, ...fixture } = new Fixture()
  t.false(issuer.has('u'))
  clock.advance(100)
  t.true(issuer.has('u'))
  issuer.take('u')
  t.false(issuer.has('u'))
  t.deepEqual(fixture.answers, [])
})

test('it begins with an empty bucket, and not before it may', t => {
  const fixture = new Fixture()
  fixture.begin = 1000
  fixture.ask('a', 1)
  t.deepEqual(fixture.heard, ['a1 in 1000'])
  fixture.clock.advance(999)
  t.deepEqual(fixture.heard, [])
  fixture.clock.advance(1)
  t.deepEqual(fixture.heard, ['a1 granted'])
})

test('once there is no limit any more, who waits has its token with the next one', t => {
  const fixture = new Fixture()
  fixture.ask('a', 1)
  fixture.ask('b', 2)
  fixture.rate = Infinity
  fixture.clock.advance(100)
  t.deepEqual(fixture.heard.slice(2), ['a1 granted', 'b2 granted'])
  fixture.ask('c', 3)
  t.deepEqual(fixture.heard, ['c3 granted'])
  t.true(fixture.issuer.has('u'))
})

test('another rate holds for those that wait', t => {
  const fixture = new Fixture()
  fixture.ask('a', 1)
  fixture.ask('b', 2)
  fixture.rate = 2
  fixture.clock.advance(100)
  t.deepEqual(fixture.heard.slice(2), ['a1 granted'])
  fixture.clock.advance(499)
  t.deepEqual(fixture.heard, [])
  fixture.clock.advance(1)
  t.deepEqual(fixture.heard, ['b2 granted'])
})

test('nothing is issued any more for an upstream that another gateway keeps', t => {
  const fixture = new Fixture()
  fixture.ask('a', 1)
  t.deepEqual(fixture.issuer.upstreams, ['u'])
  fixture.issuer.end('u')
  fixture.clock.advance(1000)
  t.deepEqual(fixture.heard, ['a1 in 100'])
  t.deepEqual(fixture.issuer.upstreams, [])
})
