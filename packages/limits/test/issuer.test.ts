/** Which requests get the tokens of an upstream, and when. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Issuer, type TokenRequest } from '../src/index.js'

class Fixture {
  readonly clock = new ManualClock()
  readonly replies: string[] = []
  rate = 10
  begin = 0
  /** The number of the request to which no reply can be delivered. */
  failing: number | undefined
  readonly issuer = new Issuer({
    clock: this.clock,
    rate: () => this.rate,
    begin: () => this.begin,
    deliver: (to, reply) => {
      if (reply.number === this.failing) throw new Error('not delivered')
      this.replies.push(`${to}${reply.number} ${reply.token === 'grant' ? 'granted' : `in ${reply.due}`}`)
    }
  })

  request (from: string, number: number, fields: Partial<TokenRequest> = {}): void {
    this.issuer.request('u', { from, number, priority: 1, patience: 1000, ...fields })
  }

  /** The replies since the last call. */
  get newReplies (): string[] {
    return this.replies.splice(0)
  }
}

test('tokens go to waiting requests in order of arrival, the most urgent first', t => {
  const fixture = new Fixture()
  const { clock } = fixture
  fixture.request('a', 1)
  fixture.request('b', 2)
  fixture.request('c', 3, { priority: 0 })
  t.deepEqual(fixture.newReplies, ['a1 in 100', 'b2 in 200', 'c3 in 100'])
  clock.advance(100)
  t.deepEqual(fixture.newReplies, ['c3 granted'])
  clock.advance(200)
  t.deepEqual(fixture.newReplies, ['a1 granted', 'b2 granted'])
})

test('a request whose token would come too late is not queued', t => {
  const fixture = new Fixture()
  fixture.request('a', 1, { patience: 99 })
  fixture.request('b', 2)
  t.deepEqual(fixture.newReplies, ['a1 in 100', 'b2 in 100'])
  fixture.clock.advance(1000)
  t.deepEqual(fixture.newReplies, ['b2 granted'])
})

test('a request that is dropped, or whose wait ends while others go first, leaves its token to the next', t => {
  const fixture = new Fixture()
  fixture.request('a', 1, { patience: 150 })
  fixture.request('b', 2)
  fixture.request('c', 3, { priority: 0 })
  fixture.request('d', 4)
  fixture.issuer.drop('u', 'b', 2)
  fixture.issuer.drop('u', 'x', 4)
  fixture.clock.advance(200)
  t.deepEqual(fixture.newReplies.slice(4), ['c3 granted', 'd4 granted'])
})

test('a token for which no request waits is available to this gateway', t => {
  const { clock, issuer, ...fixture } = new Fixture()
  t.false(issuer.has('u'))
  clock.advance(100)
  t.true(issuer.has('u'))
  issuer.take('u')
  t.false(issuer.has('u'))
  t.deepEqual(fixture.replies, [])
})

test('the issuer begins with an empty bucket, and not before its start time', t => {
  const fixture = new Fixture()
  fixture.begin = 1000
  fixture.request('a', 1)
  t.deepEqual(fixture.newReplies, ['a1 in 1000'])
  fixture.clock.advance(999)
  t.deepEqual(fixture.newReplies, [])
  fixture.clock.advance(1)
  t.deepEqual(fixture.newReplies, ['a1 granted'])
})

test('when the limit ends, all waiting requests are granted at the next token', t => {
  const fixture = new Fixture()
  fixture.request('a', 1)
  fixture.request('b', 2)
  fixture.rate = Infinity
  fixture.clock.advance(100)
  t.deepEqual(fixture.newReplies.slice(2), ['a1 granted', 'b2 granted'])
  fixture.request('c', 3)
  t.deepEqual(fixture.newReplies, ['c3 granted'])
  t.true(fixture.issuer.has('u'))
})

test('a new rate applies to requests that already wait', t => {
  const fixture = new Fixture()
  fixture.request('a', 1)
  fixture.request('b', 2)
  fixture.rate = 2
  fixture.clock.advance(100)
  t.deepEqual(fixture.newReplies.slice(2), ['a1 granted'])
  fixture.clock.advance(499)
  t.deepEqual(fixture.newReplies, [])
  fixture.clock.advance(1)
  t.deepEqual(fixture.newReplies, ['b2 granted'])
})

test('no more tokens are issued for an upstream once another gateway owns its limit', t => {
  const fixture = new Fixture()
  fixture.request('a', 1)
  t.deepEqual(fixture.issuer.upstreams, ['u'])
  fixture.issuer.end('u')
  fixture.clock.advance(1000)
  t.deepEqual(fixture.newReplies, ['a1 in 100'])
  t.deepEqual(fixture.issuer.upstreams, [])
})

// Guards against: one delivery that fails ended the service of all requests that wait for the same upstream.
test('requests behind one whose token cannot be delivered get theirs', t => {
  const fixture = new Fixture()
  const { clock } = fixture
  for (const number of [1, 2, 3]) fixture.request('a', number)
  t.is(fixture.newReplies.length, 3)
  fixture.failing = 1
  t.throws(() => clock.advance(100), { message: 'not delivered' })
  clock.advance(200)
  t.deepEqual(fixture.newReplies, ['a2 granted', 'a3 granted'])
})
