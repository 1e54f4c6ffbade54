/** The token bucket of one upstream: in any time T it gives no more than its rate allows and one and a half tokens. */
import test from 'ava'
import fc from 'fast-check'
import { Bucket } from '../src/index.js'

test('tokens come at the rate, and one at most is saved', t => {
  const bucket = new Bucket(2, 500)
  t.false(bucket.take(499))
  t.true(bucket.take(500))
  t.false(bucket.take(700))
  t.is(bucket.due(700), 300)
  t.is(bucket.due(700, 2), 1300)
  t.true(bucket.take(10_000))
  t.false(bucket.take(10_000))
  t.true(bucket.take(10_250))
})

test('a token taken late comes no later the next time, where it is late by less than half an interval', t => {
  const bucket = new Bucket(100, 0)
  let taken = 0
  for (let now = 0; now < 10_000; now += 4) if (bucket.take(now)) taken++
  t.true(taken >= 999, String(taken))
})

test('another rate counts what is owed in requests', t => {
  const bucket = new Bucket(1, 0)
  t.true(bucket.take(0))
  bucket.setRate(10, 0)
  t.is(bucket.due(0), 100)
  bucket.setRate(0.1, 0)
  t.is(bucket.due(0), 10_000)
})

test('in any time it gives no more than its rate and two', t => {
  const steps = fc.array(fc.integer({ min: 0, max: 900 }), { maxLength: 200 })
  t.notThrows(() => fc.assert(fc.property(fc.constantFrom(0.3, 1.6, 3, 20, 100), steps, (rate, waits) => {
    const bucket = new Bucket(rate, 0)
    const taken: number[] = []
    let now = 0
    for (const wait of waits) {
      now += wait
      while (bucket.take(now)) taken.push(now)
    }
    return taken.every((from, first) => taken.every((to, last) => last < first || last - first + 1 <= rate * (to - from) / 1000 + 2))
  }), { seed: 11, numRuns: 300 }))
})
