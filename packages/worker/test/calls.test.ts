/**
 * The answers of a worker to claims of its node and of its vote, to questions about attempts and to handed-over books.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Attempts } from '@eiderwind/run'
import { type Assignment } from '@eiderwind/schema'
import { type ClaimMessage } from '@eiderwind/wire'
import { Calls } from '../src/calls.js'
import { workerBoard, type WorkerBoard } from '../src/facts.js'
import { Grants, nodeResource, replicaHolder } from '../src/grants.js'

const period = 1000

interface Harness {
  readonly calls: Calls
  readonly board: WorkerBoard
  readonly clock: ManualClock
}

/** A worker that has been up for longer than a period. */
function makeHarness (): Harness {
  const clock = new ManualClock()
  const board = workerBoard()
  const grants = new Grants(clock, { maxPeriod: period, origin: 'i1' })
  const calls = new Calls({ clock, board, grants, attempts: new Attempts(), incarnation: 'i1', takeBook: () => true })
  clock.advance(2 * period)
  return { calls, board, clock }
}

function plain (revision: number): Assignment {
  return { kind: 'plain', revision, service: 's', voters: [], concurrency: 1, queue: 1 }
}

function vote (revision: number, holder = 'a'): ClaimMessage {
  return { resource: 'home/s/0', holder, term: holder, period, revision }
}

function node (generation: number): ClaimMessage {
  const holder = replicaHolder('r', generation)
  return { resource: nodeResource, holder, term: holder, period, revision: 1 }
}

async function granted ({ calls }: Harness, message: ClaimMessage): Promise<boolean> {
  return (await calls.claim(message)).answer.granted
}

test('a voter that has just started gives no vote before an entry has sent it the list of voters', async t => {
  const harness = makeHarness()
  t.false(await granted(harness, vote(1)))
  harness.board.write('assignment', plain(3))
  t.false(await granted(harness, vote(1)), 'the claim uses an outdated list of voters')
  t.true(await granted(harness, vote(3)))
})

test('a voter that knows a later list, from an entry or from a claim, refuses a claim that uses an earlier one', async t => {
  const harness = makeHarness()
  harness.board.write('assignment', plain(3))
  t.true(await granted(harness, vote(4)))
  harness.clock.advance(2 * period)
  t.false(await granted(harness, vote(3, 'b')))
  t.true(await granted(harness, vote(4, 'b')))
})

test('a worker that leaves still votes, but grants its node only to the head that already holds it', async t => {
  const harness = makeHarness()
  harness.board.write('assignment', plain(1))
  t.true(await granted(harness, node(1)))
  harness.board.write('mustLeave', true)
  t.true(await granted(harness, vote(1)))
  t.true(await granted(harness, node(1)))
  await harness.calls.release(node(1))
  t.false(await granted(harness, node(2)))
})

test('a worker settles no attempt at another incarnation, and an attempt settled before its start never starts', async t => {
  const clock = new ManualClock()
  const attempts = new Attempts()
  const calls = new Calls({ clock, board: workerBoard(), grants: new Grants(clock, { maxPeriod: period, origin: 'i2' }), attempts, incarnation: 'i2', takeBook: () => false })
  t.is(await calls.settle({ attempt: 'x', incarnation: 'i1', age: 1 }), 'stranger')
  t.is(await calls.settle({ attempt: 'x', incarnation: 'i2', age: 1 }), 'tombstoned')
  t.false(attempts.start('x', clock.now()))
})

test('a worker that stops takes over no book of runs', async t => {
  const harness = makeHarness()
  const handover = { service: 's', slot: 0, voters: [], marks: [], book: { floor: 0, runs: [] } }
  t.true(await harness.calls.inherit(handover))
  harness.board.write('stopping', true)
  t.false(await harness.calls.inherit(handover))
})
