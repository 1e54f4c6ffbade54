/**
 * Planners that act for the same domain at the same time, with different health beliefs and a failing store. The tests
 * guard against a node in two replicas and against two sets of members under one generation.
 */
import test from 'ava'
import fc from 'fast-check'
import { ManualClock } from '@eiderwind/clock'
import { CurrentConfiguration } from '@eiderwind/config'
import { Log } from '@eiderwind/log'
import { RepairingPlanner } from '@eiderwind/plan'
import { disjoint } from '@eiderwind/plan/testing'
import { Placement, emptyConfiguration, type EntryAddress, type Node } from '@eiderwind/schema'
import { Reports } from '@eiderwind/spread'
import { MemoryStore } from '@eiderwind/store'
import { FaultyStore, type CallOutcome } from '@eiderwind/store/testing'
import { entryBoard, mergeVoters, mergeNodes, mergePlacement, type EntryBoard } from '../src/facts.js'
import { Planning } from '../src/planning.js'
import { model, reportOf } from './harness.js'

const seed = 20261207
const runs = 150
const lostAfter = 2000
const domain = 'fabric-1'
const placementKey = `placement/${domain}`
const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']

const nodes: readonly Node[] = ids.map(id => ({ id, domain, dataCentre: 'd1', region: 'r1', address: 'x:1', accelerators: 4, state: 'live' }))

/** An entry that counts only itself as live and therefore acts for every domain. */
class PlanningEntry {
  readonly board: EntryBoard
  readonly #reports: Reports
  readonly #planning: Planning
  #sequence = 0

  constructor (id: string, store: MemoryStore, clock: ManualClock) {
    const self: EntryAddress = { id, dataCentre: 'd1', region: 'r1', peer: `${id}:1` }
    const current = new CurrentConfiguration()
    current.accept({
      ...emptyConfiguration,
      revision: 1,
      services: [{ kind: 'model', name: model, replicas: 2, members: 3, version: 'v1', adapters: [], checksOrders: true, concurrency: 1, queue: 1 }]
    })
    this.board = entryBoard(self)
    this.board.write('nodes', { seen: 1, nodes })
    this.#reports = new Reports(clock)
    this.#planning = new Planning({ board: this.board, clock, current, reports: this.#reports, store, planner: new RepairingPlanner({ restartTime: 1000 }), self, log: new Log({ sink: () => {} }), lostAfter })
  }

  /** Receives a report of each node. Nodes in `lost` report an unhealthy engine. */
  receiveReports (lost: ReadonlySet<string>): void {
    this.#sequence++
    for (const id of ids) {
      const report = { ...reportOf(id, 'x:1', model, undefined), sequence: this.#sequence, healthy: !lost.has(id) }
      this.#reports.accept({ report, age: 0 }, 'worker')
    }
  }

  async plan (): Promise<void> {
    await this.#planning.update()
  }

  get known (): Placement | undefined {
    return this.board.read('placements').get(domain)
  }
}

interface Fixture {
  readonly store: FaultyStore
  readonly clock: ManualClock
  readonly entries: readonly PlanningEntry[]
}

function setUp (): Fixture {
  const store = new FaultyStore()
  const clock = new ManualClock()
  const entries = ['e1', 'e2', 'e3'].map(id => new PlanningEntry(id, store, clock))
  clock.advance(lostAfter)
  return { store, clock, entries }
}

/** The stored placement, read without the planned faults. */
async function stored (store: FaultyStore): Promise<Placement | undefined> {
  const { version, value } = (await MemoryStore.prototype.read.call(store, placementKey)).unwrap()
  return version === 0 ? undefined : Placement.parse(value)
}

const outcome = fc.constantFrom<CallOutcome>('well', 'well', 'well', 'lost-answer', 'lost-call', 'down')

const step = fc.record({
  /** Indexes of the entries that plan at the same time. */
  who: fc.subarray([0, 1, 2], { minLength: 1 }),
  /** Nodes that the first of them counts as lost from now on. */
  lost: fc.subarray(ids, { maxLength: 3 }),
  outcomes: fc.array(outcome, { maxLength: 4 })
})

test('with concurrent planners and failing writes, no node is in two replicas and no generation has two sets of members', async t => {
  let changes = 0
  t.log(`seed ${seed}, ${runs} runs`)
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 20 }), async steps => {
    const { store, clock, entries } = setUp()
    const members = new Map<string, string>()
    let generation = 0
    for (const entry of entries) entry.receiveReports(new Set())
    for (const { who, lost, outcomes } of steps) {
      entries[who[0]].receiveReports(new Set(lost))
      store.addOutcomes(outcomes)
      const before = entries.map(each => each.known?.revision ?? 0)
      await Promise.all(who.map(index => entries[index].plan()))
      clock.advance(500)
      if (entries.some((each, index) => (each.known?.revision ?? 0) < before[index])) return false
      const placement = await stored(store)
      if (placement === undefined) continue
      if (!disjoint(placement) || placement.generation < generation) return false
      if (placement.generation > generation) changes++
      generation = placement.generation
      for (const replica of placement.replicas) {
        const name = `${replica.id}#${replica.generation}`
        const list = replica.members.join()
        if (members.has(name) && members.get(name) !== list) return false
        members.set(name, list)
      }
    }
    return true
  }), { seed, numRuns: runs })
  t.log(`${changes} changes`)
  t.true(changes > runs)
})

interface Case {
  readonly title: string
  readonly outcomes: readonly CallOutcome[]
  /** Stored revision, and the revision known to the entry, after the first plan and after the second one. */
  readonly first: readonly [number, number]
  readonly second: readonly [number, number]
}

const cases: readonly Case[] = [
  { title: 'no fault', outcomes: [], first: [1, 1], second: [1, 1] },
  { title: 'the platform is down at the first read', outcomes: ['down'], first: [0, 0], second: [1, 1] },
  { title: 'the platform is down at the write', outcomes: ['well', 'down', 'down'], first: [0, 0], second: [1, 1] },
  { title: 'the write is lost', outcomes: ['well', 'lost-call'], first: [0, 0], second: [1, 1] },
  { title: 'the answer to the write is lost', outcomes: ['well', 'lost-answer'], first: [1, 1], second: [1, 1] },
  { title: 'the answer to the write is lost and the platform is down afterwards', outcomes: ['well', 'lost-answer', 'down'], first: [1, 0], second: [1, 1] }
]

for (const { title, outcomes, first, second } of cases) {
  test(`a placement change takes effect once, and the entry ends with the stored placement: ${title}`, async t => {
    const { store, entries: [entry] } = setUp()
    entry.receiveReports(new Set())
    store.addOutcomes(outcomes)
    await entry.plan()
    t.deepEqual([(await stored(store))?.revision ?? 0, entry.known?.revision ?? 0], [...first])
    await entry.plan()
    t.deepEqual([(await stored(store))?.revision ?? 0, entry.known?.revision ?? 0], [...second])
  })
}

test('older placements, lists of voters and node lists never replace newer ones', t => {
  const board = entryBoard({ id: 'e1', dataCentre: 'd1', region: 'r1', peer: 'e1:1' })
  for (const revision of [2, 1]) {
    mergePlacement(board, { domain, revision, generation: revision, replicas: [] })
    mergeVoters(board, { service: 's', revision, voters: [] })
    mergeNodes(board, { seen: revision, nodes: revision === 1 ? nodes : [] })
  }
  t.is(board.read('placements').get(domain)?.revision, 2)
  t.is(board.read('homes').get('s')?.revision, 2)
  t.deepEqual(board.read('nodes'), { seen: 2, nodes: [] })
})
