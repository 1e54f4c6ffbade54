/** How long an upstream that refuses requests is left out, refusal by refusal. */
import test from 'ava'
import { Backoff } from '../src/index.js'

test('the second consecutive refusal starts a pause, which doubles with each further refusal up to 0.8 s', t => {
  const backoff = new Backoff()
  const pauses: number[] = []
  for (let now = 0; pauses.length < 8; now += 2 + (pauses.at(-1) ?? 0)) pauses.push(backoff.recordRefusal('a', now, now + 1))
  t.deepEqual(pauses, [0, 100, 200, 400, 800, 800, 800, 800])
  t.is(backoff.recordRefusal('b', 0, 1), 0)
})

test('an accepted request resets the count of refusals', t => {
  const backoff = new Backoff()
  t.is(backoff.recordRefusal('a', 0, 1), 0)
  t.is(backoff.recordRefusal('a', 2, 3), 100)
  backoff.recordAcceptance('a')
  t.is(backoff.recordRefusal('a', 400, 401), 0)
  t.is(backoff.recordRefusal('a', 402, 403), 100)
})

test('refusals of requests that were on their way together count once', t => {
  const backoff = new Backoff()
  t.is(backoff.recordRefusal('a', 0, 5), 0)
  t.is(backoff.recordRefusal('a', 1, 6), 0)
  t.is(backoff.recordRefusal('a', 6, 8), 100)
  t.is(backoff.recordRefusal('a', 7, 200), 0)
  t.is(backoff.recordRefusal('a', 201, 202), 200)
})

test('a refusal long after the last one counts as a first one', t => {
  const backoff = new Backoff()
  t.is(backoff.recordRefusal('a', 0, 1), 0)
  t.is(backoff.recordRefusal('a', 200, 201), 100)
  t.is(backoff.recordRefusal('a', 15_202, 15_202), 0)
})
