/** Which engines a planner that has taken over may use, by the answers to its probes. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Roster, type Upstream } from '@eiderwind/roster'
import { Probes, Unverified } from '../src/index.js'

function engine (id: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, domain: 'd', loaded: [], staged: [] }
}

/** Probes that end when the test lets them. */
class HeldProbes extends Probes {
  readonly held: Array<{ readonly address: string, readonly end: (reachable: boolean) => void }> = []

  isReachable (address: string): Promise<boolean> {
    return new Promise(resolve => this.held.push({ address, end: resolve }))
  }

  async report (): Promise<undefined> {
    return undefined
  }

  async heartbeatOf (): Promise<undefined> {
    return undefined
  }

  /** Ends all probes under way. Those at the given addresses are answered. */
  async end (answered: readonly string[]): Promise<void> {
    for (const { address, end } of this.held.splice(0)) end(answered.includes(address))
    await new Promise(resolve => setImmediate(resolve))
  }
}

class Fixture {
  readonly clock = new ManualClock()
  readonly roster = new Roster(this.clock)
  readonly probes = new HeldProbes()
  readonly silent: string[] = []
  resumedAt = -Infinity
  readonly unverified = new Unverified({
    clock: this.clock,
    roster: this.roster,
    probes: this.probes,
    resumedAt: () => this.resumedAt,
    silent: (id, missed) => this.silent.push(`${id} ${missed}`),
    changed: () => {},
    failed: error => { throw error }
  })

  constructor (ids: readonly string[] = ['a', 'b']) {
    this.roster.replace(ids.map(engine))
    this.unverified.add(this.roster.upstreams)
    this.unverified.check()
  }

  /** Ends the probes under way and begins the next ones. */
  async round (answered: readonly string[]): Promise<void> {
    await this.probes.end(answered)
    this.unverified.check()
  }
}

test('an engine is unverified until it answers, and one that misses two probes is silent', async t => {
  const fixture = new Fixture()
  t.deepEqual([...fixture.unverified.ids], ['a', 'b'])
  await fixture.round(['a:1'])
  t.deepEqual([...fixture.unverified.ids], ['b'])
  t.deepEqual(fixture.silent, [])
  await fixture.round([])
  t.deepEqual([...fixture.unverified.ids], [])
  t.deepEqual(fixture.silent, ['b 2'])
})

test('a probe that ended during a pause of this process says nothing', async t => {
  const fixture = new Fixture(['a'])
  fixture.resumedAt = 1
  await fixture.round([])
  fixture.resumedAt = -Infinity
  await fixture.round([])
  t.deepEqual([...fixture.unverified.ids], ['a'])
  await fixture.round(['a:1'])
  t.deepEqual([...fixture.unverified.ids], [])
})

test('an engine whose entry is gone is no longer probed', async t => {
  const fixture = new Fixture()
  fixture.roster.replace([engine('a')])
  await fixture.round([])
  t.deepEqual(fixture.probes.held.map(({ address }) => address), ['a:1'])
})

test('of many engines, a bounded number is probed at a time', async t => {
  const ids = Array.from({ length: 120 }, (_each, index) => `n${index}`)
  const fixture = new Fixture(ids)
  const counts: number[] = []
  while (fixture.probes.held.length > 0) {
    counts.push(fixture.probes.held.length)
    await fixture.round(ids.map(id => `${id}:1`))
  }
  t.deepEqual(counts, [50, 50, 20])
})
