import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Channel, Granter, type Answer, type Claim } from '@eiderwind/lease'
import { Homes, slotCount } from '../src/index.js'

const period = 1000

/** Voters that answer at once. */
class Voters extends Channel {
  readonly #clock: ManualClock
  readonly #granters = new Map<string, Granter>()

  constructor (clock: ManualClock, names: readonly string[]) {
    super()
    this.#clock = clock
    for (const name of names) this.#granters.set(name, Granter.started(clock.now(), { longest: period }))
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
  const homes = names.map(worker => new Homes({
    clock,
    channel,
    service: 's',
    worker,
    voters: names,
    period,
    interval: 250,
    nonce: () => String(++term),
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
