/** Requests that may run only once, sent to real daemons. The service's stand-ins count the executions. */
import test from 'ava'
import { v7 } from 'uuid'
import { Fleet, plainName, trialKey, type Execution, type FleetEntry, type FleetWorker } from '../src/index.js'

let fleet: Fleet

test.before(async () => {
  fleet = new Fleet({ engines: 0, plain: 3, replicas: 0, period: 1000, interval: 250, skew: 200 })
  await fleet.start()
  await fleet.waitUntilKeysAccepted()
})

test.after.always(async () => {
  await fleet.stop()
})

interface Answer {
  readonly status: number
  readonly outcome: string
  readonly text: string
}

async function postTopUp (entry: FleetEntry, body: string, key: string | undefined, delay = 0, headers: Record<string, string> = {}): Promise<Answer> {
  const response = await fetch(`http://${entry.callers}/services/${plainName}/topups?delay=${delay}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}`, ...(key === undefined ? {} : { 'idempotency-key': key }), ...headers },
    body
  })
  return { status: response.status, outcome: response.headers.get('eiderwind-outcome') ?? '', text: await response.text() }
}

async function executionCount (body: string): Promise<number> {
  const lists = await Promise.all(fleet.workers.map(async each => (await (await fetch(`${each.upstreamUrl}/executions`)).json()) as Execution[]))
  return lists.flat().filter(each => each.body === body).length
}

/** Waits until the service has begun the request. Returns the worker that is the home of its key. */
async function findHome (body: string): Promise<FleetWorker> {
  for (let tries = 0; tries < 500; tries++) {
    for (const worker of fleet.workers) {
      const list = (await (await fetch(`${worker.upstreamUrl}/executions`)).json()) as Execution[]
      if (list.some(each => each.body === body)) return worker
    }
  }
  throw new Error(`The request "${body}" did not run at any worker in 500 checks.`)
}

test.serial('a request sent four times at once with one key, through two entries, runs once, and all four get the same answer', async t => {
  for (let index = 0; index < 10; index++) {
    const body = `twice ${index}`
    const key = v7()
    const answers = await Promise.all([...fleet.entries, ...fleet.entries].map(entry => postTopUp(entry, body, key, 100)))
    t.deepEqual(answers.map(each => each.status), [200, 200, 200, 200])
    t.is(new Set(answers.map(each => each.text)).size, 1)
    t.is(await executionCount(body), 1)
  }
})

test.serial('a retry whose deadline passes while the first attempt runs gets the outcome "unknown"', async t => {
  const body = 'slow'
  const key = v7()
  const first = postTopUp(fleet.entries[0], body, key, 800)
  await findHome(body)
  const second = await postTopUp(fleet.entries[1], body, key, 800, { 'eiderwind-deadline-ms': '200' })
  t.deepEqual([second.status, second.outcome], [504, 'unknown'])
  t.is((await first).status, 200)
  t.is(await executionCount(body), 1)
})

test.serial('a home killed in the middle of a request: the caller gets the outcome "unknown", and no retry at any entry runs the request again', async t => {
  const body = 'killed'
  const key = v7()
  const first = postTopUp(fleet.entries[0], body, key, 3000)
  const worker = await findHome(body)
  const killedAt = Date.now()
  worker.child.signal('SIGKILL')
  const answer = await first
  t.log(`answered ${Date.now() - killedAt} ms after the kill: ${answer.text}`)
  t.is(answer.outcome, 'unknown')
  const immediateRetry = await postTopUp(fleet.entries[1], body, key)
  t.is(immediateRetry.outcome, 'unknown', immediateRetry.text)
  await fleet.waitForStatus(status => new Set(status.nodes.filter(node => node.id !== worker.id).flatMap(each => each.slots)).size === 12)
  t.log(`every slot has a home again ${Date.now() - killedAt} ms after the kill`)
  for (const entry of fleet.entries) {
    const retry = await postTopUp(entry, body, key)
    t.is(retry.outcome, 'unknown', retry.text)
  }
  t.is(await executionCount(body), 1)
  const newRequest = await postTopUp(fleet.entries[1], 'after the kill', undefined)
  t.is(newRequest.status, 200)
  await fleet.restartWorker(worker)
  await fleet.waitUntilServing()
  await fleet.waitUntilKeysAccepted()
  t.is((await postTopUp(fleet.entries[0], body, key)).outcome, 'unknown')
  t.is(await executionCount(body), 1)
})

