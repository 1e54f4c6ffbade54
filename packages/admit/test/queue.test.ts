/** The admission queue: its bounds, the order between teams, evictions, deadlines and the expected wait. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Queue, type Admission } from '../src/index.js'

const far = 1_000_000

interface Fixture {
  readonly clock: ManualClock
  readonly queue: Queue
  readonly log: string[]
}

function createFixture (concurrency: number, size: number, priorities: Readonly<Record<string, number>> = {}): Fixture {
  const clock = new ManualClock()
  const queue = new Queue(clock, { concurrency, queue: size })
  queue.configure({ concurrency, queue: size }, new Map(Object.entries(priorities)))
  return { clock, queue, log: [] }
}

function name (admission: Admission): string {
  return admission.isOk() ? 'admitted' : admission.error.code
}

/** Enters a request and logs the result when it settles. */
function enter ({ queue, log }: Fixture, team: string, deadline = far): void {
  queue.enter({ team, deadline }).then(admission => log.push(`${team} ${name(admission)}`))
}

async function settle (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

test('with all places and the queue full, the next request is refused at once with a Retry-After', async t => {
  const fixture = createFixture(1, 1)
  enter(fixture, 'a')
  enter(fixture, 'a')
  const refused = (await fixture.queue.enter({ team: 'a', deadline: far })).unwrapErr()
  t.deepEqual([refused.code, refused.outcome], ['busy', 'not-run'])
  t.true((refused.retryAfter ?? 0) >= 1)
  t.deepEqual([fixture.queue.running, fixture.queue.waiting], [1, 1])
})

test('a free place goes to the team with the fewest running requests relative to its priority', async t => {
  const fixture = createFixture(4, 10, { large: 1, small: 3 })
  const tickets = await Promise.all(Array.from({ length: 4 }, () => fixture.queue.enter({ team: 'large', deadline: far })))
  for (let index = 0; index < 3; index++) {
    enter(fixture, 'large')
    enter(fixture, 'small')
  }
  for (const ticket of tickets) {
    ticket.unwrap().done()
    await settle()
  }
  t.deepEqual(fixture.log, ['small admitted', 'small admitted', 'small admitted', 'large admitted'])
})

test('in a full queue, a request of a team below its share replaces the newest one of the team furthest above its share', async t => {
  const fixture = createFixture(1, 2, { large: 1, small: 1 })
  for (let index = 0; index < 3; index++) enter(fixture, 'large')
  enter(fixture, 'small')
  await settle()
  t.deepEqual(fixture.log, ['large admitted', 'large busy'])
  enter(fixture, 'small')
  await settle()
  t.deepEqual(fixture.log.slice(2), ['small busy'])
})

test('a waiting request is refused when its deadline passes, and a request past its deadline is refused at once', async t => {
  const fixture = createFixture(1, 5)
  enter(fixture, 'a')
  enter(fixture, 'a', 100)
  enter(fixture, 'a', 0)
  await settle()
  t.deepEqual(fixture.log, ['a admitted', 'a deadline'])
  fixture.clock.advance(99)
  await settle()
  t.is(fixture.log.length, 2)
  fixture.clock.advance(1)
  await settle()
  t.deepEqual(fixture.log.slice(2), ['a deadline'])
  t.is(fixture.queue.waiting, 0)
})

test('a closed queue refuses waiting and new requests, and running requests continue', async t => {
  const fixture = createFixture(1, 5)
  const ticket = (await fixture.queue.enter({ team: 'a', deadline: far })).unwrap()
  enter(fixture, 'a')
  fixture.queue.close('leaving')
  enter(fixture, 'a')
  await settle()
  t.deepEqual(fixture.log, ['a leaving', 'a leaving'])
  t.is(fixture.queue.running, 1)
  ticket.done()
  ticket.done()
  t.is(fixture.queue.running, 0)
  fixture.queue.open()
  t.true((await fixture.queue.enter({ team: 'a', deadline: far })).isOk())
})

/** A queue with one place, a hold time of 1 s, and `waiting` waiting requests of team `a`. */
async function busy (waiting: number, priorities: Readonly<Record<string, number>> = {}): Promise<Fixture> {
  const fixture = createFixture(1, 100, priorities)
  const first = (await fixture.queue.enter({ team: 'a', deadline: far })).unwrap()
  fixture.clock.advance(1000)
  first.done()
  for (let index = 0; index <= waiting; index++) enter(fixture, 'a')
  await settle()
  return fixture
}

interface Expected {
  readonly title: string
  readonly waiting: number
  readonly team: string
  /** Time until the deadline of the request, in ms. */
  readonly left: number
  readonly outcome: string
}

const expected: readonly Expected[] = [
  { title: 'has time to wait for those before it', waiting: 4, team: 'a', left: 8000, outcome: 'waits' },
  { title: 'would wait for more than half of its time', waiting: 4, team: 'a', left: 7999, outcome: 'busy, not-run' },
  { title: 'is the first of a team with equal priority', waiting: 4, team: 'b', left: 100, outcome: 'waits' },
  { title: 'has no other request before it', waiting: 0, team: 'a', left: 1, outcome: 'waits' }
]

for (const { title, waiting, team, left, outcome } of expected) {
  test(`a request that ${title}: ${outcome}`, async t => {
    const fixture = await busy(waiting)
    const entering = fixture.queue.enter({ team, deadline: fixture.clock.now() + left })
    const now = await Promise.race([entering, settle()])
    t.is(now === undefined ? 'waits' : `${now.unwrapErr().code}, ${now.unwrapErr().outcome}`, outcome)
  })
}

test('a request of a team with a small share is refused at once if its team has too many waiting requests, while a request of another team still waits', async t => {
  const fixture = await busy(0, { large: 9, small: 1, a: 1 })
  for (let index = 0; index < 5; index++) enter(fixture, 'large')
  for (let index = 0; index < 5; index++) enter(fixture, 'small')
  await settle()
  const deadline = fixture.clock.now() + 30_000
  t.is(name(await fixture.queue.enter({ team: 'small', deadline })), 'busy')
  enter(fixture, 'large', deadline)
  await settle()
  t.deepEqual(fixture.log.filter(each => each.startsWith('large')), [])
})

test('before the first place is returned no hold time is known, and requests wait', async t => {
  const fixture = createFixture(1, 100)
  for (let index = 0; index < 10; index++) enter(fixture, 'a', 10)
  await settle()
  t.is(fixture.queue.waiting, 9)
})
