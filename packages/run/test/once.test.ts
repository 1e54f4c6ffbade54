/**
 * Guards against a key that runs twice. Property tests run the homes of three workers with random pauses, restarts with
 * lost memory, network cuts, delays, skewed clocks of callers and workers, and requests to any worker at any time.
 */
import test from 'ava'
import fc from 'fast-check'
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { ViewClock } from '@eiderwind/clock/testing'
import { Channel, Granter, type Answer, type Claim } from '@eiderwind/lease'
import { type Handover } from '@eiderwind/schema'
import { Homes, mintKey, readKey, type Key, type Opening } from '../src/index.js'

const seed = 20261203
const runs = 120
/** Seed and number of runs of the standstills. The environment can set others for a long run. */
const standstillSeed = Number(process.env.STANDSTILL_SEED ?? 1)
const standstillRuns = Number(process.env.STANDSTILL_RUNS ?? 120)
const period = 600
const skew = 200
const names = ['w1', 'w2', 'w3']
const slot = 0

/** The executions of one key at the service, and the outcomes reported to callers. */
interface Trace {
  readonly key: Key
  /** Whether the key can still be sent as just minted by the entry. */
  isFresh: boolean
  executions: number
  sent: number
  readonly outcomes: string[]
}

/** One worker with its granter and its homes. */
class WorkerProcess {
  readonly name: string
  readonly clock: ViewClock
  readonly cut = new Set<string>()
  readonly #fleet: ReadonlyMap<string, WorkerProcess>
  readonly #random: Random
  readonly #base: ManualClock
  #granter!: Granter
  readonly #opened: (opening: Opening) => void
  #terms = 0
  #tenures = 0
  homes!: Homes
  /** An attempt names an incarnation of the worker. Any other incarnation refuses it. */
  incarnation = 0

  constructor (name: string, base: ManualClock, random: Random, fleet: ReadonlyMap<string, WorkerProcess>, opened: (opening: Opening) => void) {
    this.name = name
    this.#opened = opened
    this.#base = base
    this.#random = random
    this.#fleet = fleet
    this.clock = new ViewClock(base, 1 + (random() - 0.5) * 0.009, (random() - 0.5) * skew)
    this.begin()
  }

  /** Starts with empty memory. */
  begin (): void {
    this.incarnation++
    this.#granter = Granter.started(this.clock.now(), { maxPeriod: period, origin: `${this.name}/${this.incarnation}` })
    this.#open()
  }

  /** Hands one slot over to its preferred voter. */
  yieldSlot (): void {
    const channel = new WorkerChannel(this, this.#fleet, this.#base, this.#random)
    this.homes.yieldSlot((voter, handover) => channel.give(voter, handover))
  }

  #open (): void {
    this.homes = new Homes({
      clock: this.clock,
      channel: new WorkerChannel(this, this.#fleet, this.#base, this.#random),
      service: 's',
      worker: this.name,
      voters: names,
      period,
      interval: 150,
      nonce: () => `${this.name}/${this.incarnation}/${++this.#terms}`,
      tenure: () => ++this.#tenures,
      preferred: () => names,
      book: { skew, retention: 20_000 },
      minStay: 300,
      listener: { held: this.#opened }
    })
  }

  restart (): void {
    this.homes.stop()
    this.begin()
  }

  /** Hands every slot over, as at a planned stop, and starts again. The grants of its granter remain. */
  handOver (): void {
    const channel = new WorkerChannel(this, this.#fleet, this.#base, this.#random)
    this.homes.handOver((voter, handover) => channel.give(voter, handover))
    this.#open()
  }

  handle (kind: 'request' | 'release', claim: Claim, answer: (answer: Answer) => void): void {
    this.clock.run(() => {
      if (kind === 'release') {
        this.#granter = this.#granter.release(claim)
        return
      }
      const decision = this.#granter.request(claim, this.clock.now())
      this.#granter = decision.granter
      answer(decision.answer)
    })
  }

  /** Handles a request when it arrives, possibly long after it was sent. */
  serve (trace: Trace, incarnation: number, mintedFor: number | undefined): void {
    this.clock.run(() => {
      const book = this.homes.book(slot)
      if (book === undefined || incarnation !== this.incarnation) {
        trace.outcomes.push('not-run')
        return
      }
      const decision = book.begin(trace.key, 1, this.clock.wall(), mintedFor)
      if (decision.type === 'refuse') trace.outcomes.push(decision.fault.outcome)
      if (decision.type !== 'run') return
      trace.executions++
      this.#base.after(300 * this.#random(), () => this.clock.run(() => book.finish(trace.key, { status: 200, headers: {}, body: Buffer.alloc(1) })))
    })
  }
}

/** A network between workers that loses, delays and duplicates messages. */
class WorkerChannel extends Channel {
  readonly #from: WorkerProcess
  readonly #fleet: ReadonlyMap<string, WorkerProcess>
  readonly #base: ManualClock
  readonly #random: Random

  constructor (from: WorkerProcess, fleet: ReadonlyMap<string, WorkerProcess>, base: ManualClock, random: Random) {
    super()
    this.#from = from
    this.#fleet = fleet
    this.#base = base
    this.#random = random
  }

  request (granter: string, claim: Claim): Promise<Answer> {
    return new Promise(resolve => {
      this.#later(granter, () => this.#fleet.get(granter)?.handle('request', claim, answer => {
        this.#later(granter, () => this.#from.clock.run(() => resolve(answer)))
      }))
    })
  }

