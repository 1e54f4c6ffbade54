/** How streams that have to leave are spread over the time that is left. The load: 300 streams that run on, and 300 of which most end by themselves. */
import test from 'ava'
import { streamsToMove } from '../src/index.js'

const span = 4000
const interval = 100

/** Streams that move at each time, where `ending` of those that run end by themselves in each interval, and those that are left at the end. */
function moves (running: number, ending: number): { moved: number[], left: number } {
  const moved: number[] = []
  for (let time = 0; time <= span; time += interval) {
    const now = Math.min(running, streamsToMove({ running, time, span, interval }))
    moved.push(now)
    running = Math.round((running - now) * (1 - ending))
  }
  return { moved, left: running }
}

test('none moves in the first half, and those that run on move in equal parts until the end', t => {
  const { moved, left } = moves(300, 0)
  t.deepEqual(moved.slice(0, 20), Array.from({ length: 20 }, () => 0))
  t.true(Math.max(...moved) <= 15, String(moved))
  t.is(moved.reduce((sum, each) => sum + each, 0), 300)
  t.is(left, 0)
})

test('where streams last a second, nearly all end where they are', t => {
  const { moved, left } = moves(300, 0.1)
  t.true(moved.reduce((sum, each) => sum + each, 0) <= 40, String(moved))
  t.is(left, 0)
})

test('what could not move in time is due at each later time', t => {
  t.is(streamsToMove({ running: 7, time: span + 1, span, interval }), 7)
  t.is(streamsToMove({ running: 0, time: span + 1, span, interval }), 0)
  t.is(streamsToMove({ running: 7, time: 0, span: 0, interval }), 7)
})
