/** When new connections are closed unread: in the model, a process accepts one connection in each turn of its loop. */
import test from 'ava'
import { StandingQueue } from '../src/index.js'

/** How long connections may queue, in ms. */
const maxWait = 250

/** Processor time that the model takes to serve a request, and to close a connection unread, in ms. */
const serveTime = 4
const closeTime = 0.05

/** How long callers wait, in ms. */
const patience = 2000

interface Outcome {
  /** Requests that were read, and those of them that were served within the patience of their callers. */
  readonly read: number
  readonly served: number
  readonly closed: number
  /** Longest time between two requests that were read, in ms. */
  readonly longestGap: number
}

interface Load {
  /** Arrivals as a multiple of what the process can serve. */
  readonly load: number
  readonly duration?: number
  /** Time that open connections take in each turn, in ms. */
  readonly otherWork?: number
  readonly limited?: boolean
}

/** Serves connections that arrive at equal intervals. */
function serve ({ load, duration = 10_000, otherWork = 0, limited = true }: Load): Outcome {
  const queue = new StandingQueue(limited ? maxWait : Infinity)
  const interval = serveTime / load
  const probes: number[] = []
  let [now, arrived, read, served, closed, readAt, longestGap] = [0, 0, 0, 0, 0, 0, 0]
  while (now < duration) {
    now += otherWork
    const arrivedAt = arrived * interval
    if (probes.length > 0 && probes[0] < arrivedAt) {
      probes.shift()
      queue.probeAccepted()
      now += closeTime
      continue
    }
    const isEmpty = arrivedAt > now
    queue.observe(isEmpty, now)
    if (!isEmpty && queue.wantsProbe(now)) {
      queue.probe(now)
      probes.push(now)
    }
    if (isEmpty) {
      now = otherWork > 0 ? now + closeTime : arrivedAt
      continue
    }
    arrived++
    if (queue.isOverloaded) {
      closed++
      now += closeTime
      continue
    }
    now += serveTime
    longestGap = Math.max(longestGap, now - readAt)
    readAt = now
    read++
    if (now - arrivedAt <= patience) served++
  }
  return { read, served, closed, longestGap }
}

/** Requests that the process can serve in 10 s. */
const capacity = 10_000 / serveTime

for (const load of [0.5, 0.9, 0.97]) {
  test(`at ${load} times what the process can serve, no connection is closed`, t => {
    t.is(serve({ load }).closed, 0)
  })
}

for (const load of [1.5, 2, 4, 13]) {
  test(`at ${load} times what the process can serve, it serves all that it reads, and nearly as much as it can`, t => {
    const { read, served, longestGap } = serve({ load })
    t.log({ read, served, longestGap })
    t.is(served, read)
    t.true(served >= 0.75 * capacity)
    t.true(longestGap < 4 * maxWait)
  })

  test(`without a limit, at ${load} times what the process can serve, most requests are read after their callers have given up`, t => {
    const { read, served } = serve({ load, limited: false })
    t.true(served < 0.7 * read)
  })
}

test('connections are read again after a second at the latest while other work leaves no time to empty the queue', t => {
  const { read, longestGap } = serve({ load: 13, otherWork: 20 })
  t.true(read > 0)
  t.true(longestGap <= 4 * maxWait + 50, `${longestGap}`)
})

test('a burst that the process serves within the accepted wait is read as a whole', t => {
  const queue = new StandingQueue(maxWait)
  for (let now = 0; now < maxWait; now += 5) {
    queue.observe(false, now)
    t.false(queue.isOverloaded)
  }
  queue.observe(true, maxWait)
  queue.observe(false, maxWait + 1)
  t.false(queue.isOverloaded)
})

// Guards against the time without an empty queue as a measure of the wait, by which such a burst was closed.
test('a burst in which no connection waits for too long is read as a whole, however long it takes', t => {
  t.is(serve({ load: 1.1, duration: 8 * maxWait }).closed, 0)
})

test('what is closed has waited for longer than accepted, and connections behind it are read', t => {
  const queue = new StandingQueue(maxWait)
  queue.observe(false, 0)
  queue.probe(30)
  queue.observe(false, 30 + maxWait)
  t.false(queue.isOverloaded)
  queue.probe(200)
  queue.observe(false, 31 + maxWait)
  t.true(queue.isOverloaded)
  queue.probeAccepted()
  queue.observe(false, 210)
  t.false(queue.isOverloaded)
})

/** A queue with a probe that has waited for longer than a burst may, and a pause of the process within that time. */
function pausedQueue (): { readonly queue: StandingQueue, readonly resumedAt: number } {
  const queue = new StandingQueue(maxWait)
  queue.observe(false, 0)
  queue.probe(30)
  return { queue, resumedAt: 30 + 4 * maxWait }
}

// Guards against a pause of the process that counts as the wait of overload: all that had arrived meanwhile was closed
// unread although the process would have read it at once.
test('a pause of the process closes no connection, and neither does the wait before it', t => {
  const { queue, resumedAt } = pausedQueue()
  queue.observe(false, resumedAt, resumedAt)
  t.false(queue.isOverloaded)
  queue.observe(false, resumedAt + maxWait, resumedAt)
  t.false(queue.isOverloaded)
})

test('a queue that stands for too long after a pause of the process is overload', t => {
  const { queue, resumedAt } = pausedQueue()
  queue.observe(false, resumedAt, resumedAt)
  queue.observe(false, resumedAt + maxWait + 1, resumedAt)
  t.true(queue.isOverloaded)
})

test('connections that were closed before a pause of the process are read after it', t => {
  const { queue } = pausedQueue()
  queue.observe(false, 31 + maxWait)
  t.true(queue.isOverloaded)
  queue.observe(false, 500, 500)
  t.false(queue.isOverloaded)
})