  async release (granter: string, claim: Claim): Promise<void> {
    for (let copy = 0; copy < 2; copy++) this.#later(granter, () => this.#fleet.get(granter)?.handle('release', claim, () => {}))
  }

  /** Sends a book, sometimes twice. */
  give (voter: string, handover: Handover): Promise<boolean> {
    return new Promise(resolve => {
      this.#later(voter, () => this.#inherit(voter, handover, resolve))
      if (this.#random() < 0.2) this.#later(voter, () => this.#inherit(voter, handover, () => {}))
      this.#base.after(period, () => this.#from.clock.run(() => resolve(false)))
    })
  }

  #inherit (voter: string, handover: Handover, answer: (taken: boolean) => void): void {
    const successor = this.#fleet.get(voter) as WorkerProcess
    successor.clock.run(() => {
      const taken = successor.homes.inherit(JSON.parse(JSON.stringify(handover)) as Handover)
      this.#later(voter, () => this.#from.clock.run(() => answer(taken)))
    })
  }

  #later (granter: string, task: () => void): void {
    if (granter !== this.#from.name && (this.#from.cut.has(granter) || this.#random() < 0.05)) return
    this.#base.after(this.#random() < 0.05 ? 2 * period * this.#random() : 20 * this.#random(), task)
  }
}

/** Steps of a fleet with all troubles. */
const step = fc.record({
  action: fc.constantFrom<Action[]>('pause', 'resume', 'resume', 'restart', 'hand', 'yield', 'cut', 'mend', 'new', 'new', 'again', 'again', 'again'),
  who: fc.nat(2),
  which: fc.nat(50),
  span: fc.integer({ min: 1, max: 900 })
})

/** A step with one of the given actions that takes between `min` and `max` ms. */
function stepOf (actions: readonly Action[], min: number, max: number): fc.Arbitrary<Step> {
  return fc.record({ action: fc.constantFrom(...actions), who: fc.nat(2), which: fc.nat(50), span: fc.integer({ min, max }) })
}

/**
 * Steps of a fleet whose workers often stand still, alone or together, for less or more than a lease period. In some
 * series of steps another home can take over meanwhile, run keys and end before the first one resumes.
 */
const standstill = fc.array(fc.oneof(
  stepOf(['pause', 'pause-all', 'resume', 'resume', 'cut', 'mend', 'mend', 'new', 'new', 'everywhere', 'restart', 'hand', 'yield'], 1, 1500).map(each => [each]),
  fc.tuple(
    stepOf(['pause'], 1000, 2500),
    stepOf(['new'], 1, 300),
    stepOf(['restart', 'hand', 'pause', 'pause-all'], 1, 800),
    stepOf(['resume'], 300, 1500),
    stepOf(['everywhere'], 1, 300)
  )
), { minLength: 5, maxLength: 15 }).map(series => series.flat())

