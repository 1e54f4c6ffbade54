/**
 * With real daemons, upstreams that leave get no new requests, and engines that do not check their orders get them in
 * order.
 */
import test from 'ava'
import { Fleet, plainName, trialKey, type EngineRecord, type Execution } from '../src/index.js'

/** The "few seconds" after which an upstream that leaves gets no new requests, in ms. */
const maxDelayMs = 4000

async function postCard (fleet: Fleet, body: string): Promise<number> {
  const response = await fetch(`http://${fleet.entries[0].callers}/services/${plainName}/cards`, { method: 'POST', headers: { authorization: `Bearer ${trialKey}` }, body })
  await response.text()
  return response.status
}

async function executionCount (fleet: Fleet, id: string): Promise<number> {
  return ((await (await fetch(`${fleet.worker(id).upstreamUrl}/executions`)).json()) as Execution[]).length
}

/**
 * Sends requests until the upstream has received none for a second. Returns the time of the last one that it received,
 * in ms.
 */
async function lastExecutionAt (fleet: Fleet, id: string): Promise<number> {
  let lastAt = Date.now()
  let count = await executionCount(fleet, id)
  while (Date.now() - lastAt < 1000) {
    for (let index = 0; index < 10; index++) await postCard(fleet, 'x')
    const now = await executionCount(fleet, id)
    if (now > count) lastAt = Date.now()
    count = now
  }
  return lastAt
}

test.serial('an upstream that an operator orders to leave gets no new requests after a few seconds, even if the platform fails right after the order', async t => {
  const fleet = new Fleet({ engines: 0, replicas: 0, plain: 3 })
  try {
    await fleet.start()
    const startedAt = Date.now()
    await fleet.operators(fleet.entries[1]).leave({ id: 'plain-1' })
    await fleet.failPlatform({ down: true })
    const span = await lastExecutionAt(fleet, 'plain-1') - startedAt
    t.log(`last new work ${span} ms after the leave`)
    t.true(span < maxDelayMs)
    t.is(await postCard(fleet, 'others serve'), 200)
  } finally {
    await fleet.stop()
  }
})

test.serial('the keys of a plain worker that is ordered to leave get another home, which soon accepts new keys', async t => {
  const fleet = new Fleet({ engines: 0, replicas: 0, plain: 3 })
  try {
    await fleet.start()
    await fleet.operators(fleet.entries[1]).leave({ id: 'plain-1' })
    const startedAt = Date.now()
    const moved = await fleet.waitForStatus(({ nodes }) => {
      const slots = nodes.map(each => each.id === 'plain-1' ? [] : each.slots).flat()
      return new Set(slots).size === 12
    })
    t.deepEqual(moved.nodes.find(each => each.id === 'plain-1')?.slots, [])
    t.log(`every slot had another home ${Date.now() - startedAt} ms after the leave`)
    await fleet.waitUntilKeysAccepted()
  } finally {
    await fleet.stop()
  }
})

test.serial('an upstream that the node list shows as leaving gets no new requests after a few seconds, and serves again when it returns', async t => {
  const fleet = new Fleet({ engines: 0, replicas: 0, plain: 2 })
  try {
    await fleet.start()
    const startedAt = Date.now()
    await fleet.setNodes(fleet.nodes().map(node => node.id === 'plain-1' ? { ...node, state: 'leaving' } : node))
    const span = await lastExecutionAt(fleet, 'plain-1') - startedAt
    t.log(`last new work ${span} ms after the list changed`)
    t.true(span < maxDelayMs)
    await fleet.setNodes(fleet.nodes())
    const before = await executionCount(fleet, 'plain-1')
    while (await executionCount(fleet, 'plain-1') === before) await postCard(fleet, 'y')
    t.pass()
  } finally {
    await fleet.stop()
  }
})

test.serial('a worker that gets SIGTERM refuses new requests immediately and completes the running one, whatever the entries and the node list report', async t => {
  const fleet = new Fleet({ engines: 0, replicas: 0, plain: 2 })
  try {
    await fleet.start()
    const slow = fetch(`http://${fleet.worker('plain-1').address}/cards?delay=1500`, { method: 'POST', body: 'slow' })
    while (await executionCount(fleet, 'plain-1') === 0) await new Promise(resolve => setTimeout(resolve, 10))
    fleet.worker('plain-1').child.signal('SIGTERM')
    await fleet.worker('plain-1').child.waitForLine(line => line.event === 101)
    let refused
    do refused = await fetch(`http://${fleet.worker('plain-1').address}/cards`, { method: 'POST', body: 'new' })
    while (refused.status === 200)
    t.is(refused.headers.get('eiderwind-outcome'), 'not-run')
    t.is((await slow).status, 200)
  } finally {
    await fleet.stop()
  }
})

for (const checks of [true, false]) {
  test.serial(`an engine that ${checks ? 'checks' : 'does not check'} its orders gets them by ascending generation, through a pause and a restart of its worker`, async t => {
    const fleet = new Fleet({ engines: 5, plain: 0, engine: { checks, loadTime: 100 } })
    try {
      await fleet.start()
      const [head, member] = (await fleet.waitForStatus(() => true)).replicas[0].members
      fleet.worker(member).child.signal('SIGSTOP')
      await fleet.waitForStatus(status => status.replicas[0].serving && !status.replicas[0].members.includes(member))
      fleet.worker(member).child.signal('SIGCONT')
      const worker = fleet.worker(head)
      worker.child.signal('SIGKILL')
      await worker.child.ended()
      await fleet.restartWorker(worker)
      await fleet.waitUntilServing()
      for (const { upstreamUrl } of fleet.workers) {
        const { orders } = (await (await fetch(`${upstreamUrl}/record`)).json()) as EngineRecord
        const generations = orders.map(each => each.generation)
        t.deepEqual(generations, [...generations].sort((a, b) => a - b))
        t.true(orders.every(each => each.accepted))
      }
    } finally {
      await fleet.stop()
    }
  })
}
