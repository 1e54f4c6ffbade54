import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Channel, Granter, type Answer, type Claim } from '@eiderwind/lease'
import { type Handover } from '@eiderwind/schema'
import { Homes, mintKey, readKey, slotCount, type Key, type Verdict } from '../src/index.js'

const period = 1000

/** Voters that answer at once. */
class Voters extends Channel {
  readonly #clock: ManualClock
  readonly #granters = new Map<string, Granter>()

  constructor (clock: ManualClock, names: readonly string[]) {
    super()
    this.#clock = clock
    for (const name of names) this.#granters.set(name, Granter.started(clock.now(), { longest: period, origin: name }))
  }

  async request (voter: string, claim: Claim): Promise<Answer> {
    const { granter, answer } = (this.#granters.get(voter) as Granter).request(claim, this.#clock.now())
    this.#granters.set(voter, granter)
    return answer
  }

  /** Voters that hear of releases only when `deliver` is called. */
  readonly slowRelease = new Set<string>()
  readonly #held: (() => Promise<void>)[] = []

  async deliver (): Promise<void> {
    this.slowRelease.clear()
    for (const task of this.#held.splice(0)) await task()
  }

  async release (voter: string, claim: Claim): Promise<void> {
    if (this.slowRelease.has(voter)) {
      this.#held.push(() => this.release(voter, claim))
      return
    }
    this.#granters.set(voter, (this.#granters.get(voter) as Granter).release(claim))
  }
}

interface Made {
  readonly clock: ManualClock
  readonly channel: Voters
  readonly homes: readonly Homes[]
}

let term = 0

/** The homes of three workers; of later processes of the same workers where there were some before. */
function make (before?: Made): Made {
  const names = ['a', 'b', 'c']
  const clock = before?.clock ?? new ManualClock(1_700_000_000_000)
  const channel = before?.channel ?? new Voters(clock, names)
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
    preferred: slot => [...names.slice(slot % 3), ...names.slice(0, slot % 3)]
  }))
  return { clock, channel, homes }
}

async function pass ({ clock, homes }: Pick<Made, 'clock' | 'homes'>, span: number): Promise<void> {
  for (let passed = 0; passed < span; passed += 50) {
    clock.advance(50)
    await new Promise(resolve => setImmediate(resolve))
    for (const each of homes) each.update()
  }
}

function slots (homes: Homes): number[] {
  return homes.held.map(each => each.slot).sort((a, b) => a - b)
}

test('every slot gets the home that is preferred, and only that one', async t => {
  const made = make()
  await pass(made, 4 * period)
  t.deepEqual(made.homes.map(slots), [[0, 3, 6, 9], [1, 4, 7, 10], [2, 5, 8, 11]])
})

test('when a home goes away its slots move, each to one other home, under a new book', async t => {
  const made = make()
  await pass(made, 4 * period)
  await made.homes[0].stop()
  const rest = { clock: made.clock, homes: made.homes.slice(1) }
  await pass(rest, 10 * period)
  t.deepEqual(rest.homes.flatMap(slots).sort((a, b) => a - b), Array.from({ length: slotCount }, (_each, index) => index))
})

test('a home looks at its lease at each use, also when no timer has told it that time passed', async t => {
  const made = make()
  await pass(made, 4 * period)
  t.truthy(made.homes[0].book(0))
  made.clock.suspend(period + 1)
  t.is(made.homes[0].book(0), undefined)
  t.deepEqual(slots(made.homes[0]), [])
})

/** A key of slot 0, minted now. */
function freshKey ({ clock }: Pick<Made, 'clock'>): Key {
  for (;;) {
    const key = readKey(mintKey(clock.wall())).unwrap()
    if (key.slot === 0) return key
  }
}

function begin ({ clock, homes }: Pick<Made, 'clock' | 'homes'>, worker: number, key: Key): Verdict | undefined {
  return homes[worker].book(0)?.begin(key, 1, clock.wall())
}

const answer = { status: 200, headers: { kind: 'receipt' }, body: Buffer.from('receipt 7') }

interface Handed {
  readonly made: Made
  readonly ran: Key
  readonly running: Key
  readonly waiting: Key
  readonly handovers: Handover[]
}

/** Homes of which the first has run one key and runs another, while a third waits, and has then handed its slots over. */
async function handed (): Promise<Handed> {
  const made = make()
  await pass(made, 10 * period)
  const [ran, running, waiting] = [freshKey(made), freshKey(made), freshKey(made)]
  expectVerdict(begin(made, 0, ran), 'run')
  expectVerdict(begin(made, 0, running), 'run')
  made.homes[0].book(0)?.finish(ran, answer)
  const handovers: Handover[] = []
  await made.homes[0].hand(async (voter, handover) => {
    handovers.push(handover)
    return made.homes['abc'.indexOf(voter)].inherit(JSON.parse(JSON.stringify(handover)) as Handover)
  })
  return { made, ran, running, waiting, handovers }
}

