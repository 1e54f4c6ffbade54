/** Planners and placements that a slow store keeps, or that another planner changes. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type Placement, type WriteFailure } from '@eiderwind/forming'
import { type Membership } from '@eiderwind/roster'
import { type Result } from 'ts-results-es'
import { MemoryPlacements, World, pass, planner } from './world.js'

/** Placements that answer each call after a time, as a slow store does. */
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

// The load is that of a planner that takes over a large fleet while the store is 60 times slower than usual: 20 domains of 19 engines, and
// 240 ms for each call.
test('a planner that takes over 20 domains of 19 engines has planned all of them within three calls of a slow store', async t => {
  const clock = new ManualClock()
  const world = new World(clock)
  for (let domain = 0; domain < 20; domain++) {
    for (let index = 0; index < 19; index++) world.add(`n${domain}-${index}`, `d${domain}`)
  }
  const slow = 240
  const placements = new SlowPlacements(clock, slow)
  const started = planner(world, placements)
  started.start()
  await pass(world, 3 * slow)
  started.stop()
  t.is(placements.written.size, 20)
})

test('a planner opens no replica that another planner has dissolved meanwhile', async t => {
  const world = new World(new ManualClock())
  for (let index = 0; index < 10; index++) world.add(`n${index}`, 'd0')
  const placements = new MemoryPlacements()
  const started = planner(world, placements)
  started.start()
  await pass(world, 30_000)
  const [{ head }] = world.open
  const { replica, epoch } = world.upstream(head).membership as Membership
  const { placement, version } = (await placements.read('chat.d0')).unwrap()
  const order = { node: head, address: `${head}:1`, replica, epoch, loads: false, fence: epoch }
  // Another planner closes the replica, has its head leave and dissolves it; nothing shows this planner that the placement has changed.
  await placements.write({ ...placement, replicas: placement.replicas.filter(each => each.name !== replica) }, version)
  await world.give({ ...order, kind: 'close', manner: 'cut' })
  await world.give({ ...order, kind: 'leave' })
  const before = world.given.length
  await pass(world, 5000)
  started.stop()
  t.deepEqual(world.given.slice(before).filter(each => (each.kind === 'open' || each.kind === 'join') && each.replica === replica), [])
  t.deepEqual(world.broken, [])
})

test('a planner that takes over plans anew where the head of a stored replica is not in it, and goes on with those that are', async t => {
  const world = new World(new ManualClock())
  for (let index = 0; index < 10; index++) world.add(`n${index}`, 'd0')
  const placements = new MemoryPlacements()
  const first = planner(world, placements)
  first.start()
  await pass(world, 30_000)
  first.stop()
  const [left, ...kept] = world.open
  const { replica, epoch } = world.upstream(left.head).membership as Membership
  const order = { node: left.head, address: `${left.head}:1`, replica, epoch, loads: false, fence: epoch }
  await world.give({ ...order, kind: 'close', manner: 'cut' })
  await world.give({ ...order, kind: 'leave' })
  const before = world.given.length
  const second = planner(world, placements)
  second.start()
  await pass(world, 10_000)
  second.stop()
  const given = world.given.slice(before)
  t.false(given.some(each => (each.kind === 'join' || each.kind === 'open') && each.replica === replica))
  t.true(world.open.some(each => each.model === left.model && !kept.some(other => other.head === each.head)))
  for (const { head } of kept) t.true(world.open.some(each => each.head === head))
  t.deepEqual(world.broken, [])
})
