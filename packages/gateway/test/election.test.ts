/** One gateway's part in the election of a leader, against a record that other gateways change and a store that loses answers. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type WriteFailure } from '@eiderwind/forming'
import { Err, Ok, type Result } from 'ts-results-es'
import { Election } from '../src/election.js'
import { Leaders, nobody, type Leader } from '../src/leaders.js'

/** A record that fails as told. */
class Record extends Leaders {
  leader = nobody
  reads = 0
  writes = 0
  /** What becomes of the next write: done, refused since another one came first, or done without an answer. */
  next: 'done' | 'conflict' | 'lost' = 'done'

  async read (): Promise<Result<Leader, string>> {
    this.reads++
    return Ok(this.leader)
  }

  async elect (_service: string, id: string, read: Leader): Promise<Result<number, WriteFailure>> {
    if (read.id === id) return Ok(read.term)
    this.writes++
    const { next } = this
    this.next = 'done'
    if (next === 'conflict' || read.term !== this.leader.term) return Err('conflict')
    this.leader = { id, term: read.term + 1 }
    return next === 'lost' ? Err('unknown') : Ok(this.leader.term)
  }
}

class Scene {
  readonly clock = new ManualClock()
  readonly record = new Record()
  eligible = true
  place = 0
  others: Array<{ term: number, able: boolean }> = []
  changes = 0
  readonly election = new Election({
    clock: this.clock,
    leaders: this.record,
    service: 's',
    id: 'own',
    eligible: () => this.eligible,
    place: () => this.place,
    others: () => this.others,
    changed: () => { this.changes++ }
  })

  /** Lets time pass with a look each 50 ms. */
  async run (span: number): Promise<void> {
    for (let passed = 0; passed < span; passed += 50) {
      this.clock.advance(50)
      this.election.look()
      await new Promise(resolve => setImmediate(resolve))
    }
  }
}

test('where nobody leads the first in place is elected at once, with one reading and one write, and says so', async t => {
  const scene = new Scene()
  await scene.run(50)
  t.is(scene.election.term, 1)
  t.deepEqual([scene.record.reads, scene.record.writes, scene.changes], [1, 1, 1])
  await scene.run(20_000)
  t.deepEqual([scene.record.reads, scene.record.writes], [1, 1])
})

test('the next in place waits, and does not stand where the first was elected meanwhile', async t => {
  const scene = new Scene()
  scene.place = 2
  await scene.run(150)
  t.is(scene.record.reads, 0)
  scene.others = [{ term: 1, able: true }]
  await scene.run(5000)
  t.is(scene.record.reads, 0)
  scene.others = []
  await scene.run(300)
  t.is(scene.election.term, 1)
})

test('one that may not plan does not stand', async t => {
  const scene = new Scene()
  scene.eligible = false
  await scene.run(5000)
  t.is(scene.record.reads, 0)
})

test('a leader that lives and may not plan is replaced after a second, and not where it may again by then', async t => {
  const scene = new Scene()
  scene.others = [{ term: 4, able: false }]
  await scene.run(900)
  scene.others = [{ term: 4, able: true }]
  await scene.run(500)
  scene.others = [{ term: 4, able: false }]
  await scene.run(950)
  t.is(scene.record.reads, 0)
  await scene.run(150)
  t.not(scene.election.term, undefined)
})

test('one that loses an election waits for the winner\'s heartbeats', async t => {
  const scene = new Scene()
  scene.record.next = 'conflict'
  await scene.run(50)
  t.is(scene.election.term, undefined)
  await scene.run(400)
  t.is(scene.record.writes, 1)
  scene.others = [{ term: 2, able: true }]
  await scene.run(5000)
  t.deepEqual([scene.record.reads, scene.record.writes], [1, 1])
})

test('where the answer to its own write was lost, it leads once it has read the record again, without another write', async t => {
  const scene = new Scene()
  scene.record.next = 'lost'
  await scene.run(50)
  t.is(scene.election.term, undefined)
  await scene.run(600)
  t.is(scene.election.term, 1)
  t.is(scene.record.writes, 1)
})

test('a leader gives way to a later term, and not to an earlier one', async t => {
  const scene = new Scene()
  scene.record.leader = { id: 'before', term: 6 }
  await scene.run(50)
  t.is(scene.election.term, 7)
  scene.others = [{ term: 6, able: true }]
  await scene.run(1000)
  t.is(scene.election.term, 7)
  scene.others = [{ term: 8, able: true }]
  await scene.run(50)
  t.is(scene.election.term, undefined)
  t.is(scene.changes, 2)
})

test('a leader whose write met another one\'s rests where the record names that one, and goes on where it does not', async t => {
  const scene = new Scene()
  await scene.run(50)
  await scene.election.check()
  t.is(scene.election.term, 1)
  scene.record.leader = { id: 'other', term: 2 }
  await scene.election.check()
  t.is(scene.election.term, undefined)
})

test('a leader that resigns stands no more while it may not plan', async t => {
  const scene = new Scene()
  await scene.run(50)
  scene.eligible = false
  scene.election.resign()
  t.is(scene.election.term, undefined)
  await scene.run(2000)
  t.is(scene.record.writes, 1)
})
