/** Detection of when the engines of a domain have all appeared. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type Upstream } from '@eiderwind/roster'
import { Appearances } from '../src/fleet.js'

function domain (count: number): { key: string, upstreams: Upstream[] } {
  return {
    key: 'd',
    upstreams: Array.from({ length: count }, (_each, index) => ({ id: `n${index}`, service: 's', address: `n${index}:1`, dataCentre: 'dc', leaving: false, domain: 'd', loaded: [], staged: [] }))
  }
}

test('engines count as still appearing until 600 ms after the last new one, also if one is removed meanwhile', t => {
  const clock = new ManualClock()
  const appearances = new Appearances(clock)
  t.false(appearances.isUnderWay(domain(0), 4))
  for (let count = 1; count <= 3; count++) {
    clock.advance(300)
    t.true(appearances.isUnderWay(domain(count), 4))
  }
  clock.advance(599)
  t.true(appearances.isUnderWay(domain(2), 4))
  clock.advance(1)
  t.false(appearances.isUnderWay(domain(2), 4))
})

test('the wait for engines that appear one by one ends after two seconds', t => {
  const clock = new ManualClock()
  const appearances = new Appearances(clock)
  appearances.isUnderWay(domain(0), 4)
  const under = Array.from({ length: 8 }, (_each, index) => {
    clock.advance(500)
    return appearances.isUnderWay(domain(index + 1), 4)
  })
  t.deepEqual(under, [true, true, true, true, false, false, false, false])
})

test('a domain that is seen for the first time counts as complete at once', t => {
  t.false(new Appearances(new ManualClock()).isUnderWay(domain(5), 4))
})

test('a domain with enough engines for the largest replica does not wait for single new engines', t => {
  const clock = new ManualClock()
  const appearances = new Appearances(clock)
  appearances.isUnderWay(domain(4), 4)
  clock.advance(1000)
  t.false(appearances.isUnderWay(domain(5), 4))
  appearances.isUnderWay(domain(3), 4)
  clock.advance(1000)
  t.true(appearances.isUnderWay(domain(6), 4))
})
