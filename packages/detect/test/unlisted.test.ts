/** How long engines are kept whose entries went: what they answer, what they do not, and what they say of their end. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Roster, type Upstream } from '@eiderwind/roster'
import { Probes, Unlisted, type EngineReport, type UnlistedEnd } from '../src/index.js'

const engine: Upstream = {
  id: 'a', service: 's', address: 'a:1', dataCentre: 'dc', leaving: false, domain: 'd', loaded: ['m'], staged: ['m'], membership: { replica: 's.d.1', epoch: 1, rank: 0, state: 'open' }
}
const plain: Upstream = { id: 'p', service: 's', address: 'p:1', dataCentre: 'dc', leaving: false, loaded: [], staged: [] }

class Answers extends Probes {
  asked = 0
  said: EngineReport | undefined = { loaded: ['m'], staged: ['m'], membership: engine.membership, leaving: false }

  async isReachable (): Promise<boolean> {
    return this.said !== undefined
  }

  async report (): Promise<EngineReport | undefined> {
    this.asked++
    return this.said
  }

  async heartbeatOf (): Promise<undefined> {
    return undefined
  }
}

class Case {
  readonly clock = new ManualClock()
  readonly roster = new Roster(this.clock)
  readonly probes = new Answers()
  readonly ends: UnlistedEnd[] = []
  readonly silent: string[] = []
  readonly unreachable = new Set<string>()
  resumedAt = -Infinity
  readonly unlisted: Unlisted

  constructor (keep = 8000) {
    const { clock, roster, probes } = this
    this.unlisted = new Unlisted({
      clock,
      roster,
      probes,
      keep,
      resumedAt: () => this.resumedAt,
      isUnreachable: id => this.unreachable.has(id),
      silent: (id, missed) => this.silent.push(`${id} ${missed}`),
      changed: () => {},
      kept: () => {},
      ended: (_engine, how) => this.ends.push(how),
      failed: error => { throw error }
    })
    roster.replace([engine, plain])
  }

  /** Lets time pass with a look at every 100 ms. */
  async pass (time: number): Promise<void> {
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

test('an engine whose entry went is asked at once and kept as it describes itself; one that is no engine is not', async t => {
  const made = new Case()
  made.lapse()
  made.unlisted.check()
  t.is(made.probes.asked, 1)
  t.deepEqual(made.unlisted.unheard, ['a'])
  made.probes.said = { loaded: [], staged: ['n'], membership: undefined, leaving: false }
  await made.pass(700)
  t.deepEqual(made.unlisted.engines, [{ ...engine, loaded: [], staged: ['n'], membership: undefined }])
  t.deepEqual(made.unlisted.unheard, [])
})

test('without time to keep them none is kept', async t => {
  const made = new Case(0)
  made.lapse()
  await made.pass(1000)
  t.is(made.probes.asked, 0)
  t.deepEqual(made.unlisted.engines, [])
})

test('one that leaves two probes unanswered is silent, and not kept again before it is listed', async t => {
  const made = new Case()
  made.lapse()
  await made.pass(100)
  made.probes.said = undefined
  await made.pass(500)
  t.is(made.probes.asked, 3)
  t.deepEqual([made.ends, made.silent], [['silent'], ['a 2']])
  made.probes.said = { loaded: [], staged: [], membership: undefined, leaving: false }
  await made.pass(2000)
  t.deepEqual(made.unlisted.engines, [])
  made.roster.apply([{ upstream: engine }])
  await made.pass(100)
  made.lapse()
  await made.pass(100)
  t.true(made.unlisted.has('a'))
})

test('one that leaves the first probe unanswered is silent at once', async t => {
  const made = new Case()
  made.probes.said = undefined
  made.lapse()
  await made.pass(100)
  t.deepEqual([made.probes.asked, made.ends, made.silent], [1, ['silent'], ['a 1']])
})

test('a probe that ran while this process stood still says nothing', async t => {
  const made = new Case()
  made.lapse()
  made.probes.said = undefined
  made.resumedAt = Infinity
  await made.pass(2000)
  t.true(made.unlisted.has('a'))
})

test('one that is found unreachable, was leaving or began a later life is not kept', async t => {
  const unreachable = new Case()
  unreachable.unreachable.add('a')
  unreachable.lapse()
  await unreachable.pass(100)
  t.false(unreachable.unlisted.has('a'))
  const leaving = new Case()
  leaving.roster.apply([{ upstream: { ...engine, leaving: true } }])
  leaving.lapse()
  await leaving.pass(100)
  t.false(leaving.unlisted.has('a'))
  const later = new Case()
  later.roster.apply([{ upstream: { ...engine, id: 'a@2', name: 'a', born: 2 } }])
  await later.pass(100)
  t.deepEqual(later.unlisted.engines, [])
})

test('one that hints twice in a row at its end counts as leaving; a single hint does not', async t => {
  const made = new Case()
  const stays = made.probes.said as EngineReport
  made.lapse()
  for (let times = 0; times < 3; times++) {
    made.probes.said = { ...stays, leaving: true }
    await made.pass(300)
    made.probes.said = stays
    await made.pass(300)
  }
  t.deepEqual(made.ends, [])
  made.probes.said = { ...stays, leaving: true }
  await made.pass(600)
  t.deepEqual(made.ends, ['leaving'])
})

test('one that answers for longer than it is kept stays in view and cannot be counted on, until it is listed again', async t => {
  const made = new Case()
  made.lapse()
  await made.pass(8100)
  t.deepEqual([made.ends, made.unlisted.expired], [['expired'], ['a']])
  t.is(made.unlisted.engines.length, 1)
  made.roster.apply([{ upstream: engine }])
  await made.pass(100)
  t.deepEqual([made.ends, made.unlisted.engines], [['expired'], []])
})

test('one that has left its replica by an order and names no weights keeps those that it had in use', async t => {
  const made = new Case()
  made.lapse()
  await made.pass(100)
  made.unlisted.left('a', 's.d.1')
  made.probes.said = { loaded: [], staged: ['n'], membership: undefined, leaving: false }
  await made.pass(1000)
  t.deepEqual(made.unlisted.engines.map(({ loaded, staged, membership }) => ({ loaded, staged, membership })), [{ loaded: ['m'], staged: ['n'], membership: undefined }])
})

test('what names a replica that an engine has just left is older; a second later it has joined that one again', async t => {
  const made = new Case()
  made.lapse()
  await made.pass(100)
  made.unlisted.left('a', 's.d.1')
  t.is(made.unlisted.engines[0].membership, undefined)
  await made.pass(700)
  t.is(made.unlisted.engines[0].membership, undefined)
  await made.pass(900)
  t.is(made.unlisted.engines[0].membership?.replica, 's.d.1')
})

test('an engine whose address is listed for another one is kept no longer, whatever answers there', async t => {
  const made = new Case()
  made.lapse()
  await made.pass(500)
  t.deepEqual([...made.unlisted.ids], ['a'])
  made.roster.apply([{ upstream: { ...engine, id: 'b' } }])
  await made.pass(200)
  t.deepEqual([...made.unlisted.ids], [])
  t.deepEqual(made.ends, ['silent'])
})