type Action = 'pause' | 'pause-all' | 'resume' | 'restart' | 'hand' | 'yield' | 'cut' | 'mend' | 'new' | 'again' | 'everywhere'

interface Step {
  readonly action: Action
  readonly who: number
  readonly which: number
  readonly span: number
}

async function play (steps: readonly Step[], randomSeed: number, opened: (opening: Opening) => void = () => {}): Promise<Trace[]> {
  const base = new ManualClock(1_700_000_000_000)
  const random = seeded(randomSeed)
  const fleet = new Map<string, WorkerProcess>()
  for (const name of names) fleet.set(name, new WorkerProcess(name, base, random, fleet, opened))
  const traces: Trace[] = []
  const advance = async (span: number): Promise<void> => {
    for (let passed = 0; passed < span; passed += 25) {
      base.advance(25)
      await new Promise(resolve => setImmediate(resolve))
      for (const worker of fleet.values()) worker.clock.run(() => worker.homes.update())
    }
  }
  await advance(2 * period)
  for (const { action, who, which, span } of steps) {
    const worker = fleet.get(names[who]) as WorkerProcess
    if (action === 'pause') worker.clock.pause()
    if (action === 'pause-all') for (const each of fleet.values()) each.clock.pause()
    if (action === 'resume') for (const each of fleet.values()) each.clock.resume()
    if (action === 'restart') worker.restart()
    if (action === 'hand') worker.handOver()
    if (action === 'yield') worker.clock.run(() => worker.yieldSlot())
    if (action === 'cut') worker.cut.add(names[which % 3])
    if (action === 'mend') worker.cut.clear()
    if (action === 'everywhere') for (const each of fleet.values()) for (const trace of traces) each.serve(trace, each.incarnation, undefined)
    if (action === 'new') traces.push({ key: readKey(mintKey(base.wall() + (random() - 0.5) * skew)).unwrap(), isFresh: span % 3 === 0, executions: 0, sent: 0, outcomes: [] })
    if ((action === 'new' || action === 'again') && traces.length > 0) {
      const trace = action === 'new' ? traces[traces.length - 1] : traces[which % traces.length]
      const mintedFor = trace.isFresh ? worker.homes.held.find(each => each.slot === slot)?.tenure : undefined
      trace.isFresh = false
      trace.sent++
      const { incarnation } = worker
      worker.serve(trace, incarnation, mintedFor)
      base.after(2000 * random(), () => worker.serve(trace, incarnation, mintedFor))
    }
    await advance(span)
  }
  for (const each of fleet.values()) each.clock.resume()
  await advance(period)
  for (const each of fleet.values()) each.homes.stop()
  return traces
}

test('a key runs at most once under pauses, restarts, handovers, network faults and clock skew', async t => {
  t.log(`seed ${seed}, ${runs} runs`)
  let executed = 0
  let keys = 0
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 40 }), fc.nat(), async (steps, randomSeed) => {
    const traces = await play(steps, randomSeed)
    keys += traces.length
    executed += traces.filter(each => each.executions > 0).length
    return traces.every(each => each.executions <= 1)
  }), { seed, numRuns: runs, endOnFailure: true })
  t.log(`${keys} keys, ${executed} executed`)
  t.true(executed > 100, 'the runs prove nothing unless requests were executed')
})

test('a key runs at most once under standstills of one or all workers, though homes continue their books', async t => {
  t.log(`seed ${standstillSeed}, ${standstillRuns} runs`)
  t.timeout(standstillRuns * 1000)
  const openings = { new: 0, inherited: 0, continued: 0 }
  let executed = 0
  await fc.assert(fc.asyncProperty(standstill, fc.nat(), async (steps, randomSeed) => {
    const traces = await play(steps, randomSeed, ({ origin }) => { openings[origin]++ })
    executed += traces.filter(each => each.executions > 0).length
    return traces.every(each => each.executions <= 1)
  }), { seed: standstillSeed, numRuns: standstillRuns, endOnFailure: true })
  t.log(`${executed} executed; books: ${JSON.stringify(openings)}`)
  t.true(executed > standstillRuns / 2, 'the runs prove nothing unless requests were executed')
  t.true(openings.continued > standstillRuns, 'the runs prove nothing unless books were continued')
})
