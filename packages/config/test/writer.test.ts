/**
 * Guards against lost or reordered configuration changes when operators race, answers are lost or the store is down.
 */
import test from 'ava'
import fc from 'fast-check'
import { ManualClock } from '@eiderwind/clock'
import { type Configuration } from '@eiderwind/schema'
import { MemoryStore } from '@eiderwind/store'
import { FaultyStore, type CallOutcome } from '@eiderwind/store/testing'
import { CurrentConfiguration, Writer, configurationKey, type Change, type ChangeRequest } from '../src/index.js'

const seed = 20261204

function leave (id: string): Change {
  return { type: 'leave', id }
}

function leaveRequest (id: string, more: Partial<ChangeRequest> = {}): ChangeRequest {
  return { operation: `op-${id}`, who: 'lucia', change: leave(id), ...more }
}

function writer (store: MemoryStore): Writer {
  const clock = new ManualClock(1_700_000_000_000)
  clock.wait = async () => { clock.advance(100) }
  return new Writer({ store, clock, maxWait: 500 })
}

async function storedConfiguration (store: MemoryStore): Promise<Configuration> {
  return (await MemoryStore.prototype.read.call(store, configurationKey)).unwrap().value as Configuration
}

interface Case {
  readonly title: string
  readonly calls: readonly CallOutcome[]
  readonly outcome: string
  readonly applied: boolean
}

const cases: readonly Case[] = [
  { title: 'all calls succeed', calls: ['well', 'well'], outcome: 'accepted', applied: true },
  { title: 'the answer to the write is lost', calls: ['well', 'lost-answer'], outcome: 'accepted', applied: true },
  { title: 'the write itself is lost', calls: ['well', 'lost-call'], outcome: 'accepted', applied: true },
  { title: 'the store is down before the write', calls: ['down'], outcome: 'store-down, not-run', applied: false },
  { title: 'the store is silent for a moment before the write', calls: ['silent', 'silent', 'well', 'well'], outcome: 'accepted', applied: true },
  { title: 'the store stays silent', calls: Array<CallOutcome>(20).fill('silent'), outcome: 'store-silent, not-run', applied: false },
  { title: 'the store is down at the write', calls: ['well', 'down'], outcome: 'store-down, not-run', applied: false },
  { title: 'the answer is lost and the store stays down', calls: ['well', 'lost-answer', ...Array<CallOutcome>(20).fill('down')], outcome: 'store-unknown, unknown', applied: true },
  { title: 'the answer is lost and the store is down for a moment', calls: ['well', 'lost-answer', 'down', 'down'], outcome: 'accepted', applied: true }
]

for (const { title, calls, outcome, applied } of cases) {
  test(`a change for which ${title} ends as: ${outcome}`, async t => {
    const store = new FaultyStore(calls)
    const result = await writer(store).change(leaveRequest('n1'))
    t.is(result.isOk() ? 'accepted' : `${result.error.code}, ${result.error.outcome}`, outcome)
    const configuration = await storedConfiguration(store)
    t.is(configuration?.leaving.includes('n1') ?? false, applied)
  })
}

test('a change based on a stale revision is refused, and the error names both revisions', async t => {
  const store = new MemoryStore()
  await writer(store).change(leaveRequest('n1'))
  const result = await writer(store).change(leaveRequest('n2', { revision: 0 }))
  t.is(result.unwrapErr().code, 'stale-revision')
  t.regex(result.unwrapErr().message, /made on revision 0; the present one is 1/)
})

test('of two concurrent changes based on one revision, one is accepted and one is refused', async t => {
  const store = new MemoryStore()
  const results = await Promise.all(['n1', 'n2'].map(id => writer(store).change(leaveRequest(id, { revision: 0 }))))
  t.deepEqual(results.map(each => each.isOk()).sort(), [false, true])
  t.is((await storedConfiguration(store)).revision, 1)
})

test('every accepted change stays, in a total order, under races, lost calls and lost answers', async t => {
  t.log(`seed ${seed}, 200 runs`)
  const call = fc.constantFrom<CallOutcome>('well', 'well', 'well', 'lost-answer', 'lost-call', 'down')
  await fc.assert(fc.asyncProperty(fc.array(call, { maxLength: 30 }), async calls => {
    const store = new FaultyStore(calls)
    const ids = Array.from({ length: 6 }, (_each, index) => `n${index}`)
    const results = await Promise.all(ids.map(id => writer(store).change(leaveRequest(id))))
    const configuration = await storedConfiguration(store)
    const audited = configuration?.audit.map(each => each.operation) ?? []
    const isConsistent = ids.every((id, index) => {
      const result = results[index]
      const applied = configuration?.leaving.includes(id) ?? false
      if (result.isOk()) return applied
      return result.error.outcome === 'unknown' || !applied
    })
    const inOrder = configuration === null || configuration.audit.every((each, index) => each.to === index + 1 && each.from === index)
    return isConsistent && inOrder && new Set(audited).size === audited.length
  }), { seed, numRuns: 200, endOnFailure: true })
  t.pass()
})

test('a full audit trail is archived without losing a record', async t => {
  const store = new MemoryStore()
  const each = writer(store)
  for (let index = 0; index < 310; index++) (await each.change(leaveRequest(`n${index}`))).unwrap()
  const archived = (await store.list('audit/')).unwrap().flatMap(({ value }) => value as Configuration['audit'])
  const all = [...archived, ...(await storedConfiguration(store)).audit].map(record => record.to)
  t.deepEqual(all, Array.from({ length: 310 }, (_each, index) => index + 1))
})

test('the revision of a process never decreases, in whichever order configurations arrive', t => {
  const current = new CurrentConfiguration()
  const notified: number[] = []
  current.listen(({ revision }) => notified.push(revision))
  const configuration = (revision: number): Configuration => ({ ...current.configuration, revision })
  t.deepEqual([3, 1, 3, 5, 4].map(each => current.accept(configuration(each))), [true, false, false, true, false])
  t.deepEqual(notified, [3, 5])
})