test.serial('a home frozen past its lease and resumed after its slots have moved runs none of the requests that waited in its sockets', async t => {
  const before = new Map<string, number>()
  const [nodeWithMostSlots] = (await fleet.waitForStatus(() => true)).nodes.sort((a, b) => b.slots.length - a.slots.length)
  t.true(nodeWithMostSlots.slots.length > 0)
  const frozen = fleet.worker(nodeWithMostSlots.id)
  const bodies = Array.from({ length: 24 }, (_each, index) => `frozen ${index}`)
  const keys = bodies.map(() => v7())
  frozen.child.signal('SIGSTOP')
  const first = await Promise.all(bodies.map((body, index) => postTopUp(fleet.entries[0], body, keys[index], 0, { 'eiderwind-deadline-ms': '400' })))
  await fleet.waitForStatus(each => new Set(each.nodes.filter(node => node.id !== frozen.id).flatMap(node => node.slots)).size === 12)
  const second = await Promise.all(bodies.map((body, index) => postTopUp(fleet.entries[1], body, keys[index])))
  for (const body of bodies) before.set(body, await executionCount(body))
  frozen.child.signal('SIGCONT')
  await fleet.waitUntilServing()
  const third = await Promise.all(bodies.map((body, index) => postTopUp(fleet.entries[0], body, keys[index])))
  for (const [index, body] of bodies.entries()) {
    const count = await executionCount(body)
    t.true(count <= 1, `${body} ran ${count} times`)
    t.is(count, before.get(body) ?? -1)
    const answered = [first, second, third].some(each => each[index].status === 200)
    t.is(answered, count === 1, `${body}: ${first[index].text} ${second[index].text}`)
  }
  t.true(first.some(each => each.outcome === 'unknown' || each.outcome === 'not-run'))
})

test.serial('a key whose time is far ahead or far in the past is refused, and its request does not run', async t => {
  const ahead = await postTopUp(fleet.entries[0], 'ahead', v7({ msecs: Date.now() + 60_000 }))
  t.deepEqual([ahead.status, ahead.outcome], [400, 'not-run'])
  const behind = await postTopUp(fleet.entries[0], 'behind', v7({ msecs: Date.now() - 86_400_000 }))
  t.deepEqual([behind.status, behind.outcome], [409, 'unknown'])
  t.is(await executionCount('ahead') + await executionCount('behind'), 0)
})

test.serial('with the platform down throughout, requests run once, and slots still move to another home', async t => {
  await fleet.failPlatform({ down: true })
  await fleet.waitUntilKeysAccepted()
  const key = v7()
  const body = 'platform down'
  const answers = await Promise.all(fleet.entries.map(entry => postTopUp(entry, body, key)))
  t.deepEqual(answers.map(each => each.status), [200, 200])
  const worker = await findHome(body)
  worker.child.signal('SIGKILL')
  await fleet.waitForStatus(status => new Set(status.nodes.filter(node => node.id !== worker.id).flatMap(each => each.slots)).size === 12)
  t.is((await postTopUp(fleet.entries[0], body, key)).outcome, 'unknown')
  t.is((await postTopUp(fleet.entries[0], 'still served', undefined)).status, 200)
  t.is(await executionCount(body), 1)
  await fleet.failPlatform({})
  await fleet.restartWorker(worker)
  await fleet.waitUntilServing()
})
