/**
 * How long engines are retained after their entries were removed, depending on their answers, missed probes and hints
 * at an end.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Roster, type Upstream } from '@eiderwind/roster'
import { Probes, Unlisted, type EngineReport, type UnlistedEnd, type ProbeResult } from '../src/index.js'

const engine: Upstream = {
  id: 'a', service: 's', address: 'a:1', dataCentre: 'dc', leaving: false, domain: 'd', loaded: ['m'], staged: ['m'], membership: { replica: 's.d.1', epoch: 1, rank: 0, state: 'open' }
}
const plain: Upstream = { id: 'p', service: 's', address: 'p:1', dataCentre: 'dc', leaving: false, loaded: [], staged: [] }

class StubProbes extends Probes {
  requestCount = 0
  /** The result of a probe without a response. */
  missedResult: ProbeResult = 'silent'
  response: EngineReport | undefined = { loaded: ['m'], staged: ['m'], membership: engine.membership, leaving: false }

  async probe (): Promise<ProbeResult> {
    return this.response === undefined ? this.missedResult : 'answered'
  }

  async report (): Promise<EngineReport | undefined> {
    this.requestCount++
    return this.response
  }

  async heartbeatOf (): Promise<undefined> {
    return undefined
  }
}

class Fixture {
  readonly clock = new ManualClock()
  readonly roster = new Roster(this.clock)
  readonly probes = new StubProbes()
  readonly ends: UnlistedEnd[] = []
  readonly silent: string[] = []
  readonly lost = new Set<string>()
  resumedAt = -Infinity
  readonly unlisted: Unlisted

  constructor (retentionTime = 8000) {
    const { clock, roster, probes } = this
    this.unlisted = new Unlisted({
      clock,
      roster,
      probes,
      retentionTime,
      resumedAt: () => this.resumedAt,
      isLost: id => this.lost.has(id),
      silent: (id, missed) => this.silent.push(`${id} ${missed}`),
      changed: () => {},
      retained: () => {},
      ended: (_engine, how) => this.ends.push(how),
      failed: error => { throw error }
    })
    roster.replace([engine, plain])
  }

  /** Lets time pass with a check every 100 ms. */
  async advance (time: number): Promise<void> {
    for (let gone = 0; gone < time; gone += 100) {
      this.unlisted.check()
      await new Promise(resolve => setImmediate(resolve))
      this.clock.advance(100)
    }
  }

  lapse (): void {
    this.roster.apply([{ gone: engine.id }, { gone: plain.id }])
  }
}

test('an engine whose entry was removed is probed at once and retained as it reports itself; a plain upstream is not', async t => {
  const fixture = new Fixture()
  fixture.lapse()
  fixture.unlisted.check()
  t.is(fixture.probes.requestCount, 1)
  t.deepEqual(fixture.unlisted.unresponsive, ['a'])
  fixture.probes.response = { loaded: [], staged: ['n'], membership: undefined, leaving: false }
  await fixture.advance(700)
  t.deepEqual(fixture.unlisted.engines, [{ ...engine, loaded: [], staged: ['n'], membership: undefined }])
  t.deepEqual(fixture.unlisted.unresponsive, [])
})

test('with a retention time of 0 no engine is probed or retained', async t => {
  const fixture = new Fixture(0)
  fixture.lapse()
  await fixture.advance(1000)
  t.is(fixture.probes.requestCount, 0)
  t.deepEqual(fixture.unlisted.engines, [])
})

// Guards against a sound engine that is given up because it was silent for a second or two.
test('an engine that has answered stays retained while a sound process may be silent, and no longer', async t => {
  const fixture = new Fixture()
  fixture.lapse()
  await fixture.advance(300)
  fixture.probes.response = undefined
  await fixture.advance(2400)
  t.true(fixture.unlisted.has('a'))
  await fixture.advance(600)
  t.deepEqual([fixture.unlisted.has('a'), fixture.ends], [false, ['silent']])
})

test('an engine at whose address no process listens any more is silent, and is not retained again before it is listed', async t => {
  const fixture = new Fixture()
  fixture.lapse()
  await fixture.advance(100)
  fixture.probes.response = undefined
  fixture.probes.missedResult = 'refused'
  await fixture.advance(500)
  t.is(fixture.probes.requestCount, 3)
  t.deepEqual([fixture.ends, fixture.silent], [['silent'], ['a 2']])
  fixture.probes.response = { loaded: [], staged: [], membership: undefined, leaving: false }
  await fixture.advance(2000)
  t.deepEqual(fixture.unlisted.engines, [])
  fixture.roster.apply([{ upstream: engine }])
  await fixture.advance(100)
  fixture.lapse()
  await fixture.advance(100)
  t.true(fixture.unlisted.has('a'))
})