function expectVerdict (verdict: Verdict | undefined, type: Verdict['type']): void {
  if (verdict?.type !== type) throw new Error(`expected ${type}, got ${JSON.stringify(verdict)}`)
}

test('a home that gives its slots up as planned leaves nothing unknown but what still ran', async t => {
  const { made, ran, running, waiting } = await handed()
  await pass({ clock: made.clock, homes: made.homes.slice(1) }, period / 2)
  t.is(made.homes[0].book(0), undefined)
  const replay = begin(made, 1, ran)
  t.deepEqual(replay?.type === 'replay' ? replay.answer : undefined, answer)
  const still = begin(made, 1, running)
  t.is(still?.type === 'refuse' ? still.fault.outcome : '', 'unknown')
  t.is(begin(made, 1, waiting)?.type, 'run', 'a key minted before the move, never seen, runs')
})

test('a book is of no use once another home has held the slot in between', async t => {
  const { made, waiting, handovers } = await handed()
  const others = { clock: made.clock, homes: made.homes.slice(1) }
  await pass(others, period)
  expectVerdict(begin(made, 1, waiting), 'run')
  await made.homes[1].stop()
  const handover = handovers.find(each => each.slot === 0) as Handover
  t.true(made.homes[2].inherit(handover))
  await pass({ clock: made.clock, homes: made.homes.slice(2) }, period)
  const verdict = begin(made, 2, waiting)
  t.is(verdict?.type === 'refuse' ? verdict.fault.outcome : verdict?.type, 'unknown')
})

test('slots go back, one after the other, to the voter that is preferred for them, with their books', async t => {
  const made = make()
  await made.homes[0].stop()
  const started = make(made)
  const late = { clock: made.clock, homes: made.homes.slice(1) }
  await pass(late, 10 * period)
  const ran = freshKey(made)
  const holder = made.homes.findIndex(each => each.book(0) !== undefined)
  expectVerdict(begin(made, holder, ran), 'run')
  const all = { clock: made.clock, homes: [started.homes[0], ...late.homes] }
  const give = async (voter: string, handover: Handover): Promise<boolean> => all.homes['abc'.indexOf(voter)].inherit(handover)
  await pass(all, 31_000)
  for (let turn = 0; turn < slotCount; turn++) {
    for (const each of all.homes) await each.yield(give)
    await pass(all, period)
  }
  t.is(all.homes[0].book(0), undefined, 'a slot with a key that runs stays where it is')
  made.homes[holder].book(0)?.finish(ran, answer)
  await made.homes[holder].yield(give)
  await pass(all, period)
  t.deepEqual(all.homes.map(slots), [[0, 3, 6, 9], [1, 4, 7, 10], [2, 5, 8, 11]])
  t.is(begin(all, 0, ran)?.type, 'replay')
})

test('a book fits also where the voters hear of the release one after the other', async t => {
  const made = make()
  await pass(made, 10 * period)
  const ran = freshKey(made)
  expectVerdict(begin(made, 0, ran), 'run')
  made.homes[0].book(0)?.finish(ran, answer)
  for (const voter of ['a', 'c']) made.channel.slowRelease.add(voter)
  await made.homes[0].hand(async (voter, handover) => made.homes['abc'.indexOf(voter)].inherit(handover))
  const rest = { clock: made.clock, homes: made.homes.slice(1) }
  await pass(rest, 600)
  t.is(made.homes[1].book(0), undefined, 'the other voters have not heard yet')
  await made.channel.deliver()
  await pass(rest, 600)
  t.is(begin(made, 1, ran)?.type, 'replay')
})

test('a slot whose preferred voter refuses it stays where it is, with its book, and one whose fate is unknown is given up', async t => {
  const made = make()
  await made.homes[0].stop()
  const late = { clock: made.clock, homes: made.homes.slice(1) }
  await pass(late, 10 * period)
  const [, holder] = made.homes
  const before = slots(holder).length
  await holder.yield(() => Promise.reject(new Error('not offered so soon')))
  t.is(slots(holder).length, before)
  await pass(late, 31_000)
  await holder.yield(async () => false)
  await holder.yield(() => Promise.reject(new Error('not offered again so soon')))
  t.is(slots(holder).length, before)
  await pass(late, 31_000)
  await holder.yield(() => Promise.reject(new Error('cut')))
  t.is(slots(holder).length, before - 1)
})

test('a book of other voters, or of another service, is not taken', async t => {
  const { made, handovers: [handover] } = await handed()
  t.false(made.homes[2].inherit({ ...handover, service: 'other' }))
  t.false(made.homes[2].inherit({ ...handover, voters: ['a', 'b'] }))
})
