/** Live engines that have lost their store entries stay in their replicas as members and do not become heads. */
import test, { type ExecutionContext } from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type Reconciler } from '@eiderwind/forming'
import { runSchedule } from './schedules.js'
import { MemoryPlacements, World, advance, createPlanner } from './world.js'

const keepUnlisted = 8000

type Replica = World['openReplicas'][number]

/** Creates three domains of ten engines and lets their replicas form. */
async function formFleet (suspects = new Set<string>(), keep = keepUnlisted): Promise<{ world: World, reconciler: Reconciler }> {
  const world = new World(new ManualClock())
  for (let domain = 0; domain < 3; domain++) {
    for (let index = 0; index < 10; index++) world.add(`n${domain}-${index}`, `d${domain}`)
  }
  world.reportDelay = 200
  const reconciler = createPlanner(world, new MemoryPlacements(), { suspects, keepUnlisted: keep })
  reconciler.start()
  await advance(world, 20_000)
  return { world, reconciler }
}

function largeReplica (world: World): Replica {
  return world.openReplicas.find(each => each.model === 'large') as Replica
}

function assertSound (t: ExecutionContext, world: World): void {
  t.deepEqual(world.violations, [])
  const members = world.openReplicas.flatMap(each => each.members)
  t.is(new Set(members).size, members.length)
}

test('a replica with a member that loses its entry and still answers stays as it is, also when the entry returns', async t => {
  const { world, reconciler } = await formFleet()
  const { head, members } = largeReplica(world)
  const before = world.sentOrders.length
  world.unlist(members[2], true)
  await advance(world, 5000)
  t.deepEqual(world.sentOrders.slice(before), [])
  world.relist(members[2])
  await advance(world, 10_000)
  t.deepEqual(world.sentOrders.slice(before).filter(each => each.kind !== 'stage'), [])
  t.deepEqual(world.openReplicas.find(each => each.head === head)?.members, members)
  assertSound(t, world)
  reconciler.stop()
})

test('a replica whose head loses its entry is formed again within 1.5 s from the same engines, with a listed head', async t => {
  const { world, reconciler } = await formFleet()
  const { head, members } = largeReplica(world)
  const before = world.sentOrders.length
  world.unlist(head, true)
  await advance(world, 1500)
  const again = world.openReplicas.find(each => each.members.includes(head)) as Replica
  t.not(again.head, head)
  t.deepEqual([...again.members].sort(), [...members].sort())
  t.false(world.sentOrders.slice(before).some(each => each.loads))
  world.relist(head)
  await advance(world, 5000)
  t.true(world.openReplicas.some(each => each.head === again.head && each.members.includes(head)))
  assertSound(t, world)
  reconciler.stop()
})

test('an engine that is listed again may lead again as head, and its replica is closed before its members are used', async t => {
  const suspects = new Set<string>()
  const { world, reconciler } = await formFleet(suspects)
  const { head } = largeReplica(world)
  world.unlist(head, true)
  await advance(world, 1500)
  world.relist(head)
  // All other engines of the domain lose their entries, so this engine becomes the head of the next replica.
  const others = world.roster.upstreams.filter(each => each.domain === world.upstream(head).domain && each.id !== head).map(each => each.id)
  for (const id of others) world.unlist(id, true)
  await advance(world, 3000)
  t.true(world.openReplicas.some(each => each.head === head))
  const again = world.openReplicas.find(each => each.head === head) as Replica
  for (const id of others) world.relist(id)
  const before = world.sentOrders.length
  world.kill(again.members[1])
  suspects.add(head)
  await advance(world, 4000)
  t.true(world.sentOrders.slice(before).some(each => each.kind === 'close' && each.node === head))
  t.is(world.openReplicas.filter(each => each.model === 'large').length, 3)
  assertSound(t, world)
  reconciler.stop()
})

test('a member that loses its entry and answers no probe is replaced at most one probe later than one that counts as missing at once', async t => {
  const durations: number[] = []
  for (const keep of [0, keepUnlisted]) {
    const { world, reconciler } = await formFleet(undefined, keep)
    world.probeTimeout = 280
    const { head, members } = largeReplica(world)
    const begunAt = world.clock.now()
    world.kill(members[2])
    world.roster.apply([{ gone: members[2] }])
    while (world.openReplicas.some(each => each.head === head) && world.clock.now() - begunAt < 5000) await advance(world, 20)
    durations.push(world.clock.now() - begunAt)
    await advance(world, 5000)
    t.is(world.openReplicas.filter(each => each.model === 'large').length, 3)
    assertSound(t, world)
    reconciler.stop()
  }
  t.true(durations[1] <= durations[0] + 280 + 100, String(durations))
})

test('a leaving engine is replaced when its entry is removed', async t => {
  const { world, reconciler } = await formFleet()
  const { head, members } = largeReplica(world)
  world.leave(members[2])
  world.unlist(members[2], true)
  await advance(world, 3000)
  t.false(world.openReplicas.some(each => each.members.includes(members[2])))
  t.true(world.sentOrders.some(each => each.kind === 'close' && each.node === head))
  assertSound(t, world)
  reconciler.stop()
})

test('an engine that answers but is not listed again is replaced after keepUnlisted', async t => {
  const { world, reconciler } = await formFleet()
  const { members } = largeReplica(world)
  world.unlist(members[2], true)
  await advance(world, keepUnlisted - 500)
  t.true(world.openReplicas.some(each => each.members.includes(members[2])))
  await advance(world, 3000)
  t.false(world.openReplicas.some(each => each.members.includes(members[2])))
  assertSound(t, world)
  reconciler.stop()
})

test('while no engine of a domain is listed none becomes a head, and all replicas serve again once the engines are listed', async t => {
  const { world, reconciler } = await formFleet()
  const domain = world.roster.upstreams.filter(each => each.domain === 'd0').map(each => each.id)
  const serving = (): number => world.openReplicas.filter(each => each.members.some(id => domain.includes(id))).length
  const wanted = serving()
  const before = world.sentOrders.length
  for (const id of domain) world.unlist(id, true)
  await advance(world, 4000)
  t.deepEqual(world.sentOrders.slice(before).filter(each => each.kind === 'open' || each.kind === 'join'), [])
  for (const id of domain) world.relist(id)
  await advance(world, 4000)
  t.is(serving(), wanted)
  assertSound(t, world)
  reconciler.stop()
})

/** The schedule of the last seed never ended when writes of placements took no time (`ThrottledPlacements`). */
for (const seed of [...Array.from({ length: 20 }, (_each, index) => index + 1), 300_034]) {
  test.serial(`a random schedule in which engines lose their entries, stop answering and return breaks no rule (seed ${seed})`, async t => {
    const { violations, servable, openReplicas } = await runSchedule(seed, { keepUnlisted, lapseShare: 0.3 })
    t.deepEqual(violations, [])
    if (servable) t.true(openReplicas > 0)
  })
}
