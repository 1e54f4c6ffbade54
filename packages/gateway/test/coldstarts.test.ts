/** Which records and answers make an upstream cold at a gateway, and for how long. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { ColdUpstreams } from '@eiderwind/limits'
import { Roster, type Upstream } from '@eiderwind/roster'
import { ColdStarts } from '../src/coldstarts.js'

/** Time for which a started upstream is cold, in ms. */
const startTime = 3000

function upstream (id: string, fields: Partial<Upstream> = {}): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: [], staged: [], ...fields }
}

class Fixture {
  readonly clock = new ManualClock()
  readonly roster = new Roster(this.clock)
  readonly cold = new ColdUpstreams({ clock: this.clock, rate: () => 32, ended: () => {} })
  readonly began: string[] = []
  readonly starts = new ColdStarts({ roster: this.roster, cold: this.cold, startTime: service => service === 's' ? startTime : 0, began: ids => { this.began.push(ids.join(' ')) } })

  list (...upstreams: Upstream[]): void {
    this.roster.apply(upstreams.map(each => ({ upstream: each })))
  }

  /** Remaining time for which an upstream is cold, in ms. */
  left (id: string): number {
    return Math.max(0, this.cold.remaining(id))
  }
}

test('an upstream that a gateway finds at its start is cold only if its record says so', t => {
  const { roster, began, ...fixture } = new Fixture()
  roster.replace([upstream('a'), upstream('b', { cold: 1200 })])
  t.deepEqual(began, ['b'])
  t.is(fixture.cold.remaining('b'), 1200)
})

test('an upstream that is listed later is cold for at least its start time, whatever its record says', t => {
  const fixture = new Fixture()
  fixture.roster.replace([])
  fixture.list(upstream('a'), upstream('b', { cold: 1200 }), upstream('c', { cold: 9000 }), upstream('d', { service: 'plain' }))
  t.deepEqual(['a', 'b', 'c', 'd'].map(id => fixture.left(id)), [startTime, startTime, 9000, 0])
  t.deepEqual(fixture.began, ['a b c'])
})

test('an upstream is no longer cold once its cold time is removed from its record, but stays cold if the record never had one', t => {
  const fixture = new Fixture()
  fixture.roster.replace([])
  fixture.list(upstream('a'), upstream('b', { cold: 2900 }))
  fixture.clock.advance(100)
  fixture.list(upstream('a', { loaded: ['m'] }), upstream('b'))
  t.deepEqual(['a', 'b'].map(id => fixture.left(id)), [startTime - 100, 0])
})

test('an upstream can become cold again at any time', t => {
  const fixture = new Fixture()
  fixture.roster.replace([upstream('a')])
  fixture.list(upstream('a', { cold: 3000 }))
  fixture.clock.advance(3000)
  t.is(fixture.left('a'), 0)
  fixture.list(upstream('a'))
  fixture.list(upstream('a', { cold: 500 }))
  t.is(fixture.left('a'), 500)
  t.deepEqual(fixture.began, ['a', 'a'])
})

test('a record that is read a second time does not extend the cold time', t => {
  const fixture = new Fixture()
  fixture.roster.replace([upstream('a', { cold: 3000 })])
  fixture.clock.advance(2000)
  fixture.roster.replace([upstream('a', { cold: 3000 })])
  t.is(fixture.left('a'), 1000)
})

test('a later incarnation is cold from its listing', t => {
  const fixture = new Fixture()
  fixture.roster.replace([upstream('a@1', { name: 'a', born: 1 })])
  fixture.list(upstream('a@2', { name: 'a', born: 2 }))
  t.is(fixture.left('a@2'), startTime)
})

test('an answer makes an upstream cold too, and a forgotten upstream counts as new when it is listed', t => {
  const fixture = new Fixture()
  fixture.roster.replace([upstream('a')])
  fixture.starts.answered('a', 700)
  fixture.starts.answered('a', 600)
  t.is(fixture.left('a'), 700)
  t.deepEqual(fixture.began, ['a'])
  fixture.roster.apply([{ gone: 'a' }])
  fixture.clock.advance(60_001)
  fixture.roster.apply([])
  fixture.starts.forget()
  fixture.list(upstream('a'))
  t.is(fixture.left('a'), startTime)
})
