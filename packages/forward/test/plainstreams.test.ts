/** Streams at a plain service: what they count for, and what is learnt of its upstreams. */
import test from 'ava'
import { ScriptedStream, settle } from './moves.js'

// Guards against names that callers invent and that fill the counts of models, which go to all gateways.
test('a stream at a plain service counts for no model, whatever model its caller names', async t => {
  const stream = new ScriptedStream({ model: 'invented' })
  await settle()
  t.deepEqual(stream.inFlight.models, { '': 1 })
})

// Guards against a plain upstream that breaks each stream at once, has the least load for it and gets most requests.
test('the ends of streams at a plain service are observed, so that an upstream that fails them is avoided', async t => {
  const stream = new ScriptedStream()
  await settle()
  stream.call('u0').head().events(1, 1)
  stream.call('u0').break()
  await settle()
  stream.call('u1').head().events(2, 3).end()
  await stream.served
  t.deepEqual(stream.observed, ['u0 failed', 'u1 succeeded'])
})

// Guards against a sound upstream that counts as failed because its stream went on elsewhere.
test('a stream that another upstream continues is not observed at the first one', async t => {
  const stream = new ScriptedStream()
  await settle()
  stream.call('u0').head().events(1, 1)
  await stream.stall('u0')
  stream.call('u1').head().events(2, 3).end()
  await stream.served
  t.deepEqual(stream.observed, ['u1 succeeded'])
})
