/** The accepted configuration under races of operators, lost answers, outages and killed writers. */
import test from 'ava'
import fc from 'fast-check'
import { ManualClock } from '@eiderwind/clock'
import { type Configuration } from '@eiderwind/schema'
import { MemoryStore } from '@eiderwind/store'
import { FaultyStore, type Turn } from '@eiderwind/store/testing'
import { Current, Writer, configurationKey, type Change, type ChangeOrder } from '../src/index.js'

const seed = 20261204

function leave (id: string): Change {
  return { type: 'leave', id }
}

function order (id: string, more: Partial<ChangeOrder> = {}): ChangeOrder {
  return { operation: `op-${id}`, who: 'lucia', change: leave(id), ...more }
}

function writer (store: MemoryStore): Writer {
  const clock = new ManualClock(1_700_000_000_000)
  clock.wait = async () => { clock.advance(100) }
  return new Writer({ store, clock, patience: 500 })
}

async function present (store: MemoryStore): Promise<Configuration> {
  return (await MemoryStore.prototype.read.call(store, configurationKey)).unwrap().value as Configuration
}

interface Case {
  readonly title: string
  readonly turns: readonly Turn[]
  readonly outcome: string
  readonly applied: boolean
}

const cases: readonly Case[] = [
  { title: 'all goes well', turns: ['well', 'well'], outcome: 'accepted', applied: true },
  { title: 'the answer to the write is lost', turns: ['well', 'lost-answer'], outcome: 'accepted', applied: true },
  { title: 'the write itself is lost', turns: ['well', 'lost-call'], outcome: 'accepted', applied: true },
  { title: 'the store is down before the write', turns: ['down'], outcome: 'store-down, not-run', applied: false },
  { title: 'the store is down at the write', turns: ['well', 'down'], outcome: 'store-down, not-run', applied: false },
  { title: 'the answer is lost and the store goes down for long', turns: ['well', 'lost-answer', ...Array<Turn>(20).fill('down')], outcome: 'store-unknown, unknown', applied: true },
  { title: 'the answer is lost and the store is down for a moment', turns: ['well', 'lost-answer', 'down', 'down'], outcome: 'accepted', applied: true }
]

for (const { title, turns, outcome, applied } of cases) {
  test(`a change where ${title} ends as: ${outcome}`, async t => {
    const store = new FaultyStore(turns)
    const result = await writer(store).change(order('n1'))
    t.is(result.isOk() ? 'accepted' : `${result.error.code}, ${result.error.outcome}`, outcome)
    const configuration = await present(store)
    t.is(configuration?.leaving.includes('n1') ?? false, applied)
  })
}

test('a change on a stale revision is refused with both revisions named', async t => {
  const store = new MemoryStore()
  await writer(store).change(order('n1'))
  const result = await writer(store).change(order('n2', { revision: 0 }))
  t.is(result.unwrapErr().code, 'stale-revision')
  t.regex(result.unwrapErr().message, /made on revision 0; the present one is 1/)
})

test('of two operators who change the same revision at once, one is accepted and one is told', async t => {
  const store = new MemoryStore()
  const results = await Promise.all(['n1', 'n2'].map(id => writer(store).change(order(id, { revision: 0 }))))
  t.deepEqual(results.map(each => each.isOk()).sort(), [false, true])
  t.is((await present(store)).revision, 1)
})

test('every accepted change stays, in one order, whoever races and whatever is lost', async t => {
  t.log(`seed ${seed}, 200 runs`)
  const turn = fc.constantFrom<Turn>('well', 'well', 'well', 'lost-answer', 'lost-call', 'down')
  await fc.assert(fc.asyncProperty(fc.array(turn, { maxLength: 30 }), async turns => {
    const store = new FaultyStore(turns)
    const ids = Array.from({ length: 6 }, (_each, index) => `n${index}`)
    const results = await Promise.all(ids.map(id => writer(store).change(order(id))))
    const configuration = await present(store)
    const audited = configuration?.audit.map(each => each.operation) ?? []
    const kept = ids.every((id, index) => {
      const result = results[index]
      const there = configuration?.leaving.includes(id) ?? false
      if (result.isOk()) return there
      return result.error.outcome === 'unknown' || !there
    })
    const inOrder = configuration === null || configuration.audit.every((each, index) => each.to === index + 1 && each.from === index)
    return kept && inOrder && new Set(audited).size === audited.length
  }), { seed, numRuns: 200, endOnFailure: true })
  t.pass()
})

test('the audit trail is moved out when it is full, and nothing of it is lost', async t => {
  const store = new MemoryStore()
  const each = writer(store)
  for (let index = 0; index < 310; index++) (await each.change(order(`n${index}`))).unwrap()
  const archived = (await store.list('audit/')).unwrap().flatMap(({ value }) => value as Configuration['audit'])
  const all = [...archived, ...(await present(store)).audit].map(record => record.to)
  t.deepEqual(all, Array.from({ length: 310 }, (_each, index) => index + 1))
})

test('the revision of a process only rises, in whichever order configurations come', t => {
  const current = new Current()
  const heard: number[] = []
  current.listen(({ revision }) => heard.push(revision))
  const configuration = (revision: number): Configuration => ({ ...current.configuration, revision })
  t.deepEqual([3, 1, 3, 5, 4].map(each => current.accept(configuration(each))), [true, false, false, true, false])
  t.deepEqual(heard, [3, 5])
})
