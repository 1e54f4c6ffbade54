/**
 * When a replica stops as planned, the KV caches of its sessions move to the replicas that get the sessions' next
 * requests.
 */
import test from 'ava'
import { Fleet, modelName, trialKey, type EngineRecord, type FleetEntry } from '../src/index.js'

const sessions = Array.from({ length: 24 }, (_each, index) => `player ${index}`)

async function complete (entry: FleetEntry, session: string): Promise<number> {
  const response = await fetch(`http://${entry.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}`, 'eiderwind-session': session },
    body: JSON.stringify({ model: modelName, messages: [{ role: 'user', content: session }] })
  })
  await response.text()
  return response.status
}

async function readRecord (fleet: Fleet, id: string): Promise<EngineRecord> {
  return await (await fetch(`${fleet.worker(id).upstreamUrl}/record`)).json() as EngineRecord
}

/**
 * Sends the next request of each session. Returns the number of requests that found their session's cache. The requests
 * run one after the other, so that no replica is too busy for its sessions. `turn` shifts the assignment of sessions to
 * entries.
 */
async function countReused (fleet: Fleet, ids: readonly string[], turn: number): Promise<number> {
  const before = await Promise.all(ids.map(id => readRecord(fleet, id)))
  for (const [index, session] of sessions.entries()) {
    const status = await complete(fleet.entries[(index + turn) % fleet.entries.length], session)
    if (status !== 200) throw new Error(`${session} was answered with ${status}`)
  }
  const after = await Promise.all(ids.map(id => readRecord(fleet, id)))
  return after.reduce((sum, each, index) => sum + each.reused - before[index].reused, 0)
}

const changes = [
  { title: 'a replica whose node is ordered to leave', change: async (fleet: Fleet): Promise<void> => { await fleet.operators().leave({ id: 'engine-1' }) } },
  { title: 'a replica whose worker is stopped', change: async (fleet: Fleet): Promise<void> => { fleet.worker('engine-1').child.signal('SIGTERM') } }
]

for (const { title, change } of changes) {
  test.serial(`${title} hands its sessions over: each finds its cache at the next replica`, async t => {
    const fleet = new Fleet({ engines: 3, replicas: 3, members: 1, plain: 0, engine: { tokenTime: 2, tokens: 4 } })
    try {
      await fleet.start()
      const ids = fleet.workers.map(each => each.id)
      t.is(await countReused(fleet, ids, 0), 0)
      t.is(await countReused(fleet, ids, 1), sessions.length, 'every entry sends a session to the same replica')
      const leavingEngine = await readRecord(fleet, 'engine-1')
      t.true(leavingEngine.started > 0)
      await change(fleet)
      const handover = await fleet.worker('engine-1').child.waitForLine(line => line.event === 310)
      t.is(handover.moved, handover.known)
      for (const entry of fleet.entries) await fleet.waitForStatus(status => status.replicas.filter(each => each.serving).length === 2, entry)
      t.is(await countReused(fleet, ids.slice(1), 2), sessions.length)
    } finally {
      await fleet.stop()
    }
  })
}
