/** The maximum wait of a request, the decision to move a stalled stream, and the content of each refusal. */
import test from 'ava'
import { mayMove, preferredResult, refusals, waitForRoom, type AttemptResult } from '../src/index.js'

test('before its first attempt a request waits for at most 0.22 of its objective and never past its deadline', t => {
  for (const path of ['plain', 'stream'] as const) {
    t.is(waitForRoom({ path, attempted: false, upstreams: 2, timeUntilAvailable: 0, objective: 500, timeLeft: 6000 }), 110)
    t.is(waitForRoom({ path, attempted: false, upstreams: 2, timeUntilAvailable: 0, objective: 500, timeLeft: 30 }), 30)
  }
})

test('without upstreams a request does not wait for its first attempt, and a stream that was sent before still waits', t => {
  for (const path of ['plain', 'stream'] as const) t.is(waitForRoom({ path, attempted: false, upstreams: 0, timeUntilAvailable: 0, objective: 500, timeLeft: 6000 }), 0)
  t.is(waitForRoom({ path: 'stream', attempted: true, upstreams: 0, timeUntilAvailable: 0, objective: 500, timeLeft: 6000 }), 1500)
})

test('after an attempt a plain request does not wait, and a stream waits for at most 1500 ms and never past its deadline', t => {
  t.is(waitForRoom({ path: 'plain', attempted: true, upstreams: 2, timeUntilAvailable: 0, objective: 500, timeLeft: 6000 }), 0)
  t.is(waitForRoom({ path: 'stream', attempted: true, upstreams: 2, timeUntilAvailable: 0, objective: 500, timeLeft: 6000 }), 1500)
  t.is(waitForRoom({ path: 'stream', attempted: true, upstreams: 2, timeUntilAvailable: 0, objective: 500, timeLeft: 30 }), 30)
})

test('if all upstreams rest, a request waits only if the first rest ends within its maximum wait', t => {
  const first = { path: 'plain', attempted: false, upstreams: 2, objective: 500, timeLeft: 6000 } as const
  t.is(waitForRoom({ ...first, timeUntilAvailable: 100 }), 110)
  t.is(waitForRoom({ ...first, timeUntilAvailable: 111 }), 0)
  t.is(waitForRoom({ ...first, timeUntilAvailable: 100, timeLeft: 90 }), 0)
  t.is(waitForRoom({ ...first, path: 'stream', attempted: true, timeUntilAvailable: 1500 }), 1500)
  t.is(waitForRoom({ ...first, path: 'stream', attempted: true, timeUntilAvailable: 1501 }), 0)
})

test('if all upstreams rest or are limited, Retry-After is spread over half a second from the end of the first rest or limit on', t => {
  t.is(refusals.resting(1500, 0).retryAfter, 1.5)
  t.is(refusals.resting(1500, 0.5).retryAfter, 1.75)
  t.true((refusals.resting(1, 0.999).retryAfter ?? 9) <= 0.501)
  t.is(refusals.resting(1500, 0).status, 429)
  t.is(refusals.resting(1500, 0).outcome, 'not-run')
  t.is(refusals.limited(1500, 0.5).retryAfter, 1.75)
  t.is(refusals.limited(undefined, 0.5).retryAfter, 0.9)
  t.is(refusals.limited(1500, 0).outcome, 'not-run')
})

test('a stalled stream may be moved only if its request may run again and attempts and retries are left', t => {
  t.true(mayMove({ repeatable: true, hasAttemptsLeft: true, retriesLeft: 1 }))
  t.false(mayMove({ repeatable: false, hasAttemptsLeft: true, retriesLeft: 1 }))
  t.false(mayMove({ repeatable: true, hasAttemptsLeft: false, retriesLeft: 1 }))
  t.false(mayMove({ repeatable: true, hasAttemptsLeft: true, retriesLeft: 0 }))
})

test('the preferred result is the latest answer, and a later attempt without an answer does not hide that a request may have run', t => {
  const answered: AttemptResult = { kind: 'answered', status: 503, headers: {}, body: Buffer.alloc(0) }
  const lost: AttemptResult = { kind: 'lost', why: '' }
  const notRun: AttemptResult = { kind: 'not-run', why: '', sent: true }
  t.is(preferredResult(undefined, notRun), notRun)
  for (const before of [answered, lost, notRun]) {
    const later: AttemptResult = { ...answered, status: 500 }
    t.is(preferredResult(before, later), later)
  }
  for (const latest of [{ ...lost }, { ...notRun }]) {
    t.is(preferredResult(answered, latest), answered)
    t.is(preferredResult(lost, latest), lost)
    t.is(preferredResult(notRun, latest), latest)
  }
})

test('each refusal has the expected code, status, outcome, Retry-After and remedy', t => {
  const all = [
    refusals.behind(),
    refusals.behind('Why.'),
    refusals.leaving(),
    refusals.headerTooLarge(),
    refusals.badRequest('Why.'),
    refusals.unknownPath(),
    refusals.badKey('x-key'),
    refusals.upstreamDown('Why.'),
    refusals.noRoom(0),
    refusals.noRoom(2),
    refusals.lost('it broke'),
    refusals.deadline(false),
    refusals.deadline(true)
  ]
  t.deepEqual(all.map(({ code, status, outcome, retryAfter, message }) => `${code} ${status} ${outcome} ${retryAfter ?? '-'} ${message}`), [
    'behind 503 not-run 0.2 Send the request again; another gateway has the present configuration.',
    'behind 503 not-run 0.2 Why. Send the request again; another gateway has the present configuration.',
    'leaving 503 not-run 0.2 Send the request again; another process will take it.',
    'header-too-large 431 not-run - Send fewer or shorter headers.',
    'bad-request 400 not-run - Why. Correct the request as the message says and send it again.',
    'unknown-path 404 not-run - No route fits the host and path. Use the host and the path of a route in the configuration.',
    'bad-key 401 not-run - Send the key of a team in the configuration in the header x-key.',
    'upstream-down 503 not-run 0.3 Why. Come back after the time given; the upstream takes no connections.',
    'no-replica 503 not-run 1.8 Come back after the time given; no replica is serving now.',
    'busy 429 not-run 0.9 Come back after the time given; all replicas that could serve this are full.',
    'lost 502 unknown - it broke. Look up whether the request ran before you send it again.',
    'deadline 504 not-run 1 Give a later deadline, as far as the time limit of the route allows, or come back when there is less load.',
    'deadline 504 unknown 1 Look up whether the request ran before you send it again.'
  ])
})
