/** Availability of upstreams: a resting upstream takes no request, and one with a limit takes one request per token. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Rests } from '@eiderwind/detect'
import { Issuer, Limits, TokenClient } from '@eiderwind/limits'
import { Availability } from '../src/index.js'

const priority = 1
const none = new Set<string>()

function upstreams (...ids: string[]): Array<{ id: string }> {
  return ids.map(id => ({ id }))
}

/** The availability of upstreams, with the tokens of a single gateway. */
class Fixture {
  readonly clock = new ManualClock()
  readonly rests = new Rests({ clock: this.clock, begun: () => {}, ended: () => {} })
  readonly limits = new Limits(this.clock)
  readonly issuer = new Issuer({ clock: this.clock, rate: id => this.limits.rate(id), begin: () => this.clock.now(), deliver: (_to, reply) => { this.tokens.handleReply(reply) } })
  readonly tokens: TokenClient = new TokenClient({ clock: this.clock, limits: this.limits, issuer: this.issuer, owner: () => undefined, post: () => {}, unanswered: () => {}, random: () => 0.5 })
  readonly availability = new Availability({ clock: this.clock, rests: this.rests, tokens: this.tokens })
}

test('if all upstreams rest, the first end of a rest is returned, and none if one of them does not rest', t => {
  const { rests, availability } = new Fixture()
  const first = (...ids: string[]): unknown => availability.shortestUnavailability(upstreams(...ids), none, priority)
  rests.recordRestRequest('a', 3000)
  rests.recordRestRequest('b', 1000)
  t.deepEqual(first('a', 'b'), { end: 1000, cause: 'rest' })
  t.deepEqual(first('a'), { end: 3000, cause: 'rest' })
  t.is(first('a', 'c'), undefined)
  t.is(first(), undefined)
  rests.pause('c', 500)
  t.deepEqual(first('a', 'b', 'c'), { end: 500, cause: 'pause' })
  t.deepEqual(availability.shortestUnavailability(upstreams('a', 'b'), new Set(['b']), priority), { end: 3000, cause: 'rest' })
})

test('a limited upstream takes one request per token, and none while it rests as well', t => {
  const { clock, rests, limits, availability } = new Fixture()
  limits.recordAnswer('a', 2)
  t.false(availability.isAvailable('a'))
  clock.advance(500)
  t.true(availability.isAvailable('a'))
  rests.recordRestRequest('a', 100)
  t.false(availability.isAvailable('a'))
  t.true(availability.isResting('a'))
  clock.advance(100)
  t.true(availability.isAvailable('a'))
  availability.take('a', undefined)
  t.false(availability.isAvailable('a'))
  t.false(availability.isResting('a'))
})

test('if all limits are used up, the time of the first expected token is returned, and it is unknown before a token request was answered', t => {
  const { clock, limits, availability } = new Fixture()
  limits.recordAnswer('a', 2)
  limits.recordAnswer('b', 1)
  t.deepEqual(availability.shortestUnavailability(upstreams('a', 'b'), none, priority), { end: 0, cause: 'limit' })
  const claim = availability.claim(priority, 100)
  availability.requestToken(claim, upstreams('a', 'b'), none)
  t.deepEqual(claim?.refused, new Set(['a', 'b']))
  t.deepEqual(availability.shortestUnavailability(upstreams('a', 'b'), none, priority), { end: 500, cause: 'limit' })
  t.is(availability.shortestUnavailability(upstreams('a', 'b', 'c'), none, priority), undefined)
  clock.advance(500)
  t.is(availability.shortestUnavailability(upstreams('a', 'b'), none, priority), undefined)
})

test('the reported wait of a less urgent request is not used for a more urgent one', t => {
  const { limits, availability } = new Fixture()
  limits.recordAnswer('a', 2)
  availability.requestToken(availability.claim(5, 100), upstreams('a'), none)
  t.is(availability.shortestUnavailability(upstreams('a'), none, 5)?.end, 500)
  t.is(availability.shortestUnavailability(upstreams('a'), none, 0)?.end, 0)
})
