/**
 * Evacuations of data centres: replicas are formed elsewhere, those in the data centre stay as they are and serve
 * again at once afterwards.
 */
import test, { type ExecutionContext } from 'ava'
import { ManualClock, seeded } from '@eiderwind/clock'
import { type Reconciler } from '@eiderwind/forming'
import { MemoryPlacements, World, advance, createPlanner } from './world.js'

/** Emulated engines in several domains, each of which is a data centre. @param sizes the number of engines in each */
function createWorld (sizes: readonly number[]): World {
  const world = new World(new ManualClock())
  sizes.forEach((size, domain) => {
    for (let index = 0; index < size; index++) world.add(`n${domain}-${index}`, `d${domain}`, [], `dc-${domain}`)
  })
  return world
}

function startPlanner (world: World, placements = new MemoryPlacements(), demand = new Map<string, number>()): Reconciler {
  const reconciler = createPlanner(world, placements, { demand: () => demand })
  reconciler.start()
  return reconciler
}

/** Open replicas outside evacuated data centres, as data centre and model. */
function serving (world: World): string[] {
  return world.openReplicas.filter(({ head }) => !world.roster.isEvacuated(head)).map(({ head, model }) => `${world.upstream(head).dataCentre} ${model}`).sort()
}

function evacuate (world: World, ...dataCentres: string[]): void {
  world.roster.evacuate(new Set(dataCentres))
}

/**
 * Asserts that no rule was broken and that no engine of the data centre got an order after the first `since` orders.
 */
function assertNoOrders (t: ExecutionContext, world: World, dataCentre: string, since: number): void {
  t.deepEqual(world.sentOrders.slice(since).filter(({ node }) => world.upstream(node).dataCentre === dataCentre).map(each => `${each.kind} ${each.node}`), [])
  t.deepEqual(world.violations, [])
}

test('replicas of an evacuated data centre stay open without requests and serve again as soon as the evacuation ends', async t => {
  const world = createWorld([10, 10, 10])
  const reconciler = startPlanner(world)
  await advance(world, 20_000)
  const before = serving(world)
  const orderCount = world.sentOrders.length
  evacuate(world, 'dc-0')
  t.deepEqual(serving(world), before.filter(each => !each.startsWith('dc-0')))
  await advance(world, 20_000)
  assertNoOrders(t, world, 'dc-0', orderCount)
  const loads = world.loadTimes.length
  evacuate(world)
  t.deepEqual(serving(world), before)
  await advance(world, 5000)
  t.deepEqual(serving(world), before)
  t.is(world.loadTimes.length, loads)
  reconciler.stop()
})

test('a model that was served only in the evacuated data centre is served elsewhere within three seconds if engines of other models hold its weights', async t => {
  const world = createWorld([4, 6])
  const reconciler = startPlanner(world)
  await advance(world, 20_000)
  t.deepEqual(serving(world), ['dc-0 large', 'dc-1 small', 'dc-1 small', 'dc-1 small'])
  const loads = world.loadTimes.length
  evacuate(world, 'dc-0')
  await advance(world, 3000)
  t.deepEqual(serving(world), ['dc-1 large', 'dc-1 small'])
  t.is(world.loadTimes.length, loads)
  evacuate(world)
  t.deepEqual(serving(world), ['dc-0 large', 'dc-1 large', 'dc-1 small'])
  t.deepEqual(world.violations, [])
  reconciler.stop()
})

test('a model that was served only in the evacuated data centre and whose weights no other engine holds is loaded by engines of a model with several replicas', async t => {
  const world = createWorld([4, 8])
  const reconciler = startPlanner(world, new MemoryPlacements(), new Map([['large', 1], ['small', 0.01]]))
  await advance(world, 20_000)
  t.deepEqual(serving(world), ['dc-0 small', 'dc-0 small', 'dc-1 large', 'dc-1 large'])
  evacuate(world, 'dc-0')
  await advance(world, 6000)
  t.deepEqual(serving(world), ['dc-1 large', 'dc-1 small', 'dc-1 small'])
  t.deepEqual(world.violations, [])
  reconciler.stop()
})

test('a model keeps its last replica, also if another model then has none', async t => {
  const world = createWorld([4, 4])
  const reconciler = startPlanner(world)
  await advance(world, 20_000)
  t.deepEqual(serving(world), ['dc-0 small', 'dc-0 small', 'dc-1 large'])
  evacuate(world, 'dc-0')
  await advance(world, 15_000)
  t.deepEqual(serving(world), ['dc-1 large'])
  t.deepEqual(world.violations, [])
  reconciler.stop()
})

test('while every data centre is evacuated no replica is formed or dissolved, and all serve again afterwards', async t => {
  const world = createWorld([10, 10])
  const reconciler = startPlanner(world)
  await advance(world, 20_000)
  const before = serving(world)
  const orderCount = world.sentOrders.length
  evacuate(world, 'dc-0', 'dc-1')
  t.deepEqual(serving(world), [])
  await advance(world, 20_000)
  t.is(world.sentOrders.length, orderCount)
  evacuate(world)
  await advance(world, 1000)
  t.deepEqual(serving(world), before)
  reconciler.stop()
})

