/**
 * Guards against two holders of one resource at the same time. Property tests run random sequences of lost, delayed,
 * duplicated and reordered messages, pauses, restarts with lost memory, releases and drifting clocks.
 */
import test from 'ava'
import fc from 'fast-check'
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { ViewClock } from '@eiderwind/clock/testing'
import { Channel, Granter, Lease, type Answer, type Claim, type Quorum } from '../src/index.js'

const seed = 20261202
const runs = 150
const period = 1000
const drift = 0.01
const granters = ['g1', 'g2', 'g3', 'g4']

/** A process with a granter. It may pause, and it loses all grants when it restarts. */
class GranterProcess {
  readonly clock: ViewClock
  #granter: Granter

  constructor (base: ManualClock, rate: number) {
    this.clock = new ViewClock(base, rate)
    this.#granter = Granter.started(this.clock.now(), { maxPeriod: period, drift, origin: '' })
  }

  restart (): void {
    this.#granter = Granter.started(this.clock.now(), { maxPeriod: period, drift, origin: '' })
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
}

/** A network that loses, delays, duplicates and reorders messages. */
class Network extends Channel {
  cut = new Set<string>()
  readonly #base: ManualClock
  readonly #random: Random
  readonly #processes: ReadonlyMap<string, GranterProcess>
  readonly #holder: ViewClock

  constructor (base: ManualClock, random: Random, processes: ReadonlyMap<string, GranterProcess>, holder: ViewClock) {
    super()
    this.#base = base
    this.#random = random
    this.#processes = processes
    this.#holder = holder
  }

  request (granter: string, claim: Claim): Promise<Answer> {
    return new Promise(resolve => {
      this.#deliver(granter, 'request', claim, answer => this.#later(granter, () => this.#holder.run(() => resolve(answer))))
    })
  }

  async release (granter: string, claim: Claim): Promise<void> {
    this.#deliver(granter, 'release', claim, () => {})
  }

  #deliver (granter: string, kind: 'request' | 'release', claim: Claim, answer: (answer: Answer) => void): void {
    const copies = this.#random() < 0.2 ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      this.#later(granter, () => this.#processes.get(granter)?.handle(kind, claim, answer))
    }
  }

  #later (granter: string, task: () => void): void {
    if (this.cut.has(granter) || this.#random() < 0.1) return
    const delay = this.#random() < 0.1 ? 3 * period * this.#random() : 40 * this.#random()
    this.#base.after(delay, task)
  }
}

/** A process with a lease. After a restart it claims the resource under a new term. */
class HolderProcess {
  readonly clock: ViewClock
  readonly network: Network
  readonly #name: string
  readonly #quorum: Quorum
  lease!: Lease
  #terms = 0

  constructor (name: string, quorum: Quorum, base: ManualClock, rate: number, random: Random, processes: ReadonlyMap<string, GranterProcess>) {
    this.#name = name
    this.#quorum = quorum
    this.clock = new ViewClock(base, rate)
    this.network = new Network(base, random, processes, this.clock)
    this.begin()
  }

