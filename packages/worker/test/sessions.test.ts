/** The hand-over of sessions at a planned stop: which sessions move, to which replica, and for how long. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { ranked } from '@eiderwind/hash'
import { type Peer } from '@eiderwind/schema'
import { Sessions } from '../src/sessions.js'

const heads: readonly Peer[] = ['a', 'b', 'c'].map(id => ({ id, address: `${id}:1` }))

function makeSessions (count: number): { clock: ManualClock, sessions: Sessions } {
  const clock = new ManualClock()
  const sessions = new Sessions(clock)
  for (let index = 0; index < count; index++) sessions.recordUse(`s${index}`)
  sessions.recordUse(undefined)
  return { clock, sessions }
}

test('each session moves to the remaining replica that entries prefer for it, the latest session first', async t => {
  const { sessions } = makeSessions(20)
  sessions.recordUse('s3')
  const moves: string[] = []
  const handed = await sessions.handOver(heads, async (session, { id }) => {
    t.is(id, ranked(session, ['a', 'b', 'c'])[0])
    moves.push(session)
    return true
  })
  t.deepEqual(handed, { known: 20, moved: 20 })
  t.deepEqual(moves.slice(0, 3), ['s3', 's19', 's18'])
})

test('without another replica no session is moved, and failed moves are not counted as moved', async t => {
  t.deepEqual(await makeSessions(5).sessions.handOver([], () => Promise.reject(new Error('never called'))), { known: 5, moved: 0 })
  const { sessions } = makeSessions(5)
  t.deepEqual(await sessions.handOver(heads, session => session === 's1' ? Promise.reject(new Error('cut')) : Promise.resolve(session !== 's2')), { known: 5, moved: 3 })
})

test('after 3 s the hand-over of a replica that stops starts no further move', async t => {
  const { clock, sessions } = makeSessions(1000)
  const handed = await sessions.handOver(heads, async () => {
    clock.advance(10)
    return true
  })
  t.is(handed.known, 1000)
  t.true(handed.moved >= 300 && handed.moved < 310, `${handed.moved} moved`)
})

test('above 2000 sessions, the least recently used are dropped', async t => {
  const { sessions } = makeSessions(2001)
  const moved = new Set<string>()
  await sessions.handOver(heads, async session => { moved.add(session); return true })
  t.is(moved.size, 2000)
  t.false(moved.has('s0'))
})
