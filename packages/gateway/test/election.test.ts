/** The election of a leader at one gateway, with a record that other gateways change and a store that loses answers. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type WriteFailure } from '@eiderwind/forming'
import { Err, Ok, type Result } from 'ts-results-es'
import { Election } from '../src/election.js'
import { Leaders, noLeader, type Leader } from '../src/leaders.js'

/** A record whose writes fail as set by the test. */
class LeaderRecord extends Leaders {
  leader = noLeader
  /** Number of store calls. */
  reads = 0
  writes = 0
  /** Outcome of the next write: done, refused because of another gateway's write, or done with the answer lost. */
  nextWrite: 'done' | 'conflict' | 'lost' = 'done'

  async read (): Promise<Result<Leader, string>> {
    this.reads++
    return Ok(this.leader)
  }

  async elect (_service: string, id: string, read: Leader): Promise<Result<number, WriteFailure>> {
    if (read.id === id) return Ok(read.term)
    this.writes++
    const { nextWrite } = this
    this.nextWrite = 'done'
    if (nextWrite === 'conflict' || read.term !== this.leader.term) return Err('conflict')
    this.leader = { id, term: read.term + 1 }
    return nextWrite === 'lost' ? Err('unknown') : Ok(this.leader.term)
  }
}

class Fixture {
  readonly clock = new ManualClock()
  readonly record = new LeaderRecord()
  eligible = true
  /** Position of this gateway among the candidates. */
  rank = 0
  others: Array<{ term: number, able: boolean }> = []
  changes = 0
  readonly election = new Election({
    clock: this.clock,
    leaders: this.record,
    service: 's',
    id: 'own',
    eligible: () => this.eligible,
    position: () => this.rank,
    others: () => this.others,
    changed: () => { this.changes++ }
  })

  /** Advances the clock, with a check of the election every 50 ms. */
  async run (span: number): Promise<void> {
    for (let passed = 0; passed < span; passed += 50) {
      this.clock.advance(50)
      this.election.update()
      await new Promise(resolve => setImmediate(resolve))
    }
  }
}

test('without a leader the first candidate is elected at once with one read and one write, and reports the change', async t => {
  const fixture = new Fixture()
  await fixture.run(50)
  t.is(fixture.election.term, 1)
  t.deepEqual([fixture.record.reads, fixture.record.writes, fixture.changes], [1, 1, 1])
  await fixture.run(20_000)
  t.deepEqual([fixture.record.reads, fixture.record.writes], [1, 1])
})

test('a later candidate waits, and does not stand for election if the first one has been elected meanwhile', async t => {
  const fixture = new Fixture()
  fixture.rank = 2
  await fixture.run(150)
  t.is(fixture.record.reads, 0)
  fixture.others = [{ term: 1, able: true }]
  await fixture.run(5000)
  t.is(fixture.record.reads, 0)
  fixture.others = []
  await fixture.run(300)
  t.is(fixture.election.term, 1)
})

test('a gateway that may not plan does not stand for election', async t => {
  const fixture = new Fixture()
  fixture.eligible = false
  await fixture.run(5000)
  t.is(fixture.record.reads, 0)
})

test('a live leader that may not plan is replaced after one second, unless it may plan again by then', async t => {
  const fixture = new Fixture()
  fixture.others = [{ term: 4, able: false }]
  await fixture.run(900)
  fixture.others = [{ term: 4, able: true }]
  await fixture.run(500)
  fixture.others = [{ term: 4, able: false }]
  await fixture.run(950)
  t.is(fixture.record.reads, 0)
  await fixture.run(150)
  t.not(fixture.election.term, undefined)
})

test('a gateway that loses an election waits for the heartbeats of the winner', async t => {
  const fixture = new Fixture()
  fixture.record.nextWrite = 'conflict'
  await fixture.run(50)
  t.is(fixture.election.term, undefined)
  await fixture.run(400)
  t.is(fixture.record.writes, 1)
  fixture.others = [{ term: 2, able: true }]
  await fixture.run(5000)
  t.deepEqual([fixture.record.reads, fixture.record.writes], [1, 1])
})

test('a gateway that gets no answer to its write leads after it has read the record again, without another write', async t => {
  const fixture = new Fixture()
  fixture.record.nextWrite = 'lost'
  await fixture.run(50)
  t.is(fixture.election.term, undefined)
  await fixture.run(600)
  t.is(fixture.election.term, 1)
  t.is(fixture.record.writes, 1)
})

test('a leader steps down for a later term, but not for an earlier one', async t => {
  const fixture = new Fixture()
  fixture.record.leader = { id: 'before', term: 6 }
  await fixture.run(50)
  t.is(fixture.election.term, 7)
  fixture.others = [{ term: 6, able: true }]
  await fixture.run(1000)
  t.is(fixture.election.term, 7)
  fixture.others = [{ term: 8, able: true }]
  await fixture.run(50)
  t.is(fixture.election.term, undefined)
  t.is(fixture.changes, 2)
})

test('a leader with a write conflict steps down if the record names another leader, and continues to lead otherwise', async t => {
  const fixture = new Fixture()
  await fixture.run(50)
  await fixture.election.check()
  t.is(fixture.election.term, 1)
  fixture.record.leader = { id: 'other', term: 2 }
  await fixture.election.check()
  t.is(fixture.election.term, undefined)
})

test('a leader that has resigned does not stand for election again while it may not plan', async t => {
  const fixture = new Fixture()
  await fixture.run(50)
  fixture.eligible = false
  fixture.election.resign()
  t.is(fixture.election.term, undefined)
  await fixture.run(2000)
  t.is(fixture.record.writes, 1)
})
