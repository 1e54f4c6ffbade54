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

  async release (voter: string, claim: Claim): Promise<void> {
    this.#granters.set(voter, (this.#granters.get(voter) as Granter).release(claim))
  }
}

interface Made {
  readonly clock: ManualClock
  readonly homes: readonly Homes[]
}

function make (): Made {
  const names = ['a', 'b', 'c']
  const clock = new ManualClock(1_700_000_000_000)
  const channel = new Voters(clock, names)
  let term = 0
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
  return { clock, homes }
}

async function pass ({ clock, homes }: Made, span: number): Promise<void> {
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
function freshKey ({ clock }: Made): Key {
  for (;;) {
    const key = readKey(mintKey(clock.wall())).unwrap()
    if (key.slot === 0) return key
  }
}

function begin ({ clock, homes }: Made, worker: number, key: Key): Verdict | undefined {
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

test('a book of other voters, or of another service, is not taken', async t => {
  const { made, handovers: [handover] } = await handed()
  t.false(made.homes[2].inherit({ ...handover, service: 'other' }))
  t.false(made.homes[2].inherit({ ...handover, voters: ['a', 'b'] }))
})
