import { connect, createServer } from 'node:net'
import test from 'ava'
import { ManualClock, SystemClock, TurnQueue, seeded } from '../src/index.js'
import { block, blockLoop, loopPhases } from './blocking.js'
import { ViewClock } from './view.js'

test('a manual clock runs due timers in order, and no cancelled timer', t => {
  const clock = new ManualClock()
  const ran: string[] = []
  clock.after(20, () => ran.push('b'))
  clock.after(10, () => ran.push('a'))
  clock.after(15, () => ran.push('never')).cancel()
  const each = clock.every(8, () => ran.push('each'))
  clock.advance(20)
  each.cancel()
  clock.advance(100)
  t.deepEqual(ran, ['each', 'a', 'each', 'b'])
})

test('a suspension of the machine counts in bootNow and wall, but not in now', t => {
  const clock = new ManualClock(1000)
  clock.suspend(500)
  t.deepEqual([clock.now(), clock.bootNow(), clock.wall()], [0, 500, 1500])
})

test('bootNow of the system clock is at least now, and never goes back', t => {
  const clock = new SystemClock()
  let last = clock.bootNow()
  for (let index = 0; index < 10_000; index++) {
    const now = clock.now()
    const bootNow = clock.bootNow()
    t.true(bootNow >= now && bootNow >= last)
    last = bootNow
  }
})

test('timers that become due while a process is paused run when it resumes', t => {
  const clock = new ManualClock()
  const view = new ViewClock(clock, 1.01, 50)
  const ran: number[] = []
  view.after(10, () => ran.push(clock.now()))
  view.pause()
  clock.advance(40)
  t.deepEqual(ran, [])
  view.resume()
  t.deepEqual(ran, [40])
  t.is(view.wall(), 90)
})

test('a seeded random source gives the same numbers on every run', t => {
  const [a, b] = [seeded(7), seeded(7)]
  const first = Array.from({ length: 100 }, a)
  t.deepEqual(first, Array.from({ length: 100 }, b))
  t.true(first.every(each => each >= 0 && each < 1))
})

test('the first numbers of neighbouring seeds fall on both sides of 0.5', t => {
  const firsts = Array.from({ length: 100 }, (_each, index) => seeded(index)())
  t.true(firsts.filter(each => each < 0.5).length > 30)
  t.true(firsts.filter(each => each >= 0.5).length > 30)
})

// Guards against this failure: after a delay of the event loop, time-outs expired although the answer had arrived.
test('a timer that is late runs after the input that arrived before it', async t => {
  const clock = new SystemClock()
  const server = createServer(socket => socket.end('x'))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const socket = connect((server.address() as { port: number }).port, '127.0.0.1')
  const order: string[] = []
  const input = new Promise<void>(resolve => socket.once('data', () => {
    order.push('input')
    resolve()
  }))
  // The server accepts in this thread as well, so it is blocked after it has written.
  server.once('connection', () => setImmediate(() => {
    clock.after(10, () => order.push('timer'))
    block(100)
  }))
  await input
  await clock.wait(50)
  server.close()
  t.deepEqual(order, ['input', 'timer'])
})

// However little the loop was delayed beyond the due time.
for (const phase of loopPhases) {
  for (const overrun of [3, 15, 100]) {
    test.serial(`a time-out that is due ${overrun} ms before the end of a block in the ${phase} phase runs after the input that arrived before it`, async t => {
      const clock = new SystemClock()
      const server = createServer(socket => socket.end('x'))
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      const socket = connect((server.address() as { port: number }).port, '127.0.0.1')
      const order: string[] = []
      socket.once('data', () => order.push('input'))
      server.once('connection', () => {
        clock.after(100, () => order.push('timer'))
        // The connection's bytes are written before the loop reaches the phase.
        blockLoop(phase, 100 + overrun)
      })
      await clock.wait(300)
      server.close()
      t.deepEqual(order, ['input', 'timer'])
    })
  }
}

test('a late timer can be cancelled until its task runs', async t => {
  const clock = new SystemClock()
  let ran = false
  const timer = clock.after(10, () => { ran = true })
  setTimeout(() => timer.cancel(), 10)
  block(100)
  await clock.wait(50)
  t.false(ran)
})

// Guards against: one error in a timer ended the whole process, with all of its requests (FAULT, LOST).
test('a task that throws is reported and ends alone: periodic tasks, the same one too, go on', async t => {
  const errors: string[] = []
  const clock = new SystemClock(error => errors.push(String(error)))
  const others: number[] = []
  const failing = clock.every(5, () => { throw new Error('failed') })
  const other = clock.every(5, () => { others.push(1) })
  while (errors.length < 3 || others.length < 3) await clock.wait(5)
  failing.cancel()
  other.cancel()
  t.true(errors.every(each => each === 'Error: failed'))
})

// Guards against: a delay from a number that another process sent ran its task at once, again and again (FAULT).
for (const delay of [2 ** 31, 1e300, Infinity, NaN]) {
  test(`a task with a delay of ${delay} ms does not run soon`, async t => {
    const clock = new SystemClock()
    let ran = 0
    const timer = clock.every(delay, () => { ran++ })
    await clock.wait(50)
    timer.cancel()
    t.is(ran, 0)
  })
}

test('a turn queue runs a bounded number of tasks in a turn, in order, and the rest in the following turns', t => {
  const clock = new ManualClock()
  const queue = new TurnQueue(clock, 3)
  const ran: number[] = []
  for (let index = 0; index < 8; index++) queue.run(() => ran.push(index))
  t.deepEqual(ran, [0, 1, 2])
  clock.after(0, () => ran.push(-1))
  clock.advance(0)
  t.deepEqual(ran, [0, 1, 2, 3, 4, 5, -1, 6, 7])
  queue.run(() => ran.push(8))
  t.is(ran.at(-1), 8)
})

// Guards against: an error in the delivery to one caller took the deliveries to others with it (LOST).
test('a task of a turn queue that throws leaves the others to the next turn', t => {
  const clock = new ManualClock()
  const queue = new TurnQueue(clock, 3)
  const ran: number[] = []
  for (let index = 0; index < 3; index++) queue.run(() => ran.push(index))
  queue.run(() => { throw new Error('failed') })
  for (const index of [4, 5]) queue.run(() => ran.push(index))
  t.throws(() => clock.advance(0), { message: 'failed' })
  clock.advance(0)
  t.deepEqual(ran, [0, 1, 2, 4, 5])
})

test('a task that adds tasks to its turn queue does not run more of them in its turn than the bound', t => {
  const clock = new ManualClock()
  const queue = new TurnQueue(clock, 2)
  let ran = 0
  const task = (): void => {
    ran++
    if (ran < 6) queue.run(task)
  }
  queue.run(task)
  t.is(ran, 2)
  clock.advance(0)
  t.is(ran, 6)
})
