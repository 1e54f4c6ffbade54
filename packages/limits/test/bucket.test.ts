/** The token bucket of one upstream: in any time T it gives no more than its rate allows plus one and a half tokens. */
import test from 'ava'
import fc from 'fast-check'
import { TokenBucket } from '../src/index.js'

test('tokens come at the rate, and an idle bucket saves one token and a half', t => {
  const bucket = new TokenBucket(2, 500)
  t.false(bucket.take(499))
  t.true(bucket.take(500))
  t.false(bucket.take(700))
  t.is(bucket.waitTime(700), 300)
  t.is(bucket.waitTime(700, 2), 1300)
  t.true(bucket.take(10_000))
  t.false(bucket.take(10_000))
  t.true(bucket.take(10_250))
})

test('a token taken late does not delay the next one if it is late by less than half an interval', t => {
  const bucket = new TokenBucket(100, 0)
  let taken = 0
  for (let now = 0; now < 10_000; now += 4) if (bucket.take(now)) taken++
  t.true(taken >= 999, String(taken))
})

test('a change of the rate does not change the number of tokens that were taken in advance', t => {
  const bucket = new TokenBucket(1, 0)
  t.true(bucket.take(0))
  bucket.setRate(10, 0)
  t.is(bucket.waitTime(0), 100)
  bucket.setRate(0.1, 0)
  t.is(bucket.waitTime(0), 10_000)
})

test('in any time the bucket gives no more tokens than its rate allows plus two', t => {
  const steps = fc.array(fc.integer({ min: 0, max: 900 }), { maxLength: 200 })
  t.notThrows(() => fc.assert(fc.property(fc.constantFrom(0.3, 1.6, 3, 20, 100), steps, (rate, waits) => {
    const bucket = new TokenBucket(rate, 0)
    const taken: number[] = []
    let now = 0
    for (const wait of waits) {
      now += wait
      while (bucket.take(now)) taken.push(now)
    }
    return taken.every((from, first) => taken.every((to, last) => last < first || last - first + 1 <= rate * (to - from) / 1000 + 2))
  }), { seed: 11, numRuns: 300 }))
})
