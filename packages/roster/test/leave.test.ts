/**
 * Upstreams that announce in an answer that they are leaving, while their records may not show it: the announcement
 * comes before or after the record, or the record lapses.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Outage, Roster, type RosterChange, type Upstream } from '../src/index.js'

const open = { replica: 'r', epoch: 1, rank: 0, state: 'open' } as const

function record (id: string, difference: Partial<Upstream> = {}): Upstream {
  return { id, service: 'chat', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: ['m'], staged: [], membership: open, ...difference }
}

function fixture (): { clock: ManualClock, outage: Outage, roster: Roster, notified: string[] } {
  const clock = new ManualClock()
  const outage = new Outage(clock)
  const roster = new Roster(clock, outage)
  const notified: string[] = []
  const name = (change: RosterChange): string => 'gone' in change ? `-${change.gone}` : `${change.upstream.id}${change.upstream.leaving ? ' leaves' : ''}`
  roster.replace([record('a'), record('b')])
  roster.listen(changes => notified.push(...changes.map(name)))
  return { clock, outage, roster, notified }
}

test('an upstream that announces that it is leaving takes no new requests, and the listeners are notified once', t => {
  const { roster, notified } = fixture()
  t.true(roster.markLeaving('a'))
  t.false(roster.markLeaving('a'))
  t.deepEqual(roster.heads('chat', 'm').map(each => each.id), ['b'])
  t.deepEqual(roster.available('chat').map(each => each.id), ['b'])
  t.true(roster.departure('a')?.upstream.leaving)
  t.deepEqual(notified, ['a leaves'])
})

test('a later record without the announcement changes nothing, in a change or in a whole list', t => {
  const { roster } = fixture()
  roster.markLeaving('a')
  roster.apply([{ upstream: record('a', { staged: ['m'] }) }])
  roster.replace([record('a'), record('b')])
  t.deepEqual(roster.available('chat').map(each => each.id), ['b'])
})

test('an announcement that the record already contains is not new', t => {
  const { roster, notified } = fixture()
  roster.apply([{ upstream: record('a', { leaving: true }) }])
  t.false(roster.markLeaving('a'))
  t.deepEqual(notified, ['a leaves'])
})

test('an upstream that announces its leaving while it is not listed is still leaving when it is listed again', t => {
  const { roster } = fixture()
  roster.apply([{ gone: 'a', certain: true }])
  t.true(roster.markLeaving('a'))
  t.false(roster.markLeaving('a'))
  roster.apply([{ upstream: record('a') }])
  t.deepEqual(roster.available('chat').map(each => each.id), ['b'])
})

test('an upstream that announces its leaving while its record has lapsed is gone when the time to be listed again is over', t => {
  const { clock, outage, roster } = fixture()
  outage.recordFailure(clock.bootNow())
  outage.recordFailure(clock.bootNow())
  clock.advance(3000)
  outage.recordAnswer()
  roster.apply([{ gone: 'a' }])
  t.true(roster.lapsed.has('a'))
  t.true(roster.markLeaving('a'))
  t.true(roster.lapsed.has('a'))
  clock.advance(10_000)
  t.is(roster.find('a'), undefined)
})

test('a later incarnation of an upstream that was leaving is not leaving', t => {
  const { roster } = fixture()
  roster.apply([{ upstream: record('c@1', { name: 'c', born: 1 }) }])
  roster.markLeaving('c@1')
  roster.apply([{ upstream: record('c@2', { name: 'c', born: 2 }) }])
  t.deepEqual(roster.available('chat').map(each => each.id), ['a', 'b', 'c@2'])
})

test('an announcement of an unknown upstream is ignored', t => {
  const { roster, notified } = fixture()
  t.false(roster.markLeaving('unknown'))
  t.deepEqual(notified, [])
})
