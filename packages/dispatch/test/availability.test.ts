/** Availability of upstreams: a resting upstream takes no request, and one with a limit takes one request per token. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Rests } from '@eiderwind/detect'
import { Issuer, Limits, Tokens } from '@eiderwind/limits'
import { Intake } from '../src/index.js'

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
  readonly issuer = new Issuer({ clock: this.clock, rate: id => this.limits.rate(id), begin: () => this.clock.now(), deliver: (_to, reply) => { this.tokens.answered(reply) } })
  readonly tokens: Tokens = new Tokens({ clock: this.clock, limits: this.limits, issuer: this.issuer, owner: () => undefined, post: () => {}, unanswered: () => {}, random: () => 0.5 })
  readonly intake = new Intake({ clock: this.clock, rests: this.rests, tokens: this.tokens })
}

test('if all upstreams rest, the first end of a rest is returned, and none if one of them does not rest', t => {
  const { rests, intake } = new Fixture()
  const first = (...ids: string[]): unknown => intake.first(upstreams(...ids), none, priority)
  rests.ask('a', 3000)
  rests.ask('b', 1000)
  t.deepEqual(first('a', 'b'), { end: 1000, cause: 'rest' })
  t.deepEqual(first('a'), { end: 3000, cause: 'rest' })
  t.is(first('a', 'c'), undefined)
  t.is(first(), undefined)
  rests.pause('c', 500)
  t.deepEqual(first('a', 'b', 'c'), { end: 500, cause: 'pause' })
  t.deepEqual(intake.first(upstreams('a', 'b'), new Set(['b']), priority), { end: 3000, cause: 'rest' })
})

test('a limited upstream takes one request per token, and none while it rests as well', t => {
  const { clock, rests, limits, intake } = new Fixture()
  limits.named('a', 2)
  t.false(intake.has('a'))
  clock.advance(500)
  t.true(intake.has('a'))
  rests.ask('a', 100)
  t.false(intake.has('a'))
  t.true(intake.rests('a'))
  clock.advance(100)
  t.true(intake.has('a'))
  intake.take('a', undefined)
  t.false(intake.has('a'))
  t.false(intake.rests('a'))
})

test('if all limits are used up, the time of the first expected token is returned, and it is unknown before a token request was answered', t => {
  const { clock, limits, intake } = new Fixture()
  limits.named('a', 2)
  limits.named('b', 1)
  t.deepEqual(intake.first(upstreams('a', 'b'), none, priority), { end: 0, cause: 'limit' })
  const claim = intake.claim(priority, 100)
  intake.pursue(claim, upstreams('a', 'b'), none)
  t.deepEqual(claim?.refused, new Set(['a', 'b']))
  t.deepEqual(intake.first(upstreams('a', 'b'), none, priority), { end: 500, cause: 'limit' })
  t.is(intake.first(upstreams('a', 'b', 'c'), none, priority), undefined)
  clock.advance(500)
  t.is(intake.first(upstreams('a', 'b'), none, priority), undefined)
})

test('the reported wait of a less urgent request is not used for a more urgent one', t => {
  const { limits, intake } = new Fixture()
  limits.named('a', 2)
  intake.pursue(intake.claim(5, 100), upstreams('a'), none)
  t.is(intake.first(upstreams('a'), none, 5)?.end, 500)
  t.is(intake.first(upstreams('a'), none, 0)?.end, 0)
})
