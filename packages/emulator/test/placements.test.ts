/** Planners whose placements are in a slow store or are changed by another planner. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type Placement, type WriteFailure } from '@eiderwind/forming'
import { type Membership } from '@eiderwind/roster'
import { type Result } from 'ts-results-es'
import { MemoryPlacements, World, advance, createPlanner } from './world.js'

/** Placements that answer each call after a delay, as a slow store does. */
class SlowPlacements extends MemoryPlacements {
  readonly written = new Set<string>()
  readonly #clock: ManualClock
  readonly #time: number

  constructor (clock: ManualClock, time: number) {
    super()
    this.#clock = clock
    this.#time = time
  }

  override async read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>> {
    await this.#clock.wait(this.#time)
    return await super.read(domain)
  }

  override async write (placement: Placement, version: number): Promise<Result<number, WriteFailure>> {
    await this.#clock.wait(this.#time)
    this.written.add(placement.domain)
    return await super.write(placement, version)
  }
}

// A planner takes over a large fleet while the store is 60 times slower than usual: 20 domains of 19 engines, and
// 240 ms for each call.
test('a planner that takes over 20 domains of 19 engines has planned all of them within three calls of a slow store', async t => {
  const clock = new ManualClock()
  const world = new World(clock)
  for (let domain = 0; domain < 20; domain++) {
    for (let index = 0; index < 19; index++) world.add(`n${domain}-${index}`, `d${domain}`)
  }
  const callTime = 240
  const placements = new SlowPlacements(clock, callTime)
  const planner = createPlanner(world, placements)
  planner.start()
  await advance(world, 3 * callTime)
  planner.stop()
  t.is(placements.written.size, 20)
})

test('a planner opens no replica that another planner has dissolved', async t => {
  const world = new World(new ManualClock())
  for (let index = 0; index < 10; index++) world.add(`n${index}`, 'd0')
  const placements = new MemoryPlacements()
  const planner = createPlanner(world, placements)
  planner.start()
  await advance(world, 30_000)
  const [{ head }] = world.openReplicas
  const { replica, epoch } = world.upstream(head).membership as Membership
  const { placement, version } = (await placements.read('chat.d0')).unwrap()
  const order = { node: head, address: `${head}:1`, replica, epoch, loads: false, fence: epoch }
  // Another planner closes the replica, makes its head leave and dissolves it. This planner is not notified of the new
  // placement.
  await placements.write({ ...placement, replicas: placement.replicas.filter(each => each.name !== replica) }, version)
  await world.send({ ...order, kind: 'close', manner: 'cut' })
  await world.send({ ...order, kind: 'leave' })
  const before = world.sentOrders.length
  await advance(world, 5000)
  planner.stop()
  t.deepEqual(world.sentOrders.slice(before).filter(each => (each.kind === 'open' || each.kind === 'join') && each.replica === replica), [])
  t.deepEqual(world.violations, [])
})

test('a planner that takes over replaces a stored replica whose head has left it, and keeps the other replicas', async t => {
  const world = new World(new ManualClock())
  for (let index = 0; index < 10; index++) world.add(`n${index}`, 'd0')
  const placements = new MemoryPlacements()
  const first = createPlanner(world, placements)
  first.start()
  await advance(world, 30_000)
  first.stop()
  const [abandoned, ...remaining] = world.openReplicas
  const { replica, epoch } = world.upstream(abandoned.head).membership as Membership
  const order = { node: abandoned.head, address: `${abandoned.head}:1`, replica, epoch, loads: false, fence: epoch }
  await world.send({ ...order, kind: 'close', manner: 'cut' })
  await world.send({ ...order, kind: 'leave' })
  const before = world.sentOrders.length
  const second = createPlanner(world, placements)
  second.start()
  await advance(world, 10_000)
  second.stop()
  const orders = world.sentOrders.slice(before)
  t.false(orders.some(each => (each.kind === 'join' || each.kind === 'open') && each.replica === replica))
  t.true(world.openReplicas.some(each => each.model === abandoned.model && !remaining.some(other => other.head === each.head)))
  for (const { head } of remaining) t.true(world.openReplicas.some(each => each.head === head))
  t.deepEqual(world.violations, [])
})
