import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Channel, Granter, type Answer, type Claim } from '@eiderwind/lease'
import { type Handover } from '@eiderwind/schema'
import { Homes, mintKey, readKey, slotCount, type BookOptions, type Key, type KeyDecision } from '../src/index.js'

const period = 1000

/** Voters in this process that answer at once. */
class LocalVoters extends Channel {
  readonly #clock: ManualClock
  readonly #granters = new Map<string, Granter>()

  constructor (clock: ManualClock, names: readonly string[]) {
    super()
    this.#clock = clock
    for (const name of names) this.#granters.set(name, Granter.started(clock.now(), { maxPeriod: period, origin: name }))
  }

  /** Messages that are lost, as `holder>voter`. */
  readonly lost = new Set<string>()

  async request (voter: string, claim: Claim): Promise<Answer> {
    if (this.lost.has(`${claim.holder}>${voter}`)) throw new Error('lost')
    const { granter, answer } = (this.#granters.get(voter) as Granter).request(claim, this.#clock.now())
    this.#granters.set(voter, granter)
    return answer
  }

  /** Voters that receive releases only when `deliverReleases` is called. */
  readonly slowRelease = new Set<string>()
  readonly #delayedReleases: (() => Promise<void>)[] = []

  async deliverReleases (): Promise<void> {
    this.slowRelease.clear()
    for (const task of this.#delayedReleases.splice(0)) await task()
  }

  async release (voter: string, claim: Claim): Promise<void> {
    if (this.slowRelease.has(voter)) {
      this.#delayedReleases.push(() => this.release(voter, claim))
      return
    }
    this.#granters.set(voter, (this.#granters.get(voter) as Granter).release(claim))
  }
}

interface Fixture {
  readonly clock: ManualClock
  readonly channel: LocalVoters
  readonly homes: readonly Homes[]
}

let term = 0

/**
 * Makes the homes of three workers. With `before`, they are later processes of the same workers, with the same voters.
 */
function makeFixture (before?: Fixture, book?: BookOptions): Fixture {
  const names = ['a', 'b', 'c']
  const clock = before?.clock ?? new ManualClock(1_700_000_000_000)
  const channel = before?.channel ?? new LocalVoters(clock, names)
  let tenure = 0
  const homes = names.map(worker => new Homes({
    clock,
    channel,
    service: 's',
    worker,
    voters: names,
    period,
    interval: 250,
    nonce: () => String(++term),
    tenure: () => ++tenure,
    preferred: slot => [...names.slice(slot % 3), ...names.slice(0, slot % 3)],
    book
  }))
  return { clock, channel, homes }
}

async function advance ({ clock, homes }: Pick<Fixture, 'clock' | 'homes'>, span: number): Promise<void> {
  for (let passed = 0; passed < span; passed += 50) {
    clock.advance(50)
    await new Promise(resolve => setImmediate(resolve))
    for (const each of homes) each.update()
  }
}

function slots (homes: Homes): number[] {
  return homes.held.map(each => each.slot).sort((a, b) => a - b)
}

test('every slot gets its preferred home, and no other', async t => {
  const made = makeFixture()
  await advance(made, 4 * period)
  t.deepEqual(made.homes.map(slots), [[0, 3, 6, 9], [1, 4, 7, 10], [2, 5, 8, 11]])
})

test('when a home stops, each of its slots moves to one other home', async t => {
  const made = makeFixture()
  await advance(made, 4 * period)
  await made.homes[0].stop()
  const rest = { clock: made.clock, homes: made.homes.slice(1) }
  await advance(rest, 10 * period)
  t.deepEqual(rest.homes.flatMap(slots).sort((a, b) => a - b), Array.from({ length: slotCount }, (_each, index) => index))
})

test('a home checks its lease at each use, even if no timer has run since the lease expired', async t => {
  const made = makeFixture()
  await advance(made, 4 * period)
  t.truthy(made.homes[0].book(0))
  made.clock.suspend(period + 1)
  t.is(made.homes[0].book(0), undefined)
  t.deepEqual(slots(made.homes[0]), [])
})

/** A key of slot 0, minted now. */
function freshKey ({ clock }: Pick<Fixture, 'clock'>): Key {
  for (;;) {
    const key = readKey(mintKey(clock.wall())).unwrap()
    if (key.slot === 0) return key
  }
}

function begin ({ clock, homes }: Pick<Fixture, 'clock' | 'homes'>, worker: number, key: Key): KeyDecision | undefined {
  return homes[worker].book(0)?.begin(key, 1, clock.wall())
}

const answer = { status: 200, headers: { kind: 'receipt' }, body: Buffer.from('receipt 7') }

interface HandoverFixture {
  readonly made: Fixture
  readonly ran: Key
  readonly running: Key
  readonly waiting: Key
  readonly handovers: Handover[]
}

/**
 * Makes homes and hands over the slots of the first home. At that time this home has run the key `ran`, still runs
 * `running` and has not received `waiting`.
 */
async function makeHandover (book?: BookOptions): Promise<HandoverFixture> {
  const made = makeFixture(undefined, book)
  await advance(made, 10 * period)
  const [ran, running, waiting] = [freshKey(made), freshKey(made), freshKey(made)]
  expectDecision(begin(made, 0, ran), 'run')
  expectDecision(begin(made, 0, running), 'run')
  made.homes[0].book(0)?.finish(ran, answer)
  const handovers: Handover[] = []
  await made.homes[0].handOver(async (voter, handover) => {
    handovers.push(handover)
    return made.homes['abc'.indexOf(voter)].inherit(JSON.parse(JSON.stringify(handover)) as Handover)
  })
  return { made, ran, running, waiting, handovers }
}

function expectDecision (decision: KeyDecision | undefined, type: KeyDecision['type']): void {
  if (decision?.type !== type) throw new Error(`expected ${type}, got ${JSON.stringify(decision)}`)
}

test('after a planned handover, only requests that still ran are unknown at the next home', async t => {
  const { made, ran, running, waiting } = await makeHandover()
  await advance({ clock: made.clock, homes: made.homes.slice(1) }, period / 2)
  t.is(made.homes[0].book(0), undefined)
  const replay = begin(made, 1, ran)
  t.deepEqual(replay?.type === 'replay' ? replay.answer : undefined, answer)
  const still = begin(made, 1, running)
  t.is(still?.type === 'refuse' ? still.fault.outcome : '', 'unknown')
  t.is(begin(made, 1, waiting)?.type, 'run', 'a key minted before the handover, never received, runs')
})

test('a book that was handed over is not used if another home held the slot in between', async t => {
  const { made, waiting, handovers } = await makeHandover()
  const others = { clock: made.clock, homes: made.homes.slice(1) }
  await advance(others, period)
  expectDecision(begin(made, 1, waiting), 'run')
  await made.homes[1].stop()
  const handover = handovers.find(each => each.slot === 0) as Handover
  t.true(made.homes[2].inherit(handover))
  await advance({ clock: made.clock, homes: made.homes.slice(2) }, period)
  const decision = begin(made, 2, waiting)
  t.is(decision?.type === 'refuse' ? decision.fault.outcome : decision?.type, 'unknown')
})

test('slots return with their books, one at a time, to their preferred voter', async t => {
  const made = makeFixture()
  await made.homes[0].stop()
  const started = makeFixture(made)
  const late = { clock: made.clock, homes: made.homes.slice(1) }
  await advance(late, 10 * period)
  const ran = freshKey(made)
  const holder = made.homes.findIndex(each => each.book(0) !== undefined)
  expectDecision(begin(made, holder, ran), 'run')
  const all = { clock: made.clock, homes: [started.homes[0], ...late.homes] }
  const give = async (voter: string, handover: Handover): Promise<boolean> => all.homes['abc'.indexOf(voter)].inherit(handover)
  await advance(all, 31_000)
  for (let turn = 0; turn < slotCount; turn++) {
    for (const each of all.homes) await each.yieldSlot(give)
    await advance(all, period)
  }
  t.is(all.homes[0].book(0), undefined, 'a slot with a running key stays at its home')
  made.homes[holder].book(0)?.finish(ran, answer)
  await made.homes[holder].yieldSlot(give)
  await advance(all, period)
  t.deepEqual(all.homes.map(slots), [[0, 3, 6, 9], [1, 4, 7, 10], [2, 5, 8, 11]])
  t.is(begin(all, 0, ran)?.type, 'replay')
})

test('a book that was handed over is used even if the release reaches the voters at different times', async t => {
  const made = makeFixture()
  await advance(made, 10 * period)
  const ran = freshKey(made)
  expectDecision(begin(made, 0, ran), 'run')
  made.homes[0].book(0)?.finish(ran, answer)
  for (const voter of ['a', 'c']) made.channel.slowRelease.add(voter)
  await made.homes[0].handOver(async (voter, handover) => made.homes['abc'.indexOf(voter)].inherit(handover))
  const rest = { clock: made.clock, homes: made.homes.slice(1) }
  await advance(rest, 600)
  t.is(made.homes[1].book(0), undefined, 'the other voters have not received the release yet')
  await made.channel.deliverReleases()
  await advance(rest, 600)
  t.is(begin(made, 1, ran)?.type, 'replay')
})

test('a slot stays at its home if the preferred voter refuses it, and is released if the handover fails with an error', async t => {
  const made = makeFixture()
  await made.homes[0].stop()
  const late = { clock: made.clock, homes: made.homes.slice(1) }
  await advance(late, 10 * period)
  const [, holder] = made.homes
  const before = slots(holder).length
  await holder.yieldSlot(() => Promise.reject(new Error('not offered so soon')))
  t.is(slots(holder).length, before)
  await advance(late, 31_000)
  await holder.yieldSlot(async () => false)
  await holder.yieldSlot(() => Promise.reject(new Error('not offered again so soon')))
  t.is(slots(holder).length, before)
  await advance(late, 31_000)
  await holder.yieldSlot(() => Promise.reject(new Error('cut')))
  t.is(slots(holder).length, before - 1)
})

/** Makes homes, and lets the first one run a key. Returns another key, minted before any lapse. */
async function makeRunning (): Promise<{ made: Fixture, running: Key, waiting: Key }> {
  const made = makeFixture()
  await advance(made, 10 * period)
  const [running, waiting] = [freshKey(made), freshKey(made)]
  expectDecision(begin(made, 0, running), 'run')
  return { made, running, waiting }
}

for (const pause of [1100, 2000, 3000]) {
  test(`a home whose lease lapsed while nobody else held the slot continues its book, after a pause of ${pause} ms`, async t => {
    const { made, running, waiting } = await makeRunning()
    const [book, { tenure }] = [made.homes[0].book(0), made.homes[0].held[0]]
    made.clock.freeze(pause)
    t.is(made.homes[0].book(0), undefined, 'the lease has lapsed')
    book?.finish(running, answer)
    await advance(made, 300)
    t.is(begin(made, 0, running)?.type, 'replay', 'a request that ended during the lapse is recorded')
    t.is(begin(made, 0, waiting)?.type, 'run')
    t.is(made.homes[0].held.find(each => each.slot === 0)?.tenure, tenure)
  })
}

test('a home whose lease lapsed does not continue its book if another home held the slot in between', async t => {
  const { made, waiting } = await makeRunning()
  for (const voter of ['b', 'c']) made.channel.lost.add(`a>${voter}`).add(`${voter}>a`)
  await advance(made, 5 * period)
  t.is(begin(made, 1, freshKey(made))?.type, 'refuse', 'another home has taken over')
  await made.homes[1].stop()
  made.channel.lost.clear()
  await advance({ clock: made.clock, homes: [made.homes[0]] }, 2 * period)
  const decision = begin(made, 0, waiting)
  t.is(decision?.type === 'refuse' ? decision.fault.outcome : decision?.type, 'unknown')
})

test('a home whose voters change while its lease has lapsed does not continue its book', async t => {
  const { made, waiting } = await makeRunning()
  made.clock.freeze(2 * period)
  for (const voters of [['a', 'b'], ['a', 'b', 'c']]) for (const each of made.homes) each.setVoters(voters)
  await advance(made, period)
  t.is(begin(made, 0, waiting)?.type, 'refuse')
})

test('a home whose lease lapsed gives way to another home that holds the slot', async t => {
  const { made } = await makeRunning()
  for (const voter of ['b', 'c']) made.channel.lost.add(`a>${voter}`).add(`${voter}>a`)
  await advance(made, 5 * period)
  t.truthy(made.homes[1].book(0))
  made.channel.lost.clear()
  await advance(made, 2 * period)
  t.truthy(made.homes[1].book(0))
  t.deepEqual(await made.channel.request('a', { resource: 'home/s/0', holder: 'b', term: 'other', period }), { granted: false, reason: 'held', wait: 1010 }, 'the voter of the old home grants the slot to the new one')
})

test('a home that stops while its lease has lapsed hands its book over, and the next home uses it', async t => {
  const { made, running, waiting } = await makeRunning()
  made.homes[0].book(0)?.finish(running, answer)
  made.clock.freeze(1300)
  await made.homes[0].handOver(async (voter, handover) => made.homes['abc'.indexOf(voter)].inherit(handover))
  await advance({ clock: made.clock, homes: made.homes.slice(1) }, 600)
  t.is(begin(made, 1, running)?.type, 'replay')
  t.is(begin(made, 1, waiting)?.type, 'run')
})

test('a grant that has ended does not show that nobody held the slot in between', async t => {
  const { made, handovers } = await makeHandover({ skew: 200 })
  const { clock, channel, homes } = made
  const handover = handovers.find(each => each.slot === 0) as Handover
  const successor = { clock, homes: [homes[1]] }
  // b gets the turn after that of a from the voter a, and from itself once that grant has ended.
  for (const voter of ['b', 'c']) channel.lost.add(`b>${voter}`)
  await advance(successor, 300)
  channel.lost.add('b>a')
  await advance(successor, 1.2 * period)
  channel.lost.delete('b>b')
  await advance(successor, 300)
  // c holds the slot by a and c.
  t.true(homes[2].inherit(handover))
  await advance({ clock, homes: [homes[2]] }, 700)
  const late = freshKey(made)
  t.is(begin(made, 2, late)?.type, 'run')
  await homes[2].stop()
  channel.lost.delete('b>c')
  await advance(successor, 600)
  t.is(begin(made, 1, late)?.type, 'refuse')
})

test('after a pause of all workers, no preferred voter takes a slot whose home was paused with it', async t => {
  const made = makeFixture()
  await made.homes[0].stop()
  const started = makeFixture(made).homes[0]
  const homes = [...made.homes.slice(1), started]
  await advance({ clock: made.clock, homes: homes.slice(0, 2) }, 10 * period)
  const before = homes.map(slots)
  for (const pause of [1100, 3000, 10_000]) {
    for (const slot of before[0]) started.recordHolder(slot, 'b')
    made.clock.freeze(pause)
    // The preferred voter runs before the home that was paused.
    started.update()
    await advance({ clock: made.clock, homes }, 2 * period)
    t.deepEqual(homes.map(slots), before)
  }
})

test('a book of another service, or from a home with other voters, is refused', async t => {
  const { made, handovers: [handover] } = await makeHandover()
  t.false(made.homes[2].inherit({ ...handover, service: 'other' }))
  t.false(made.homes[2].inherit({ ...handover, voters: ['a', 'b'] }))
})
