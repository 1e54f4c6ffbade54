/** What a worker answers to claims of its node and of its vote, in each state that it can be in. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Attempts } from '@eiderwind/run'
import { type Assignment } from '@eiderwind/schema'
import { type ClaimMessage } from '@eiderwind/wire'
import { Calls } from '../src/calls.js'
import { workerBoard, type WorkerBoard } from '../src/facts.js'
import { Grants, nodeResource, replicaHolder } from '../src/grants.js'

const period = 1000

interface Made {
  readonly calls: Calls
  readonly board: WorkerBoard
  readonly clock: ManualClock
}

/** A worker that has been up for longer than a period. */
function make (): Made {
  const clock = new ManualClock()
  const board = workerBoard()
  const grants = new Grants(clock, { longest: period, origin: 'i1' })
  const calls = new Calls({ clock, board, grants, attempts: new Attempts(), incarnation: 'i1', inherit: () => true })
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

async function granted ({ calls }: Made, message: ClaimMessage): Promise<boolean> {
  return (await calls.claim(message)).answer.granted
}

test('a voter that has just started gives no vote before an entry has told it the list of voters', async t => {
  const made = make()
  t.false(await granted(made, vote(1)))
  made.board.write('assignment', plain(3))
  t.false(await granted(made, vote(1)), 'the claim goes by a list that is no longer the present one')
  t.true(await granted(made, vote(3)))
})

test('a voter that knows a later list, from an entry or from a claim, gives no vote by an earlier one', async t => {
  const made = make()
  made.board.write('assignment', plain(3))
  t.true(await granted(made, vote(4)))
  made.clock.advance(2 * period)
  t.false(await granted(made, vote(3, 'b')))
  t.true(await granted(made, vote(4, 'b')))
})

test('a worker that leaves still votes, but gives its node to no other head than the one that has it', async t => {
  const made = make()
  made.board.write('assignment', plain(1))
  t.true(await granted(made, node(1)))
  made.board.write('told', true)
  t.true(await granted(made, vote(1)))
  t.true(await granted(made, node(1)))
  await made.calls.release(node(1))
  t.false(await granted(made, node(2)))
})

test('the fate of an attempt is told by its own incarnation only, and one that was asked for never starts', async t => {
  const clock = new ManualClock()
  const attempts = new Attempts()
  const calls = new Calls({ clock, board: workerBoard(), grants: new Grants(clock, { longest: period, origin: 'i2' }), attempts, incarnation: 'i2', inherit: () => false })
  t.is(await calls.settle({ attempt: 'x', incarnation: 'i1', age: 1 }), 'stranger')
  t.is(await calls.settle({ attempt: 'x', incarnation: 'i2', age: 1 }), 'tombstoned')
  t.false(attempts.start('x', clock.now()))
})

test('a worker that leaves takes no book over', async t => {
  const made = make()
  const handover = { service: 's', slot: 0, voters: [], marks: [], book: { floor: 0, runs: [] } }
  t.true(await made.calls.inherit(handover))
  made.board.write('stopping', true)
  t.false(await made.calls.inherit(handover))
})
