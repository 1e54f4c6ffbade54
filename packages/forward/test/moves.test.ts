/** Streams whose upstream is silent or is left: they keep its connection until another one has sent the next event. */
import test from 'ava'
import { ScriptedStream, settle } from './moves.js'

/** A stream that got two events from `u0` before that was silent and the stream began to move to `u1`. */
async function movingStream (options: ConstructorParameters<typeof ScriptedStream>[0] = {}): Promise<ScriptedStream> {
  const stream = new ScriptedStream(options)
  await settle()
  stream.call('u0').head().events(1, 2)
  await stream.stall('u0')
  return stream
}

// Guards against a connection that is given up although its next event is on its way.
test('a silence that ends before the next attempt has sent an event costs the stream nothing', async t => {
  const stream = await movingStream()
  t.is(stream.call('u1').lastEvent, '2')
  t.deepEqual(stream.inFlight.counts, { u0: 1, u1: 1 })
  t.deepEqual(stream.request.currentUpstreams, ['u0', 'u1'])
  stream.call('u1').head()
  stream.call('u0').events(3, 3)
  t.true(stream.call('u1').isClosed)
  await settle()
  t.deepEqual(stream.inFlight.counts, { u0: 1 })
  stream.call('u0').events(4, 4).end()
  await stream.served
  t.deepEqual(stream.received, [1, 2, 3, 4])
  t.is(stream.outcome, 'answered 200')
  t.deepEqual(stream.attempts, ['u1 cancelled (u0 went on) after event 3', 'u0 passed (went on after a move: the upstream stalled) after event 4'])
  t.is(stream.broken, 0)
  t.deepEqual(stream.inFlight.counts, {})
})

// Guards against events that arrive twice or from two runs.
test('a stream goes on at the next upstream once that has sent an event, without the incomplete event of the first', async t => {
  const stream = await movingStream()
  stream.call('u0').part('id: 3\ndata: xx')
  stream.call('u1').head().events(3, 3)
  t.true(stream.call('u0').isClosed)
  stream.call('u0').part('xx\n\n')
  stream.call('u1').events(4, 4).end()
  await stream.served
  t.deepEqual(stream.received, [1, 2, 3, 4])
  t.is(stream.outcome, 'answered 200')
  t.deepEqual(stream.attempts, ['u0 cancelled (u1 went on, moving: the upstream stalled) after event 2', 'u1 passed after event 4'])
  t.is(stream.broken, 0)
})

// Guards against events that both upstreams sent.
test('a stream that returns to its first upstream gets no event twice', async t => {
  const stream = await movingStream()
  stream.call('u1').head().part('id: 3\nda')
  stream.call('u0').events(1, 3)
  await settle()
  stream.call('u0').events(4, 4).end()
  await stream.served
  t.deepEqual(stream.received, [1, 2, 3, 4])
})

// Guards against streams that end with the second attempt although the first lives.
for (const [title, fail] of [
  ['is refused', call => call.refuse(503)],
  ['is refused by a status alone', call => call.head(429).end()],
  ['is lost', call => call.head().break()]
] as Array<[string, (call: ReturnType<ScriptedStream['call']>) => void]>) {
  test(`a stream whose next attempt ${title} goes on at its first upstream`, async t => {
    const stream = await movingStream({ attempts: 2 })
    fail(stream.call('u1'))
    await settle()
    t.is(stream.outcome, undefined)
    t.deepEqual(stream.inFlight.counts, { u0: 1 })
    stream.call('u0').events(3, 3).end()
    await stream.served
    t.deepEqual(stream.received, [1, 2, 3])
    t.is(stream.outcome, 'answered 200')
  })
}

// Guards against streams that wait for a silent upstream although another one has room.
test('a stream whose next attempt was refused moves once more while its upstream is silent', async t => {
  const stream = await movingStream()
  stream.call('u1').refuse(503)
  await settle()
  await stream.stall('u0')
  stream.call('u2').head().events(3, 3).end()
  await stream.served
  t.deepEqual(stream.received, [1, 2, 3])
  t.is(stream.outcome, 'answered 200')
})

// Guards against streams that end because the room that they were to move to was taken meanwhile.
test('a stream that finds no room at another upstream goes on at its first one, during the search and after it', async t => {
  for (const isDuringSearch of [true, false]) {
    const stream = new ScriptedStream({ upstreams: 2 })
    await settle()
    stream.call('u0').head().events(1, 2)
    const moved = stream.stall('u0')
    stream.upstreams = 1
    await moved
    t.false(stream.calls.has('u1'))
    if (!isDuringSearch) {
      stream.clock.advance(900)
      await settle()
      t.is(stream.outcome, undefined)
    }
    stream.call('u0').events(3, 3)
    stream.upstreams = 2
    await settle()
    stream.call('u0').events(4, 4).end()
    await stream.served
    t.deepEqual(stream.received, [1, 2, 3, 4])
    t.is(stream.outcome, 'answered 200')
    t.false(stream.calls.has('u1'))
  }
})

// Guards against streams that end with a silent upstream although they are under way elsewhere.
test('a stream whose first upstream crashes while it moves goes on alone at the next one', async t => {
  const stream = await movingStream()
  stream.call('u0').break()
  await settle()
  t.is(stream.outcome, undefined)
  t.is(stream.broken, 1)
  stream.call('u1').head().events(3, 3).end()
  await stream.served
  t.deepEqual(stream.received, [1, 2, 3])
  t.is(stream.outcome, 'answered 200')
})

