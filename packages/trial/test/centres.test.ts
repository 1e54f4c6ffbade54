/**
 * Two data centres of real daemons exchange their states. One of them loses its replica, then the entry that reports to
 * the other.
 */
import test from 'ava'
import { Fleet, answerWords, modelName, trialKey } from '../src/index.js'
import { Load } from './load.js'

let fleet: Fleet

test.before(async () => {
  fleet = new Fleet({ dataCentres: 2, entries: 4, engines: 4, members: 2, replicas: 2, plain: 3 })
  await fleet.start()
})

test.after.always(async () => {
  await fleet.stop()
})

async function complete (address: string): Promise<string> {
  const response = await fetch(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}` },
    body: JSON.stringify({ model: modelName, messages: [{ role: 'user', content: 'Far' }] })
  })
  return await response.text()
}

test.serial('each data centre forms its replica, and every entry serves requests and lists both replicas', async t => {
  const status = await fleet.waitForStatus(each => each.replicas.length === 2 && each.replicas.every(replica => replica.serving), fleet.entries[1])
  t.deepEqual(status.replicas.map(each => each.id.split('.')[1]).sort(), ['fabric-1', 'fabric-2'])
  for (const entry of fleet.entries) t.true((await complete(entry.callers)).includes(answerWords('Far', 24).join('')))
})

test.serial('when a data centre loses its replica, its entries send requests to the other one, and no replica is formed twice', async t => {
  const lost = fleet.workers.filter(each => each.id === 'engine-1' || each.id === 'engine-3')
  for (const worker of lost) worker.child.signal('SIGKILL')
  await fleet.waitForStatus(status => status.replicas.some(each => each.id.includes('fabric-1') && !each.serving), fleet.entries[0])
  t.true((await complete(fleet.entries[0].callers)).includes(answerWords('Far', 24).join('')))
  for (const worker of lost) await fleet.restartWorker(worker)
  await fleet.waitUntilServing()
  const status = await fleet.waitForStatus(() => true, fleet.entries[3])
  t.is(status.replicas.length, 2)
})

test.serial('when the entry that reports to the other data centre is killed, another takes over, and callers lose only connections to the killed entry', async t => {
  const load = new Load(fleet)
  await load.waitForMore(10)
  const killed = fleet.entries[2]
  killed.child.signal('SIGKILL')
  fleet.entries.splice(2, 1)
  const accepted = (await fleet.operators(fleet.entries[0]).leave({ id: 'n' })).revision
  for (const entry of fleet.entries) await fleet.waitForStatus(status => status.revision >= accepted && status.replicas.filter(each => each.serving).length === 2, entry)
  await load.waitForMore(20)
  const failures = (await load.stop()).filter(each => each.result !== 'complete' && !each.result.startsWith('connection lost'))
  t.deepEqual(failures, [])
})
