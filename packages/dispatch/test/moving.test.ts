/**
 * How the moves of streams are spread over the remaining time. Two loads are tested: 300 streams that do not end, and
 * 300 streams of which most end by themselves.
 */
import test from 'ava'
import { streamsToMove } from '../src/index.js'

const span = 4000
const interval = 100

/**
 * Simulates the moves. `ending` is the share of the running streams that end by themselves in each interval. Returns
 * the number of moved streams at each time and the number of streams left at the end.
 */
function moves (running: number, ending: number): { moved: number[], left: number } {
  const moved: number[] = []
  for (let time = 0; time <= span; time += interval) {
    const now = Math.min(running, streamsToMove({ running, time, span, interval }))
    moved.push(now)
    running = Math.round((running - now) * (1 - ending))
  }
  return { moved, left: running }
}

test('no stream moves in the first half of the time, and long streams move in equal parts until the end', t => {
  const { moved, left } = moves(300, 0)
  t.deepEqual(moved.slice(0, 20), Array.from({ length: 20 }, () => 0))
  t.true(Math.max(...moved) <= 15, String(moved))
  t.is(moved.reduce((sum, each) => sum + each, 0), 300)
  t.is(left, 0)
})

test('of streams that last a second, nearly all end without a move', t => {
  const { moved, left } = moves(300, 0.1)
  t.true(moved.reduce((sum, each) => sum + each, 0) <= 40, String(moved))
  t.is(left, 0)
})

test('after the end of the time all remaining streams are to be moved at each call', t => {
  t.is(streamsToMove({ running: 7, time: span + 1, span, interval }), 7)
  t.is(streamsToMove({ running: 0, time: span + 1, span, interval }), 0)
  t.is(streamsToMove({ running: 7, time: 0, span: 0, interval }), 7)
})