// Guards against streams that are given up, or tried without end, after both attempts have failed.
test('a stream whose two attempts both fail is tried again only while tries are left', async t => {
  for (const [attempts, outcome] of [[2, 'cut'], [3, 'answered 200']] as const) {
    const stream = await movingStream({ attempts })
    stream.call('u1').head().break()
    await settle()
    stream.call('u0').break()
    await settle()
    if (attempts === 3) stream.call('u2').head().events(3, 3).end()
    await stream.served
    t.is(stream.outcome, outcome)
  }
})

// Guards against an upstream that works on for an answer that is whole.
test('a stream that ends at its first upstream while it moves cancels the next attempt', async t => {
  const stream = await movingStream()
  stream.call('u0').end()
  t.true(stream.call('u1').isClosed)
  await stream.served
  t.is(stream.outcome, 'answered 200')
  t.deepEqual(stream.inFlight.counts, {})
})

// Guards against upstreams that work on for a caller that has left.
test('a caller that leaves ends both attempts at once', async t => {
  const stream = await movingStream()
  stream.request.response.emit('close')
  t.true(stream.call('u0').isClosed && stream.call('u1').isClosed)
  t.deepEqual(stream.inFlight.counts, {})
  await stream.served
  t.is(stream.outcome, 'caller left')
})

// Guards against upstreams that work on after the deadline.
test('the deadline ends both attempts at once', async t => {
  const stream = await movingStream()
  stream.clock.advance(1000)
  t.true(stream.call('u0').isClosed && stream.call('u1').isClosed)
  t.deepEqual(stream.inFlight.counts, {})
  await stream.served
  t.not(stream.outcome, undefined)
})

// Guards against streams that leave an upstream for the last time because of a silence.
test('a stream without a try left, without a retry left, or that may not be resumed stays where it is', async t => {
  for (const options of [{ attempts: 1 }, { retries: 0 }, { resumable: false }, { upstreams: 1 }]) {
    const stream = await movingStream(options)
    t.false(stream.calls.has('u1'), JSON.stringify(options))
    stream.call('u0').events(3, 3).end()
    await stream.served
    t.deepEqual(stream.received, [1, 2, 3])
  }
})

// Guards against a sound first attempt that is given up because the next upstream is silent too, and against three at once.
test('a stream whose next upstream is silent too keeps both, and goes on at the first to send', async t => {
  const stream = await movingStream()
  await stream.stall('u1')
  t.deepEqual(stream.inFlight.counts, { u0: 1, u1: 1 })
  stream.call('u0').events(3, 3).end()
  await stream.served
  t.true(stream.call('u1').isClosed)
  t.deepEqual(stream.received, [1, 2, 3])
})

// Guards against the head of one upstream before the events of another one.
test('an upstream whose head is sent to the caller while the stream moves is the one that goes on', async t => {
  const stream = new ScriptedStream()
  await settle()
  await stream.stall('u0')
  stream.call('u1').head()
  t.true(stream.call('u0').isClosed)
  stream.call('u1').events(1, 3).end()
  await stream.served
  t.deepEqual(stream.received, [1, 2, 3])
})

// Guards against evacuations that move nothing, since an upstream that works sends the next event first.
test('a stream that leaves an upstream that works is held there, and goes on at the next one', async t => {
  const stream = new ScriptedStream()
  await settle()
  stream.call('u0').head().events(1, 2)
  t.true(await stream.evacuate('u0'))
  t.false(await stream.evacuate('u0'))
  t.true(stream.call('u0').isPaused)
  stream.call('u0').events(3, 4)
  t.deepEqual(stream.received, [1, 2])
  stream.call('u1').head().events(3, 5).end()
  await stream.served
  t.true(stream.call('u0').isClosed)
  t.deepEqual(stream.received, [1, 2, 3, 4, 5])
})

// Guards against evacuations that end streams which find no other upstream.
test('a stream that was to leave an upstream that works goes on there if the next attempt fails', async t => {
  const stream = new ScriptedStream()
  await settle()
  stream.call('u0').head().events(1, 2)
  await stream.evacuate('u0')
  stream.call('u0').events(3, 4)
  stream.call('u1').refuse(503)
  await settle()
  t.false(stream.call('u0').isPaused)
  t.deepEqual(stream.received, [1, 2, 3, 4])
  stream.call('u0').events(5, 5).end()
  await stream.served
  t.deepEqual(stream.received, [1, 2, 3, 4, 5])
  t.is(stream.outcome, 'answered 200')
})

// Guards against slow callers whose upstream is never read again after a move.
test('a slow caller pauses the attempt that goes on, and it is read again when the caller reads', async t => {
  for (const winner of ['u0', 'u1']) {
    const stream = await movingStream()
    stream.call('u1').head()
    stream.isSlow = true
    stream.call(winner).events(3, 8, 10_000)
    await settle()
    t.true(stream.call(winner).isPaused, winner)
    await stream.read()
    t.false(stream.call(winner).isPaused, winner)
    stream.call(winner).events(9, 9).end()
    await stream.served
    t.deepEqual(stream.received, [1, 2, 3, 4, 5, 6, 7, 8, 9])
  }
})

// Guards against streams that lose the answer of an upstream whose caller was slow before the move.
test('a stream that was paused for its caller before it moved is read on when its next attempt has failed', async t => {
  const stream = new ScriptedStream()
  await settle()
  stream.isSlow = true
  stream.call('u0').head().events(1, 6, 10_000)
  await stream.stall('u0')
  stream.call('u1').refuse(503)
  await settle()
  t.true(stream.call('u0').isPaused)
  await stream.read()
  t.false(stream.call('u0').isPaused)
  stream.call('u0').events(7, 7).end()
  await stream.served
  t.deepEqual(stream.received, [1, 2, 3, 4, 5, 6, 7])
})
