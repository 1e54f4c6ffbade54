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
