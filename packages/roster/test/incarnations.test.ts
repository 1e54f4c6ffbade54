/** Upstreams that restart under the same name. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Outage, Roster, type Upstream } from '../src/index.js'

const open = { replica: 'r', epoch: 1, rank: 0, state: 'open' } as const

/** The record of one incarnation of the upstream `a`. */
function incarnation (born: number, difference: Partial<Upstream> = {}): Upstream {
  return { id: `a@${born}`, name: 'a', born, service: 'chat', address: 'a:1', dataCentre: 'dc', leaving: false, domain: 'd', loaded: [], staged: [], ...difference }
}

function fixture (): { clock: ManualClock, outage: Outage, roster: Roster, ends: string[] } {
  const clock = new ManualClock()
  const outage = new Outage(clock)
  const roster = new Roster(clock, outage)
  const ends: string[] = []
  roster.listenEnds(({ id }) => { ends.push(id) })
  return { clock, outage, roster, ends }
}

test('a later incarnation ends the earlier one at once: it leads no replica, and the announcement of the earlier one is dropped', t => {
  const { roster, ends } = fixture()
  roster.replace([incarnation(1, { loaded: ['m'], membership: open, leaving: true })])
  roster.apply([{ upstream: incarnation(2) }])
  t.deepEqual(ends, ['a@1'])
  t.true(roster.hasEnded('a@1'))
  t.is(roster.find('a@1'), undefined)
  t.deepEqual(roster.heads('chat', 'm'), [])
  t.deepEqual(roster.available('chat').map(each => each.id), ['a@2'])
  t.is(roster.departure('a@2'), undefined)
})

test('a record of an earlier incarnation that arrives late is ignored, in a change, in a list, and after the later incarnation has gone', t => {
  const { roster, ends } = fixture()
  roster.replace([incarnation(1)])
  roster.apply([{ upstream: incarnation(2) }, { upstream: incarnation(1, { membership: open, loaded: ['m'] }) }])
  t.deepEqual(roster.upstreams.map(each => each.id), ['a@2'])
  roster.replace([incarnation(1)])
  t.deepEqual(roster.upstreams.map(each => each.id), ['a@2'])
  roster.apply([{ gone: 'a' }, { upstream: incarnation(1) }])
  t.deepEqual(roster.upstreams, [])
  t.deepEqual(ends, ['a@1'])
})

test('the newest incarnation of a list replaces the earlier one, and a record of an incarnation between them is ignored', t => {
  const { roster, ends } = fixture()
  roster.replace([incarnation(1)])
  roster.replace([incarnation(3)])
  t.deepEqual(ends, ['a@1'])
  t.deepEqual(roster.upstreams.map(each => each.id), ['a@3'])
  roster.apply([{ upstream: incarnation(2) }])
  t.deepEqual(roster.upstreams.map(each => each.id), ['a@3'])
})

test('a lapsed incarnation ends at once when a later one is listed, even within the time to be listed again', t => {
  const { clock, outage, roster, ends } = fixture()
  roster.replace([incarnation(1)])
  for (let count = 0; count < 3; count++) {
    outage.recordFailure(clock.now())
    clock.advance(1500)
  }
  outage.recordAnswer()
  roster.replace([])
  t.deepEqual([...roster.lapsed], ['a@1'])
  roster.apply([{ upstream: incarnation(2) }])
  t.deepEqual(ends, ['a@1'])
  t.deepEqual([...roster.lapsed], [])
  clock.advance(5000)
  t.deepEqual(roster.upstreams.map(each => each.id), ['a@2'])
})

test('an upstream is gone at once if its entry now holds something else, even after an outage', t => {
  const { clock, outage, roster } = fixture()
  roster.replace([incarnation(1)])
  for (let count = 0; count < 3; count++) {
    outage.recordFailure(clock.now())
    clock.advance(1500)
  }
  outage.recordAnswer()
  roster.apply([{ gone: 'a', certain: true }])
  t.deepEqual(roster.upstreams, [])
  t.deepEqual([...roster.lapsed], [])
})

test('listeners see the list with all changes applied', t => {
  const { roster } = fixture()
  roster.replace([incarnation(1, { loaded: ['m'], membership: open })])
  t.is(roster.heads('chat', 'm').length, 1)
  let heads: number | undefined
  roster.listenEnds(() => { heads = roster.heads('chat', 'm').length })
  roster.apply([{ upstream: incarnation(2) }])
  t.is(heads, 0)
})
