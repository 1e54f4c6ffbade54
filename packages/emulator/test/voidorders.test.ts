/** An order that rests on silence is void if the silence ends before the order is sent. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type Order } from '@eiderwind/forming'
import { SilentWorld } from './silentworld.js'
import { MemoryPlacements, advance, createPlanner } from './world.js'

/** Placements whose writes take a time, in ms, that a test sets. */
class SlowPlacements extends MemoryPlacements {
  writeTime = 0
  readonly #clock: ManualClock

  constructor (clock: ManualClock) {
    super()
    this.#clock = clock
  }

  override async write (...written: Parameters<MemoryPlacements['write']>): ReturnType<MemoryPlacements['write']> {
    if (this.writeTime > 0) await this.#clock.wait(this.writeTime)
    return await super.write(...written)
  }
}

/** When the silence of a member begins, on the clock, in ms. */
const silentAt = 8000

/** How long a play goes on after that, in ms. */
const observedTime = 8000

/** Engines of two replicas and no spare. If one is lost, the targets shrink in the same step, and the placement is written. */
const engineCount = 6

/**
 * Plays a silence of a member whose head is suspected. Returns the orders to close, with their times since its start.
 * @param silence how long the member is silent, in ms
 * @param writeTime how long the write of a placement takes, in ms
 */
async function play (silence: number, writeTime: number): Promise<Array<{ readonly order: Order, readonly after: number }>> {
  const world = new SilentWorld(new ManualClock())
  for (let index = 0; index < engineCount; index++) world.add(`n${index}`, 'd0')
  const suspects = new Set<string>()
  const placements = new SlowPlacements(world.clock)
  const closes: Array<{ order: Order, after: number }> = []
  const planner = createPlanner(world, placements, {
    suspects,
    sending: order => { if (order.kind === 'close') closes.push({ order, after: world.clock.now() - silentAt }) }
  })
  planner.start()
  await advance(world, silentAt)
  const [{ head, members }] = world.openReplicas
  suspects.add(head)
  world.silence(members[1], silence, false)
  placements.writeTime = writeTime
  world.clock.after(silence, () => suspects.clear())
  await advance(world, observedTime)
  planner.stop()
  return closes
}

// Guards against this failure: an order to close waits for the write of a placement, and ends the streams of a replica
// whose silent member has answered meanwhile.
test('an order to close that rests on silence is not sent if the engine answers while the placement is written', async t => {
  const [{ after }] = await play(observedTime, 0)
  t.true(after > 2500, `closed after ${after} ms`)
  t.deepEqual(await play(after + 100, 1500), [])
  // If the write takes no time, the order is sent before the engine answers.
  t.is((await play(after + 100, 0))[0].order.manner, 'cut')
})
