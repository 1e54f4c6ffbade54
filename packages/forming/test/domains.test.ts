/** A placement that can't be read is reported, once for each time that the store is away. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Err, type Result } from 'ts-results-es'
import { type Membership } from '@eiderwind/roster'
import { Domains } from '../src/domains.js'
import { type Placement, type WriteFailure } from '../src/index.js'
import { MemoryPlacements, World, pass, planner, service } from './world.js'

/** Placements whose store can be away. */
class AwayPlacements extends MemoryPlacements {
  away = true

  override async read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>> {
    return this.away ? Err('no answer') : await super.read(domain)
  }
}

test('a placement that can\'t be read is reported once, until one is read again', async t => {
  const world = new World(new ManualClock())
  world.add('n0', 'd0')
  const placements = new AwayPlacements()
  const reported: string[] = []
  const domains = new Domains({ roster: world.roster, placements, failed: error => { reported.push(error.message) } })
  t.deepEqual(await domains.read(service), [])
  t.deepEqual(await domains.read(service), [])
  t.deepEqual(reported, ['The placement of chat.d0 can\'t be read, so its domain is not planned: no answer'])
  placements.away = false
  t.deepEqual((await domains.read(service))?.map(each => each.key), ['chat.d0'])
  domains.forget(service.name)
  placements.away = true
  t.deepEqual(await domains.read(service), [])
  t.is(reported.length, 2)
})

test('a placement that can\'t be read holds up its own domain only', async t => {
  const world = new World(new ManualClock())
  for (const domain of ['d0', 'd1', 'd2']) world.add(`n-${domain}`, domain)
  class OneAway extends MemoryPlacements {
    override async read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>> {
      return domain === 'chat.d1' ? Err('no answer') : await super.read(domain)
    }
  }
  const domains = new Domains({ roster: world.roster, placements: new OneAway(), failed: () => {} })
  t.deepEqual((await domains.read(service)).map(each => each.key), ['chat.d0', 'chat.d2'])
})

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
