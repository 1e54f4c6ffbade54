/** Which gateway issues the tokens of an upstream, and which part of its limit, as gateways come and go. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Owners } from '../src/index.js'

class Fixture {
  readonly clock = new ManualClock()
  live = ['g1', 'g2', 'g3']
  fleet = 3
  readonly owners = new Owners({ clock: this.clock, live: () => this.live, fleet: () => this.fleet, settleTime: 1000 })

  /** Lets a second pass, with looks as often as heartbeats are sent. */
  settle (): void {
    for (let count = 0; count < 4; count++) {
      this.clock.advance(250)
      this.owners.look()
    }
  }
}

const upstreams = Array.from({ length: 300 }, (_each, index) => `u${index}`)

test('gateways that see the same ones agree, whatever the order', t => {
  const one = new Fixture()
  const other = new Fixture()
  other.live = ['g3', 'g1', 'g2']
  for (const each of upstreams) t.is(one.owners.of(each), other.owners.of(each))
  for (const gateway of one.live) t.true(upstreams.filter(each => one.owners.of(each) === gateway).length > 60)
})

test('only the upstreams of a gateway that has gone change hands', t => {
  const { clock, owners, ...fixture } = new Fixture()
  const before = new Map(upstreams.map(each => [each, owners.of(each)]))
  fixture.live.pop()
  clock.advance(100)
  for (const [each, owner] of before) t.true(owner === 'g3' ? owners.of(each) !== 'g3' : owners.of(each) === owner)
})

test('the whole of a limit is issued where all live, and the part of those that live where some were lost lately', t => {
  const fixture = new Fixture()
  const { owners } = fixture
  owners.look()
  fixture.settle()
  t.is(owners.part, 1)
  fixture.live = ['g1', 'g2']
  fixture.settle()
  t.is(owners.part, 2 / 3)
  fixture.fleet = 2
  fixture.settle()
  t.is(owners.part, 1)
})

test('a gateway that comes back counts after it has lived for a second: until then another one may issue its part', t => {
  const fixture = new Fixture()
  const { clock, owners } = fixture
  fixture.live = ['g1', 'g2']
  owners.look()
  fixture.settle()
  fixture.live = ['g1', 'g2', 'g3']
  clock.advance(999)
  t.is(owners.part, 2 / 3)
  fixture.settle()
  t.is(owners.part, 1)
})

test('a gateway alone has something to issue from its first moment', t => {
  const fixture = new Fixture()
  fixture.live = ['g1']
  fixture.fleet = 1
  t.is(fixture.owners.part, 1)
})