  begin (): void {
    const claim = { resource: 'r', holder: this.#name, term: `${this.#name}-${++this.#terms}`, period }
    this.lease = new Lease({ clock: this.clock, channel: this.network, claim, granters, quorum: this.#quorum, interval: 250 })
    this.lease.start()
  }
}

const step = fc.record({
  action: fc.constantFrom('pause', 'resume', 'restart-granter', 'restart-granter', 'restart-holder', 'release', 'cut', 'mend', 'wait'),
  who: fc.nat(3),
  other: fc.nat(3),
  span: fc.integer({ min: 1, max: 1500 })
})

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never

async function settle (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

/** Runs the steps. Returns the maximum number of simultaneous holders, and how many checks found a holder. */
async function play (quorum: Quorum, steps: readonly Step[], randomSeed: number): Promise<{ maxHolders: number, held: number }> {
  const base = new ManualClock(1_000_000)
  const random = seeded(randomSeed)
  const rate = (): number => 1 + (random() - 0.5) * drift * 0.9
  const processes = new Map(granters.map(id => [id, new GranterProcess(base, rate())]))
  const holders = ['a', 'b', 'c'].map(name => new HolderProcess(name, quorum, base, rate(), random, processes))
  let maxHolders = 0
  let held = 0
  const recordHolders = (): void => {
    const valid = holders.filter(each => each.lease.valid).length
    maxHolders = Math.max(maxHolders, valid)
    held += valid > 0 ? 1 : 0
  }
  for (const { action, who, other, span } of steps) {
    const holder = holders[who % holders.length]
    const granter = processes.get(granters[other]) as GranterProcess
    if (action === 'pause') (span % 2 === 0 ? holder : granter).clock.pause()
    if (action === 'resume') (span % 2 === 0 ? holder : granter).clock.resume()
    if (action === 'restart-granter') granter.restart()
    if (action === 'restart-holder') {
      holder.lease.stop()
      holder.begin()
    }
    if (action === 'release') {
      holder.lease.release()
      holder.begin()
    }
    if (action === 'cut') holder.network.cut.add(granters[other])
    if (action === 'mend') holder.network.cut.clear()
    for (let passed = 0; passed < span; passed += 10) {
      base.advance(10)
      await settle()
      recordHolders()
    }
  }
  for (const each of holders) each.lease.stop()
  return { maxHolders, held }
}

for (const quorum of ['all', 'majority'] as const) {
  test(`by ${quorum} of the granters: one resource never has two holders at once`, async t => {
    t.log(`seed ${seed}, ${runs} runs`)
    let held = 0
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 25 }), fc.nat(), async (steps, randomSeed) => {
      const outcome = await play(quorum, steps, randomSeed)
      held += outcome.held
      return outcome.maxHolders <= 1
    }), { seed, numRuns: runs, endOnFailure: true })
    t.true(held > 1000, 'the runs prove nothing unless the resource was held')
  })
}

test('a lease that lapsed while its holder was paused reports the lapse, even if an answer restores the quorum first', async t => {
  const clock = new ManualClock()
  const answers: (() => void)[] = []
  const channel = new class extends Channel {
    request (): Promise<Answer> {
      return new Promise(resolve => answers.push(() => resolve({ granted: true, mark: { origin: 'g', turn: 1 } })))
    }

    async release (): Promise<void> {}
  }()
  const reported: string[] = []
  const lease = new Lease({
    clock,
    channel,
    claim: { resource: 'r', holder: 'a', term: '1', period },
    granters: ['g'],
    quorum: 'majority',
    interval: 900,
    listener: { held: () => reported.push('held'), lapsed: () => reported.push('lapsed') }
  })
  lease.start()
  answers[0]()
  await settle()
  clock.advance(900)
  clock.freeze(500)
  answers[1]()
  await settle()
  t.true(lease.valid)
  t.deepEqual(reported, ['held', 'lapsed', 'held'])
  lease.stop()
})

test('a holder whose granter is unreachable loses the lease within one period, and after a pause longer than a period at once', async t => {
  const base = new ManualClock()
  const processes = new Map(granters.map(id => [id, new GranterProcess(base, 1)]))
  const holder = new HolderProcess('a', 'all', base, 1, () => 0.5, processes)
  const advance = async (span: number): Promise<void> => {
    for (let passed = 0; passed < span; passed += 10) {
      base.advance(10)
      await settle()
    }
  }
  await advance(2500)
  t.true(holder.lease.valid)
  holder.network.cut.add('g3')
  const lostAt = base.now()
  while (holder.lease.valid && base.now() - lostAt < 3 * period) await advance(10)
  t.true(base.now() - lostAt <= period)
  t.deepEqual(holder.lease.missing, ['g3'])
  holder.network.cut.clear()
  await advance(1000)
  t.true(holder.lease.valid)
  holder.clock.pause()
  base.advance(period + 1)
  t.false(holder.lease.valid)
  holder.clock.resume()
  t.false(holder.lease.valid)
})

test('a grant whose answer arrives late expires one period after its request was sent', async t => {
  const clock = new ManualClock()
  let answer: (answer: Answer) => void = () => {}
  const late = new class extends Channel {
    request (): Promise<Answer> {
      return new Promise(resolve => { answer = resolve })
    }

    async release (): Promise<void> {}
  }()
  const lease = new Lease({ clock, channel: late, claim: { resource: 'r', holder: 'a', term: '1', period }, granters: ['g'], quorum: 'all', interval: 10 * period })
  lease.start()
  clock.advance(900)
  answer({ granted: true, mark: { origin: '', turn: 1 } })
  await settle()
  t.true(lease.valid)
  clock.advance(100)
  t.false(lease.valid)
})
