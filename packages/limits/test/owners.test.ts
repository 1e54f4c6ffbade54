/** Which gateway owns the tokens of an upstream, and which share of its limit it issues, as gateways come and go. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Owners } from '../src/index.js'

class Fixture {
  readonly clock = new ManualClock()
  live = ['g1', 'g2', 'g3']
  fleet = 3
  readonly owners = new Owners({ clock: this.clock, live: () => this.live, fleet: () => this.fleet, settleTime: 1000 })

  /** Advances by a second, with a refresh as often as heartbeats are sent. */
  settle (): void {
    for (let count = 0; count < 4; count++) {
      this.clock.advance(250)
      this.owners.refresh()
    }
  }
}

const upstreams = Array.from({ length: 300 }, (_each, index) => `u${index}`)

test('gateways with the same live set agree on the owners, whatever the order', t => {
  const one = new Fixture()
  const other = new Fixture()
  other.live = ['g3', 'g1', 'g2']
  for (const each of upstreams) t.is(one.owners.of(each), other.owners.of(each))
  for (const gateway of one.live) t.true(upstreams.filter(each => one.owners.of(each) === gateway).length > 60)
})

test('only the upstreams of a gateway that has left change owner', t => {
  const { clock, owners, ...fixture } = new Fixture()
  const before = new Map(upstreams.map(each => [each, owners.of(each)]))
  fixture.live.pop()
  clock.advance(100)
  for (const [each, owner] of before) t.true(owner === 'g3' ? owners.of(each) !== 'g3' : owners.of(each) === owner)
})

test('the whole limit is issued if all gateways are live, and the share of the live ones if some were lost recently', t => {
  const fixture = new Fixture()
  const { owners } = fixture
  owners.refresh()
  fixture.settle()
  t.is(owners.share, 1)
  fixture.live = ['g1', 'g2']
  fixture.settle()
  t.is(owners.share, 2 / 3)
  fixture.fleet = 2
  fixture.settle()
  t.is(owners.share, 1)
})

test('a gateway that returns counts after it has been live for a second, because another one may issue its share until then', t => {
  const fixture = new Fixture()
  const { clock, owners } = fixture
  fixture.live = ['g1', 'g2']
  owners.refresh()
  fixture.settle()
  fixture.live = ['g1', 'g2', 'g3']
  clock.advance(999)
  t.is(owners.share, 2 / 3)
  fixture.settle()
  t.is(owners.share, 1)
})

test('a single gateway issues the whole limit from its start', t => {
  const fixture = new Fixture()
  fixture.live = ['g1']
  fixture.fleet = 1
  t.is(fixture.owners.share, 1)
})
