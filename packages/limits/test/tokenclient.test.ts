/** Token requests to another gateway, whose replies may be late or lost. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Issuer, Limits, TokenClient, type Claim, type TokenMessage } from '../src/index.js'

class Fixture {
  readonly clock = new ManualClock()
  readonly limits = new Limits(this.clock)
  readonly sent: TokenMessage[] = []
  readonly issuer = new Issuer({ clock: this.clock, rate: id => this.limits.rate(id), begin: () => 0, deliver: (_to, reply) => { this.tokens.handleReply(reply) } })
  unanswered = 0
  owner: string | undefined = 'g2'
  readonly tokens: TokenClient = new TokenClient({
    clock: this.clock,
    limits: this.limits,
    issuer: this.issuer,
    owner: () => this.owner,
    post: (_gateway, message) => { this.sent.push(message) },
    unanswered: () => { this.unanswered++ },
    random: () => 0
  })

  constructor () {
    this.limits.recordAnswer('a', 10)
    this.limits.recordAnswer('b', 10)
  }

  claim (patience = 100, ...upstreams: string[]): Claim {
    const claim = this.tokens.claim(1, this.clock.now() + patience)
    this.tokens.requestToken(claim, upstreams)
    return claim
  }

  get requested (): string[] {
    return this.sent.map(each => 'upstream' in each ? `${each.token} ${each.upstream} ${each.number}` : each.token)
  }
}

test('a request to an upstream without a limit needs no token', t => {
  const { tokens, sent } = new Fixture()
  t.true(tokens.has('c'))
  tokens.take('c')
  tokens.requestToken(tokens.claim(1, 100), ['c'])
  t.deepEqual(sent, [])
})

test('a request asks for one upstream at a time and has one token request pending', t => {
  const fixture = new Fixture()
  const claim = fixture.claim(100, 'a', 'b')
  fixture.tokens.requestToken(claim, ['a', 'b'])
  t.deepEqual(fixture.sent, [{ token: 'ask', upstream: 'a', number: 1, priority: 1, patience: 95, limit: [10, 0] }])
})

test('a token is used once, and expires if it is not used', t => {
  const fixture = new Fixture()
  const { clock, tokens } = fixture
  const claim = fixture.claim(100, 'a')
  t.false(tokens.has('a'))
  t.true(tokens.handleReply({ token: 'grant', number: 1 }))
  t.true(tokens.has('a'))
  tokens.take('a')
  t.false(tokens.has('a'))
  tokens.requestToken(claim, ['a'])
  t.true(tokens.handleReply({ token: 'grant', number: 2 }))
  clock.advance(101)
  t.false(tokens.has('a'))
  t.deepEqual([tokens.received, tokens.used], [2, 1])
})

test('a repeated or unknown reply gives no token', t => {
  const fixture = new Fixture()
  fixture.claim(100, 'a')
  fixture.tokens.handleReply({ token: 'grant', number: 1 })
  fixture.tokens.take('a')
  t.false(fixture.tokens.handleReply({ token: 'grant', number: 1 }))
  t.false(fixture.tokens.handleReply({ token: 'grant', number: 77 }))
  t.false(fixture.tokens.handleReply({ token: 'later', number: 77, due: 5 }))
  t.false(fixture.tokens.has('a'))
})

test('a request that gets no token in time asks for the next upstream, and the time of the first one\'s token is stored', t => {
  const fixture = new Fixture()
  const { tokens, clock } = fixture
  const claim = fixture.claim(100, 'a', 'b')
  t.true(tokens.handleReply({ token: 'later', number: 1, due: 300 }))
  tokens.requestToken(claim, ['a', 'b'])
  t.deepEqual(fixture.requested, ['ask a 1', 'ask b 2'])
  t.is(tokens.expectedWait('a', 1), 300)
  t.is(tokens.expectedWait('a', 0), 0)
  clock.advance(100)
  t.is(tokens.expectedWait('a', 2), 200)
})

test('a request whose token comes in time waits for it and sends no other token request', t => {
  const fixture = new Fixture()
  const claim = fixture.claim(100, 'a', 'b')
  t.false(fixture.tokens.handleReply({ token: 'later', number: 1, due: 80 }))
  fixture.tokens.requestToken(claim, ['a', 'b'])
  fixture.clock.advance(80)
  t.is(fixture.unanswered, 0)
  t.true(fixture.tokens.handleReply({ token: 'grant', number: 1 }))
  t.deepEqual(fixture.requested, ['ask a 1'])
})

test('a token request that is not answered within 50 ms, or whose announced token does not come, counts as refused', t => {
  const fixture = new Fixture()
  const { clock } = fixture
  const claim = fixture.claim(200, 'a', 'b')
  clock.advance(50)
  t.is(fixture.unanswered, 1)
  fixture.tokens.requestToken(claim, ['a', 'b'])
  fixture.tokens.handleReply({ token: 'later', number: 2, due: 20 })
  clock.advance(70)
  t.is(fixture.unanswered, 2)
  fixture.tokens.requestToken(claim, ['a', 'b'])
  t.deepEqual(fixture.requested, ['ask a 1', 'ask b 2'])
  t.false(fixture.tokens.handleReply({ token: 'grant', number: 2 }))
})

test('a request that stops waiting drops its token request, and a token already on its way serves any other request', t => {
  const fixture = new Fixture()
  const claim = fixture.claim(100, 'a')
  fixture.tokens.handleReply({ token: 'later', number: 1, due: 50 })
  fixture.tokens.release(claim)
  fixture.tokens.release(claim)
  t.deepEqual(fixture.requested, ['ask a 1', 'drop a 1'])
  t.true(fixture.tokens.handleReply({ token: 'grant', number: 1 }))
  t.true(fixture.tokens.has('a'))
  t.false(fixture.tokens.handleReply({ token: 'grant', number: 1 }))
})

test('a token that comes more than 50 ms after its request was released is discarded', t => {
  const fixture = new Fixture()
  fixture.tokens.release(fixture.claim(100, 'a'))
  fixture.clock.advance(51)
  t.false(fixture.tokens.handleReply({ token: 'grant', number: 1 }))
  t.false(fixture.tokens.has('a'))
})

test('a request that takes the token of another one hands over its own token request', t => {
  const fixture = new Fixture()
  const { tokens } = fixture
  const first = fixture.claim(100, 'a')
  const second = fixture.claim(100, 'a')
  tokens.handleReply({ token: 'grant', number: 1 })
  tokens.take('a', second)
  tokens.release(second)
  tokens.requestToken(first, ['a'])
  t.deepEqual(fixture.requested, ['ask a 1', 'ask a 2'])
  t.true(tokens.handleReply({ token: 'grant', number: 2 }))
  tokens.take('a', first)
  t.deepEqual([tokens.received, tokens.used], [2, 2])
})

test('a process that was suspended does not use a token that it reads long after', t => {
  const fixture = new Fixture()
  fixture.claim(100, 'a')
  fixture.clock.freeze(5000)
  t.false(fixture.tokens.handleReply({ token: 'grant', number: 1 }))
  t.false(fixture.tokens.has('a'))
})

test('if this gateway issues the tokens, a request gets its token at once or waits for it', t => {
  const fixture = new Fixture()
  const { clock, tokens } = fixture
  fixture.owner = undefined
  const claim = fixture.claim(150, 'a')
  t.deepEqual(fixture.sent, [])
  clock.advance(100)
  t.true(tokens.has('a'))
  tokens.take('a')
  tokens.requestToken(claim, ['a'])
  t.true(claim.refused.has('a'))
  clock.advance(100)
  t.true(tokens.has('a'))
})

test('a request that cannot wait sends no token request', t => {
  const fixture = new Fixture()
  fixture.claim(0, 'a')
  t.deepEqual(fixture.sent, [])
})

test('expired times of next tokens are removed', t => {
  const fixture = new Fixture()
  const { tokens, clock } = fixture
  fixture.claim(100, 'a')
  tokens.handleReply({ token: 'later', number: 1, due: 300 })
  tokens.forget()
  t.is(tokens.expectedWait('a', 1), 300)
  clock.advance(300)
  tokens.forget()
  t.is(tokens.expectedWait('a', 1), 0)
})