test('two data centres that are evacuated one after the other get their replicas back without a load', async t => {
  const world = createWorld([10, 10, 10])
  const reconciler = startPlanner(world)
  await advance(world, 20_000)
  const before = serving(world)
  const loads = world.loadTimes.length
  for (const each of ['dc-0', 'dc-1']) {
    evacuate(world, each)
    await advance(world, 6000)
    t.true(serving(world).some(each => each.endsWith('large')) && serving(world).some(each => each.endsWith('small')), each)
  }
  evacuate(world)
  await advance(world, 3000)
  t.deepEqual(serving(world), before)
  t.is(world.loadTimes.length, loads)
  t.deepEqual(world.violations, [])
  reconciler.stop()
})

test('an evacuation that ends at once causes no order', async t => {
  const world = createWorld([10, 10, 10])
  const placements = new MemoryPlacements()
  const reconciler = startPlanner(world, placements)
  await advance(world, 20_000)
  const orderCount = world.sentOrders.length
  evacuate(world, 'dc-2')
  await advance(world, 40)
  evacuate(world)
  await advance(world, 10_000)
  t.is(world.sentOrders.length, orderCount)
  reconciler.stop()
})

test('a planner that takes over during an evacuation, and one that learns of it late, leave the evacuated replicas as they are', async t => {
  const world = createWorld([10, 10, 10])
  const placements = new MemoryPlacements()
  let reconciler = startPlanner(world, placements)
  await advance(world, 20_000)
  const before = serving(world)
  evacuate(world, 'dc-0')
  await advance(world, 500)
  reconciler.stop()
  reconciler = startPlanner(world, placements)
  const orderCount = world.sentOrders.length
  await advance(world, 5000)
  assertNoOrders(t, world, 'dc-0', orderCount)
  reconciler.stop()
  // This planner starts without knowing of the evacuation.
  evacuate(world)
  reconciler = startPlanner(world, placements)
  await advance(world, 300)
  evacuate(world, 'dc-0')
  await advance(world, 3000)
  evacuate(world)
  await advance(world, 1000)
  t.deepEqual(serving(world), before)
  reconciler.stop()
})

test('an evacuated replica that loses a member is dissolved, and formed again only after the evacuation', async t => {
  const world = createWorld([10, 10, 10])
  const reconciler = startPlanner(world)
  await advance(world, 20_000)
  const before = serving(world)
  const victim = world.openReplicas.find(({ head }) => world.upstream(head).dataCentre === 'dc-0') as World['openReplicas'][number]
  evacuate(world, 'dc-0')
  const orderCount = world.sentOrders.length
  world.kill(victim.members[1])
  await advance(world, 10_000)
  t.false(world.openReplicas.some(({ head }) => head === victim.head))
  t.deepEqual(world.sentOrders.slice(orderCount).filter(({ kind, node }) => ['join', 'stage', 'open'].includes(kind) && world.upstream(node).dataCentre === 'dc-0'), [])
  evacuate(world)
  await advance(world, 3000)
  t.deepEqual(serving(world), before)
  t.deepEqual(world.violations, [])
  reconciler.stop()
})

test('in a domain that spans data centres, replicas with members in the evacuated one are formed again from engines of the others', async t => {
  const world = new World(new ManualClock())
  for (let index = 0; index < 16; index++) world.add(`n-${index}`, 'd0', [], `dc-${index % 2}`)
  const reconciler = startPlanner(world)
  await advance(world, 20_000)
  evacuate(world, 'dc-0')
  await advance(world, 15_000)
  const open = world.openReplicas.filter(({ head }) => !world.roster.isEvacuated(head))
  t.deepEqual([...new Set(open.map(each => each.model))].sort(), ['large', 'small'])
  t.deepEqual(open.flatMap(each => each.members).filter(id => world.upstream(id).dataCentre === 'dc-0'), [])
  t.deepEqual(world.violations, [])
  evacuate(world)
  await advance(world, 15_000)
  t.true(world.openReplicas.length > open.length)
  t.deepEqual(world.violations, [])
  reconciler.stop()
})

/** Number of random schedules, with seeds from 1. */
const scheduleCount = 20

test(`no order breaks a rule while engines die and evacuations begin and end (${scheduleCount} schedules)`, async t => {
  for (let seed = 1; seed <= scheduleCount; seed++) {
    const random = seeded(seed)
    const world = createWorld([9, 9, 9])
    const placements = new MemoryPlacements()
    let reconciler = startPlanner(world, placements)
    await advance(world, 15_000)
    for (let event = 0; event < 12; event++) {
      const draw = random()
      const listed = world.roster.upstreams
      if (draw < 0.5) evacuate(world, ...['dc-0', 'dc-1', 'dc-2'].filter(() => random() < 0.4))
      else if (draw < 0.65) world.kill(listed[Math.floor(random() * listed.length)].id)
      else if (draw < 0.8) world.add(`s${event}`, `d${event % 3}`, [], `dc-${event % 3}`)
      else if (draw < 0.9) world.orderDelay = order => order.kind !== 'stage' && random() < 0.2 ? 1000 + random() * 6000 : undefined
      else {
        reconciler.stop()
        reconciler = startPlanner(world, placements)
      }
      await advance(world, 100 + random() * 2500)
    }
    world.orderDelay = () => undefined
    evacuate(world)
    await advance(world, 40_000)
    reconciler.stop()
    t.deepEqual(world.violations, [], `seed ${seed}`)
    for (const model of ['large', 'small']) t.true((world.serving[model] ?? 0) > 0, `${model} of seed ${seed}`)
  }
})
