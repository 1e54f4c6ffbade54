/** Which upstreams take no new requests while data centres are evacuated. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Roster, evacuatedUpstreams, type Membership, type Upstream } from '../src/index.js'

function plain (id: string, dataCentre: string): Upstream {
  return { id, service: 'plain', address: `${id}:1`, dataCentre, leaving: false, loaded: [], staged: [] }
}

function engine (id: string, dataCentre: string, replica: string, rank: number, epoch = 1): Upstream {
  const membership: Membership = { replica, epoch, rank, state: rank === 0 ? 'open' : 'ready' }
  return { ...plain(id, dataCentre), service: 'chat', domain: 'd', loaded: ['m'], membership }
}

const all = [
  plain('p-a', 'a'), plain('p-b', 'b'),
  engine('a-0', 'a', 'within', 0), engine('a-1', 'a', 'within', 1),
  engine('b-0', 'b', 'across', 0), engine('a-2', 'a', 'across', 1),
  engine('b-1', 'b', 'across', 0, 2), engine('b-2', 'b', 'across', 1, 2)
]

const cases: ReadonlyArray<{ evacuated: string[], closed: string[] }> = [
  { evacuated: [], closed: [] },
  { evacuated: ['no such data centre'], closed: [] },
  { evacuated: ['a'], closed: ['a-0', 'a-1', 'a-2', 'b-0', 'p-a'] },
  { evacuated: ['b'], closed: ['b-0', 'b-1', 'b-2', 'p-b'] },
  { evacuated: ['a', 'b'], closed: all.map(each => each.id).sort() }
]

for (const { evacuated, closed } of cases) {
  test(`evacuated ${evacuated.join(' and ') || 'nowhere'}: ${closed.join(' ') || 'all'} ${closed.length > 0 ? 'take no requests' : 'take requests'}`, t => {
    t.deepEqual([...evacuatedUpstreams(all, new Set(evacuated))].sort(), closed)
  })
}

test('the roster offers no evacuated upstream, also if it is listed later, and offers all again at the end of the evacuation', t => {
  const roster = new Roster(new ManualClock())
  roster.replace(all)
  let notifications = 0
  roster.listen(() => notifications++)
  roster.evacuate(new Set(['a']))
  t.is(notifications, 1, 'listeners are notified, so that waiting requests look for an upstream again')
  roster.apply([{ upstream: plain('p-late', 'a') }, { upstream: engine('a-3', 'a', 'late', 0) }])
  t.deepEqual(roster.available('plain').map(each => each.id), ['p-b'])
  t.deepEqual(roster.heads('chat', 'm').map(each => each.id), ['b-1'])
  t.true(roster.isEvacuated('a-3'))
  roster.evacuate(new Set())
  t.is(notifications, 3)
  t.deepEqual(roster.available('plain').map(each => each.id), ['p-a', 'p-b', 'p-late'])
  t.deepEqual(roster.heads('chat', 'm').map(each => each.id), ['a-0', 'b-0', 'b-1', 'a-3'])
  t.false(roster.isEvacuated('a-3'))
})

test('an evacuated upstream whose record disappears or that leaves stays closed to requests', t => {
  const roster = new Roster(new ManualClock())
  roster.replace(all)
  roster.evacuate(new Set(['a']))
  roster.markLeaving('p-a')
  t.true(roster.isEvacuated('p-a'))
  roster.replace(all.filter(each => each.id !== 'p-a'))
  roster.replace(all)
  t.deepEqual(roster.available('plain').map(each => each.id), ['p-b'])
})
