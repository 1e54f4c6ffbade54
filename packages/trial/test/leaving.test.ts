/** Upstreams that leave, and engines that do not check their orders, with the real daemons. */
import test from 'ava'
import { Fleet, plainName, trialKey, type EngineRecord, type Execution } from '../src/index.js'

/** "A few seconds", in ms. */
const few = 4000

async function call (fleet: Fleet, body: string): Promise<number> {
  const response = await fetch(`http://${fleet.entries[0].callers}/services/${plainName}/cards`, { method: 'POST', headers: { authorization: `Bearer ${trialKey}` }, body })
  await response.text()
  return response.status
}

async function executed (fleet: Fleet, id: string): Promise<number> {
  return ((await (await fetch(`${fleet.worker(id).upstreamUrl}/executions`)).json()) as Execution[]).length
}

/** Sends requests until the upstream gets nothing for a second, and gives when it got the last one. */
async function lastWork (fleet: Fleet, id: string): Promise<number> {
  let lastAt = Date.now()
  let count = await executed(fleet, id)
  while (Date.now() - lastAt < 1000) {
    for (let index = 0; index < 10; index++) await call(fleet, 'x')
    const now = await executed(fleet, id)
    if (now > count) lastAt = Date.now()
    count = now
  }
  return lastAt
}

test.serial('an upstream that an operator tells to leave gets nothing new after a few seconds, also with the platform down afterwards', async t => {
  const fleet = new Fleet({ engines: 0, replicas: 0, plain: 3 })
  try {
    await fleet.start()
    const toldAt = Date.now()
    await fleet.operators(fleet.entries[1]).leave({ id: 'plain-1' })
    await fleet.failPlatform({ down: true })
    const span = await lastWork(fleet, 'plain-1') - toldAt
    t.log(`last new work ${span} ms after the leave`)
    t.true(span < few)
    t.is(await call(fleet, 'others serve'), 200)
  } finally {
    await fleet.stop()
  }
})

test.serial('the keys of a plain worker that is told to leave get another home, and no request is refused for long', async t => {
  const fleet = new Fleet({ engines: 0, replicas: 0, plain: 3 })
  try {
    await fleet.start()
    await fleet.operators(fleet.entries[1]).leave({ id: 'plain-1' })
    const toldAt = Date.now()
    const moved = await fleet.status(({ nodes }) => {
      const slots = nodes.map(each => each.id === 'plain-1' ? [] : each.slots).flat()
      return new Set(slots).size === 12
    })
    t.deepEqual(moved.nodes.find(each => each.id === 'plain-1')?.slots, [])
    t.log(`every slot had another home ${Date.now() - toldAt} ms after the leave`)
    await fleet.opened()
  } finally {
    await fleet.stop()
  }
})

test.serial('an upstream that the node list shows as leaving gets nothing new after a few seconds, and serves again when it returns', async t => {
  const fleet = new Fleet({ engines: 0, replicas: 0, plain: 2 })
  try {
    await fleet.start()
    const toldAt = Date.now()
    await fleet.setNodes(fleet.nodes().map(node => node.id === 'plain-1' ? { ...node, state: 'leaving' } : node))
    const span = await lastWork(fleet, 'plain-1') - toldAt
    t.log(`last new work ${span} ms after the list changed`)
    t.true(span < few)
    await fleet.setNodes(fleet.nodes())
    const before = await executed(fleet, 'plain-1')
    while (await executed(fleet, 'plain-1') === before) await call(fleet, 'y')
    t.pass()
  } finally {
    await fleet.stop()
  }
})

test.serial('a worker that is told to stop refuses at once, whatever the entries and the node list say', async t => {
  const fleet = new Fleet({ engines: 0, replicas: 0, plain: 2 })
  try {
    await fleet.start()
    const slow = fetch(`http://${fleet.worker('plain-1').address}/cards?delay=1500`, { method: 'POST', body: 'slow' })
    while (await executed(fleet, 'plain-1') === 0) await new Promise(resolve => setTimeout(resolve, 10))
    fleet.worker('plain-1').child.signal('SIGTERM')
    await fleet.worker('plain-1').child.line(line => line.event === 101)
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
  test.serial(`an engine that ${checks ? 'checks' : 'does not check'} its orders gets them in the order of their generations, through a pause and a restart of its worker`, async t => {
    const fleet = new Fleet({ engines: 5, plain: 0, engine: { checks, loadTime: 100 } })
    try {
      await fleet.start()
      const [head, member] = (await fleet.status(() => true)).replicas[0].members
      fleet.worker(member).child.signal('SIGSTOP')
      await fleet.status(status => status.replicas[0].serving && !status.replicas[0].members.includes(member))
      fleet.worker(member).child.signal('SIGCONT')
      const worker = fleet.worker(head)
      worker.child.signal('SIGKILL')
      await worker.child.ended()
      await fleet.restartWorker(worker)
      await fleet.serving()
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
