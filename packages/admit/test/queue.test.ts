import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Queue, type Admission } from '../src/index.js'

const far = 1_000_000

interface Made {
  readonly clock: ManualClock
  readonly queue: Queue
  readonly log: string[]
}

function make (concurrency: number, size: number, priorities: Readonly<Record<string, number>> = {}): Made {
  const clock = new ManualClock()
  const queue = new Queue(clock, { concurrency, queue: size })
  queue.configure({ concurrency, queue: size }, new Map(Object.entries(priorities)))
  return { clock, queue, log: [] }
}

function name (admission: Admission): string {
  return admission.isOk() ? 'admitted' : admission.error.code
}

/** Enters and notes the outcome when it settles. */
function enter ({ queue, log }: Made, team: string, deadline = far): void {
  queue.enter({ team, deadline }).then(admission => log.push(`${team} ${name(admission)}`))
}

async function settle (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

test('so many run, so many wait, and the next is refused at once with a time to come back', async t => {
  const made = make(1, 1)
  enter(made, 'a')
  enter(made, 'a')
  const refused = (await made.queue.enter({ team: 'a', deadline: far })).unwrapErr()
  t.deepEqual([refused.code, refused.outcome], ['busy', 'not-run'])
  t.true((refused.retryAfter ?? 0) >= 1)
  t.deepEqual([made.queue.running, made.queue.waiting], [1, 1])
})

test('a free place goes to the team with least running for its priority', async t => {
  const made = make(4, 10, { large: 1, small: 3 })
  const tickets = await Promise.all(Array.from({ length: 4 }, () => made.queue.enter({ team: 'large', deadline: far })))
  for (let index = 0; index < 3; index++) {
    enter(made, 'large')
    enter(made, 'small')
  }
  for (const ticket of tickets) {
    ticket.unwrap().done()
    await settle()
  }
  t.deepEqual(made.log, ['small admitted', 'small admitted', 'small admitted', 'large admitted'])
})

test('in a full queue a team below its share takes the place of the newest waiter of the one furthest above', async t => {
  const made = make(1, 2, { large: 1, small: 1 })
  for (let index = 0; index < 3; index++) enter(made, 'large')
  enter(made, 'small')
  await settle()
  t.deepEqual(made.log, ['large admitted', 'large busy'])
  enter(made, 'small')
  await settle()
  t.deepEqual(made.log.slice(2), ['small busy'])
})

test('a waiter whose deadline passes is refused at that moment, and one that is late already at once', async t => {
  const made = make(1, 5)
  enter(made, 'a')
  enter(made, 'a', 100)
  enter(made, 'a', 0)
  await settle()
  t.deepEqual(made.log, ['a admitted', 'a deadline'])
  made.clock.advance(99)
  await settle()
  t.is(made.log.length, 2)
  made.clock.advance(1)
  await settle()
  t.deepEqual(made.log.slice(2), ['a deadline'])
  t.is(made.queue.waiting, 0)
})

test('a closed queue refuses what waits and what comes, and lets what runs go on', async t => {
  const made = make(1, 5)
  const ticket = (await made.queue.enter({ team: 'a', deadline: far })).unwrap()
  enter(made, 'a')
  made.queue.close('leaving')
  enter(made, 'a')
  await settle()
  t.deepEqual(made.log, ['a leaving', 'a leaving'])
  t.is(made.queue.running, 1)
  ticket.done()
  ticket.done()
  t.is(made.queue.running, 0)
  made.queue.open()
  t.true((await made.queue.enter({ team: 'a', deadline: far })).isOk())
})

/** A queue of one place that was held for 1 s before, with `waiting` requests of team `a` in it. */
async function busy (waiting: number, priorities: Readonly<Record<string, number>> = {}): Promise<Made> {
  const made = make(1, 100, priorities)
  const first = (await made.queue.enter({ team: 'a', deadline: far })).unwrap()
  made.clock.advance(1000)
  first.done()
  for (let index = 0; index <= waiting; index++) enter(made, 'a')
  await settle()
  return made
}

interface Expected {
  readonly title: string
  readonly waiting: number
  readonly team: string
  /** The time that the request has, in ms. */
  readonly left: number
  readonly outcome: string
}

const expected: readonly Expected[] = [
  { title: 'has time for those before it', waiting: 4, team: 'a', left: 8000, outcome: 'waits' },
  { title: 'would wait for more than half of its time', waiting: 4, team: 'a', left: 7999, outcome: 'busy, not-run' },
  { title: 'is the first of a team with as much priority', waiting: 4, team: 'b', left: 100, outcome: 'waits' },
  { title: 'has nobody before it', waiting: 0, team: 'a', left: 1, outcome: 'waits' }
]

for (const { title, waiting, team, left, outcome } of expected) {
  test(`a request that ${title}: ${outcome}`, async t => {
    const made = await busy(waiting)
    const entering = made.queue.enter({ team, deadline: made.clock.now() + left })
    const now = await Promise.race([entering, settle()])
    t.is(now === undefined ? 'waits' : `${now.unwrapErr().code}, ${now.unwrapErr().outcome}`, outcome)
  })
}

test('a team with a small share is told at once when its own queue is too long, while another team still waits', async t => {
  const made = await busy(0, { large: 9, small: 1, a: 1 })
  for (let index = 0; index < 5; index++) enter(made, 'large')
  for (let index = 0; index < 5; index++) enter(made, 'small')
  await settle()
  const deadline = made.clock.now() + 30_000
  t.is(name(await made.queue.enter({ team: 'small', deadline })), 'busy')
  enter(made, 'large', deadline)
  await settle()
  t.deepEqual(made.log.filter(each => each.startsWith('large')), [])
})

test('before any place has come free nothing is known, and requests wait', async t => {
  const made = make(1, 100)
  for (let index = 0; index < 10; index++) enter(made, 'a', 10)
  await settle()
  t.is(made.queue.waiting, 9)
})
