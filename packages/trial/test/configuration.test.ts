/** The accepted configuration with the real daemons: in force everywhere within seconds, and never reverted. */
import test from 'ava'
import { Code, ConnectError } from '@connectrpc/connect'
import { Fleet, modelName, trialKey, type FleetEntry } from '../src/index.js'

/** In force everywhere, by letter 1, in ms. */
const everywhere = 6000

let fleet: Fleet

test.before(async () => {
  fleet = new Fleet({ entries: 3, engines: 1, members: 1, plain: 1 })
  await fleet.start()
})

test.after.always(async () => {
  await fleet.stop()
})

async function revision (entry: FleetEntry): Promise<number> {
  return Number((await fleet.operators(entry).readConfiguration({})).revision)
}

/** Waits until every entry has at least `wanted` in force, and gives how long that took. */
async function inForce (wanted: number): Promise<number> {
  const startedAt = performance.now()
  for (const entry of fleet.entries) {
    while (await revision(entry) < wanted) await new Promise(resolve => setTimeout(resolve, 5))
  }
  return performance.now() - startedAt
}

async function leave (entry: FleetEntry, id: string): Promise<number> {
  return Number((await fleet.operators(entry).leave({ id })).revision)
}

test.serial('a change is in force at every entry within seconds', async t => {
  const spans: number[] = []
  for (let index = 0; index < 20; index++) spans.push(await inForce(await leave(fleet.entries[index % 3], `n${index}`)))
  spans.sort((a, b) => a - b)
  t.log(`after "accepted": median ${spans[10].toFixed(1)} ms, most ${spans[19].toFixed(1)} ms`)
  t.true(spans[19] < everywhere)
})

test.serial('operators who race at three entries on one revision: one is accepted, the others are told', async t => {
  const before = BigInt(await revision(fleet.entries[0]))
  const results = await Promise.allSettled(fleet.entries.map((entry, index) => fleet.operators(entry).leave({ id: `race${index}`, header: { operation: `race-${index}`, revision: before } })))
  t.is(results.filter(each => each.status === 'fulfilled').length, 1)
  for (const each of results) if (each.status === 'rejected') t.is(ConnectError.from(each.reason).code, Code.Aborted)
  t.is(await revision(fleet.entries[0]), Number(before) + 1)
})

test.serial('a change whose answer from the platform is lost is recognised and accepted once', async t => {
  const before = await revision(fleet.entries[0])
  await fleet.failPlatform({ loseAnswers: 1 })
  const accepted = await leave(fleet.entries[0], 'lost-answer')
  t.is(accepted, before + 1)
  await inForce(accepted)
  t.is(await revision(fleet.entries[1]), before + 1)
})

test.serial('a change survives its writer and the platform both going away right after "accepted"', async t => {
  const [writer, other] = fleet.entries
  const accepted = await leave(writer, 'survivor')
  writer.child.signal('SIGKILL')
  await fleet.failPlatform({ down: true })
  fleet.entries.splice(0, 1)
  const span = await inForce(accepted)
  t.true(span < everywhere)
  t.true((await fleet.operators(other).readConfiguration({})).leaving.includes('survivor'))
  const again = await fleet.addEntry(writer.id)
  t.true(await inForce(accepted) < everywhere)
  t.is(await revision(again), accepted)
  const response = await fetch(`http://${again.callers}/v1/models`, { headers: { authorization: `Bearer ${trialKey}` } })
  t.true((await response.text()).includes(modelName))
  const refused = await t.throwsAsync(leave(other, 'while down'))
  t.is(ConnectError.from(refused).metadata.get('eiderwind-outcome'), 'not-run')
  await fleet.failPlatform({})
  t.is(await inForce(await leave(again, 'after')) < everywhere, true)
})

test.serial('a frozen entry that wakes catches up and never goes back', async t => {
  const [awake, frozen] = fleet.entries
  frozen.child.signal('SIGSTOP')
  let accepted = 0
  for (let index = 0; index < 3; index++) accepted = await leave(awake, `frozen${index}`)
  frozen.child.signal('SIGCONT')
  t.true(await inForce(accepted) < everywhere)
  const seen: number[] = []
  for (let index = 0; index < 20; index++) seen.push(await revision(frozen))
  t.true(seen.every(each => each >= accepted))
})