test('an engine that leaves the first probe unanswered is silent at once', async t => {
  const fixture = new Fixture()
  fixture.probes.response = undefined
  fixture.lapse()
  await fixture.advance(100)
  t.deepEqual([fixture.probes.requestCount, fixture.ends, fixture.silent], [1, ['silent'], ['a 1']])
})

test('a probe that is unanswered during a pause of this process does not count as missed', async t => {
  const fixture = new Fixture()
  fixture.lapse()
  fixture.probes.response = undefined
  fixture.resumedAt = Infinity
  await fixture.advance(2000)
  t.true(fixture.unlisted.has('a'))
})

test('an engine that is lost, was leaving or has begun a later incarnation is not retained', async t => {
  const lost = new Fixture()
  lost.lost.add('a')
  lost.lapse()
  await lost.advance(100)
  t.false(lost.unlisted.has('a'))
  const leaving = new Fixture()
  leaving.roster.apply([{ upstream: { ...engine, leaving: true } }])
  leaving.lapse()
  await leaving.advance(100)
  t.false(leaving.unlisted.has('a'))
  const later = new Fixture()
  later.roster.apply([{ upstream: { ...engine, id: 'a@2', name: 'a', born: 2 } }])
  await later.advance(100)
  t.deepEqual(later.unlisted.engines, [])
})

test('an engine that hints twice in a row at its end counts as leaving; a single hint does not count', async t => {
  const fixture = new Fixture()
  const stays = fixture.probes.response as EngineReport
  fixture.lapse()
  for (let times = 0; times < 3; times++) {
    fixture.probes.response = { ...stays, leaving: true }
    await fixture.advance(300)
    fixture.probes.response = stays
    await fixture.advance(300)
  }
  t.deepEqual(fixture.ends, [])
  fixture.probes.response = { ...stays, leaving: true }
  await fixture.advance(600)
  t.deepEqual(fixture.ends, ['leaving'])
})

test('an engine that still answers after the retention time is reported as expired until it is listed again', async t => {
  const fixture = new Fixture()
  fixture.lapse()
  await fixture.advance(8100)
  t.deepEqual([fixture.ends, fixture.unlisted.expired], [['expired'], ['a']])
  t.is(fixture.unlisted.engines.length, 1)
  fixture.roster.apply([{ upstream: engine }])
  await fixture.advance(100)
  t.deepEqual([fixture.ends, fixture.unlisted.engines], [['expired'], []])
})

test('an engine that left its replica by an order and reports no weights retains those that it had in use', async t => {
  const fixture = new Fixture()
  fixture.lapse()
  await fixture.advance(100)
  fixture.unlisted.recordLeft('a', 's.d.1')
  fixture.probes.response = { loaded: [], staged: ['n'], membership: undefined, leaving: false }
  await fixture.advance(1000)
  t.deepEqual(fixture.unlisted.engines.map(({ loaded, staged, membership }) => ({ loaded, staged, membership })), [{ loaded: ['m'], staged: ['n'], membership: undefined }])
})

test('a report that names a replica which the engine has just left is outdated; a second later it means that the engine has joined again', async t => {
  const fixture = new Fixture()
  fixture.lapse()
  await fixture.advance(100)
  fixture.unlisted.recordLeft('a', 's.d.1')
  t.is(fixture.unlisted.engines[0].membership, undefined)
  await fixture.advance(700)
  t.is(fixture.unlisted.engines[0].membership, undefined)
  await fixture.advance(900)
  t.is(fixture.unlisted.engines[0].membership?.replica, 's.d.1')
})

test('an engine whose address is listed for another one is no longer retained, whatever answers there', async t => {
  const fixture = new Fixture()
  fixture.lapse()
  await fixture.advance(500)
  t.deepEqual([...fixture.unlisted.ids], ['a'])
  fixture.roster.apply([{ upstream: { ...engine, id: 'b' } }])
  await fixture.advance(200)
  t.deepEqual([...fixture.unlisted.ids], [])
  t.deepEqual(fixture.ends, ['silent'])
})
