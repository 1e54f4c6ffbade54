/**
 * Planned stops and upgrades of real daemons while streams are open. Each entry or worker in turn is stopped and
 * restarted.
 */
import test from 'ava'
import { Fleet, modelName } from '../src/index.js'
import { Load, type Sample } from './load.js'

let fleet: Fleet

test.before(async () => {
  fleet = new Fleet({ entries: 2, engines: 5, members: 2, replicas: 2, plain: 3, engine: { tokenTime: 10 } })
  await fleet.start()
})

test.after.always(async () => {
  await fleet.stop()
})

function incomplete (samples: readonly Sample[]): string[] {
  return samples.filter(each => each.result !== 'complete').map(each => each.result)
}

test.serial('an entry stopped under load completes all its requests', async t => {
  const load = new Load(fleet)
  await load.waitForMore(12)
  const [entry] = fleet.entries
  entry.child.signal('SIGTERM')
  t.is(await entry.child.ended(), 0)
  await fleet.restartEntry(entry)
  await fleet.waitUntilServing()
  await load.waitForMore(12)
  t.deepEqual(incomplete(await load.stop()), [])
})

for (const id of ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'plain-1', 'plain-2', 'plain-3']) {
  test.serial(`the worker of ${id} stopped under load completes all its requests`, async t => {
    const load = new Load(fleet)
    await load.waitForMore(12)
    const worker = fleet.worker(id)
    worker.child.signal('SIGTERM')
    t.is(await worker.child.ended(), 0)
    await fleet.restartWorker(worker)
    await fleet.waitUntilServing()
    t.deepEqual(incomplete(await load.stop()), [])
  })
}

test.serial('an engine upgrade, one replica after the other, interrupts no request', async t => {
  const load = new Load(fleet)
  await load.waitForMore(12)
  const bounds = { concurrency: 64, queue: 256 }
  await fleet.operators().putService({ service: { name: modelName, kind: { case: 'model', value: { replicas: 2, members: 2, version: 'v2', checksOrders: true, ...bounds } } } })
  await fleet.waitForStatus(status => status.replicas.every(each => each.version === 'v2' && each.serving))
  await load.waitForMore(12)
  t.deepEqual(incomplete(await load.stop()), [])
})

test.serial('a node ordered to leave is replaced by the spare, and no request is interrupted', async t => {
  const load = new Load(fleet)
  await load.waitForMore(12)
  const before = await fleet.waitForStatus(() => true)
  const id = before.replicas[0].members[1]
  await fleet.operators().leave({ id })
  await fleet.waitForStatus(status => status.replicas.length === 2 && status.replicas.every(each => each.serving && !each.members.includes(id)))
  t.deepEqual(incomplete(await load.stop()), [])
})
