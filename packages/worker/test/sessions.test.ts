/** Which sessions a replica that stops hands over, to whom, and for how long. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { ranked } from '@eiderwind/hash'
import { type Peer } from '@eiderwind/schema'
import { Sessions } from '../src/sessions.js'

const heads: readonly Peer[] = ['a', 'b', 'c'].map(id => ({ id, address: `${id}:1` }))

function made (count: number): { clock: ManualClock, sessions: Sessions } {
  const clock = new ManualClock()
  const sessions = new Sessions(clock)
  for (let index = 0; index < count; index++) sessions.note(`s${index}`)
  sessions.note(undefined)
  return { clock, sessions }
}

test('each session goes to the replica that entries prefer for it among those that are left, the latest first', async t => {
  const { sessions } = made(20)
  sessions.note('s3')
  const moves: string[] = []
  const handed = await sessions.hand(heads, async (session, { id }) => {
    t.is(id, ranked(session, ['a', 'b', 'c'])[0])
    moves.push(session)
    return true
  })
  t.deepEqual(handed, { known: 20, moved: 20 })
  t.deepEqual(moves.slice(0, 3), ['s3', 's19', 's18'])
})

test('without another replica nothing is moved, and what fails is not counted', async t => {
  t.deepEqual(await made(5).sessions.hand([], () => Promise.reject(new Error('never called'))), { known: 5, moved: 0 })
  const { sessions } = made(5)
  t.deepEqual(await sessions.hand(heads, session => session === 's1' ? Promise.reject(new Error('cut')) : Promise.resolve(session !== 's2')), { known: 5, moved: 3 })
})

test('a replica that stops hands over for 3 s at the most', async t => {
  const { clock, sessions } = made(1000)
  const handed = await sessions.hand(heads, async () => {
    clock.advance(10)
    return true
  })
  t.is(handed.known, 1000)
  t.true(handed.moved >= 300 && handed.moved < 310, `${handed.moved} moved`)
})

test('the longest unused sessions are forgotten first', async t => {
  const { sessions } = made(2001)
  const moved = new Set<string>()
  await sessions.hand(heads, async session => { moved.add(session); return true })
  t.is(moved.size, 2000)
  t.false(moved.has('s0'))
})
