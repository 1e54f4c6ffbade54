/**
 * The limit of concurrent loads counts the loads of every planner, because the weight store slows down with each load
 * above it.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type Engine } from '@eiderwind/traffic'
import { LoadLimit, type LoadRequest } from '../src/loadlimit.js'

const engine = { loadsAtOnce: 4, loadRate: 20 } as unknown as Engine

function request (node: string, keepFree = 0): LoadRequest {
  return { engine, node, model: 'large', duration: 12_000, keepFree, rated: false }
}

test('a load above the limit of concurrent loads gets no permit', t => {
  const loads = new LoadLimit(new ManualClock())
  t.deepEqual(['a', 'b', 'c', 'd', 'e'].map(node => loads.acquire(request(node))), [true, true, true, true, false])
})

test('a planner that takes over counts the running loads of the previous planner', t => {
  const before = new Map([['a', 'large'], ['b', 'small'], ['c', 'large']])
  const loads = new LoadLimit(new ManualClock(), () => before)
  t.false(loads.acquire(request('d', 2)))
  t.true(loads.acquire(request('d')))
  t.false(loads.acquire(request('e')))
  before.delete('b')
  t.true(loads.acquire(request('e')))
})

test('a load that two planners have ordered counts once', t => {
  const before = new Map([['a', 'large'], ['b', 'large']])
  const loads = new LoadLimit(new ManualClock(), () => before)
  t.deepEqual(['a', 'b', 'c', 'd', 'e'].map(node => loads.acquire(request(node))), [true, true, true, true, false])
})
