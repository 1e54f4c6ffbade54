/** Sessions of a replica that stops as planned: their KV caches go where entries send their next requests. */
import test from 'ava'
import { Fleet, modelName, trialKey, type EngineRecord, type FleetEntry } from '../src/index.js'

const sessions = Array.from({ length: 24 }, (_each, index) => `player ${index}`)

async function ask (entry: FleetEntry, session: string): Promise<number> {
  const response = await fetch(`http://${entry.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}`, 'eiderwind-session': session },
    body: JSON.stringify({ model: modelName, messages: [{ role: 'user', content: session }] })
  })
  await response.text()
  return response.status
}

async function record (fleet: Fleet, id: string): Promise<EngineRecord> {
  return await (await fetch(`${fleet.worker(id).upstreamUrl}/record`)).json() as EngineRecord
}

/**
 * Sends each session's next request and gives how many caches were met. One comes after the other, so that no replica is
 * too busy for its sessions. `turn` shifts which entry each session comes through.
 */
async function round (fleet: Fleet, ids: readonly string[], turn: number): Promise<number> {
  const before = await Promise.all(ids.map(id => record(fleet, id)))
  for (const [index, session] of sessions.entries()) {
    const status = await ask(fleet.entries[(index + turn) % fleet.entries.length], session)
    if (status !== 200) throw new Error(`${session} was answered with ${status}`)
  }
  const after = await Promise.all(ids.map(id => record(fleet, id)))
  return after.reduce((sum, each, index) => sum + each.reused - before[index].reused, 0)
}

const changes = [
  { title: 'a replica whose node is told to leave', change: async (fleet: Fleet): Promise<void> => { await fleet.operators().leave({ id: 'engine-1' }) } },
  { title: 'a replica whose worker is stopped', change: async (fleet: Fleet): Promise<void> => { fleet.worker('engine-1').child.signal('SIGTERM') } }
]

for (const { title, change } of changes) {
  test.serial(`${title} hands its sessions on: each meets its cache at the next replica`, async t => {
    const fleet = new Fleet({ engines: 3, replicas: 3, members: 1, plain: 0, engine: { tokenTime: 2, tokens: 4 } })
    try {
      await fleet.start()
      const ids = fleet.workers.map(each => each.id)
      t.is(await round(fleet, ids, 0), 0)
      t.is(await round(fleet, ids, 1), sessions.length, 'every entry sends a session to the same replica')
      const leaver = await record(fleet, 'engine-1')
      t.true(leaver.started > 0)
      await change(fleet)
      const handed = await fleet.worker('engine-1').child.line(line => line.event === 310)
      t.is(handed.moved, handed.known)
      for (const entry of fleet.entries) await fleet.status(status => status.replicas.filter(each => each.serving).length === 2, entry)
      t.is(await round(fleet, ids.slice(1), 2), sessions.length)
    } finally {
      await fleet.stop()
    }
  })
}
