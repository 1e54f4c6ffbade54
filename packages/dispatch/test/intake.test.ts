/** What upstreams take: nothing while they rest, and as many requests as there are tokens where they name a limit. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Rests } from '@eiderwind/detect'
import { Issuer, Limits, Tokens } from '@eiderwind/limits'
import { Intake } from '../src/index.js'

const least = 1
const none = new Set<string>()

function upstreams (...ids: string[]): Array<{ id: string }> {
  return ids.map(id => ({ id }))
}

/** An intake at the only gateway. */
class Fixture {
  readonly clock = new ManualClock()
  readonly rests = new Rests({ clock: this.clock, begun: () => {}, ended: () => {} })
  readonly limits = new Limits(this.clock)
  readonly issuer = new Issuer({ clock: this.clock, rate: id => this.limits.rate(id), begin: () => this.clock.now(), deliver: (_to, reply) => { this.tokens.answered(reply) } })
  readonly tokens: Tokens = new Tokens({ clock: this.clock, limits: this.limits, issuer: this.issuer, owner: () => undefined, post: () => {}, unanswered: () => {}, random: () => 0.5 })
  readonly intake = new Intake({ clock: this.clock, rests: this.rests, tokens: this.tokens })
}

test('the first end is that of upstreams all of which rest', t => {
  const { rests, intake } = new Fixture()
  const first = (...ids: string[]): unknown => intake.first(upstreams(...ids), none, least)
  rests.ask('a', 3000)
  rests.ask('b', 1000)
  t.deepEqual(first('a', 'b'), { end: 1000, cause: 'rest' })
  t.deepEqual(first('a'), { end: 3000, cause: 'rest' })
  t.is(first('a', 'c'), undefined)
  t.is(first(), undefined)
  rests.pause('c', 500)
  t.deepEqual(first('a', 'b', 'c'), { end: 500, cause: 'pause' })
  t.deepEqual(intake.first(upstreams('a', 'b'), new Set(['b']), least), { end: 3000, cause: 'rest' })
})

test('a limited upstream takes a request for each token, and rests where it asks for that as well', t => {
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

test('where all limits are used up, the first token that is known of ends the wait; nothing is known before an ask was answered', t => {
  const { clock, limits, intake } = new Fixture()
  limits.named('a', 2)
  limits.named('b', 1)
  t.deepEqual(intake.first(upstreams('a', 'b'), none, least), { end: 0, cause: 'limit' })
  const claim = intake.claim(least, 100)
  intake.pursue(claim, upstreams('a', 'b'), none)
  t.deepEqual(claim?.refused, new Set(['a', 'b']))
  t.deepEqual(intake.first(upstreams('a', 'b'), none, least), { end: 500, cause: 'limit' })
  t.is(intake.first(upstreams('a', 'b', 'c'), none, least), undefined)
  clock.advance(500)
  t.is(intake.first(upstreams('a', 'b'), none, least), undefined)
})

test('a more urgent request asks for itself, whatever a less urgent one was told', t => {
  const { limits, intake } = new Fixture()
  limits.named('a', 2)
  intake.pursue(intake.claim(5, 100), upstreams('a'), none)
  t.is(intake.first(upstreams('a'), none, 5)?.end, 500)
  t.is(intake.first(upstreams('a'), none, 0)?.end, 0)
})
