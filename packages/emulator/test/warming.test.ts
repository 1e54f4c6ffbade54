/** Spares that load weights before a replica needs them, also with successive deaths and late orders. */
import test, { type ExecutionContext } from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type Order, type Reconciler } from '@eiderwind/forming'
import { type Upstream } from '@eiderwind/roster'
import { runSchedule } from './schedules.js'
import { MemoryPlacements, World, engine, advance, createPlanner } from './world.js'

type Replica = World['openReplicas'][number]

interface Fleet {
  readonly world: World
  readonly reconciler: Reconciler
  readonly suspects: Set<string>
}

/**
 * Creates three domains of ten engines and lets replicas form: one of four, two of two and two spares in each domain.
 */
async function formFleet (warmSpares: boolean, prepare: (world: World) => void = () => {}): Promise<Fleet> {
  const world = new World(new ManualClock())
  for (let domain = 0; domain < 3; domain++) {
    for (let index = 0; index < 10; index++) world.add(`n${domain}-${index}`, `d${domain}`)
  }
  prepare(world)
  const suspects = new Set<string>()
  const reconciler = createPlanner(world, new MemoryPlacements(), { suspects, warmSpares })
  reconciler.start()
  await advance(world, 40_000)
  return { world, reconciler, suspects }
}

/** The engines of a domain that are in no open replica. */
function spares (world: World, domain: string): Upstream[] {
  const used = new Set(world.openReplicas.flatMap(each => each.members))
  return world.roster.upstreams.filter(each => each.domain === domain && !used.has(each.id))
}

function replicaOf (world: World, domain: string, model: string): Replica {
  return world.openReplicas.find(each => each.model === model && world.upstream(each.head).domain === domain) as Replica
}

/** A plain member of a replica dies, and the gateways suspect the head. */
function killMember ({ world, suspects }: Fleet, { head, members }: Replica): void {
  world.kill(members[1])
  suspects.add(head)
}

function assertSound (t: ExecutionContext, world: World): void {
  t.deepEqual(world.violations, [])
  const members = world.openReplicas.flatMap(each => each.members)
  t.is(new Set(members).size, members.length)
}

const isOfSpare = ({ replica }: Order): boolean => replica.includes('.spare.')

test('each spare has one model in use and the other on its host, in a replica of its own that is never opened', async t => {
  const { world, reconciler } = await formFleet(true)
  for (const domain of ['d0', 'd1', 'd2']) {
    const idle = spares(world, domain)
    t.is(idle.length, 2)
    for (const { loaded, staged, membership } of idle) {
      t.deepEqual([...loaded, ...staged].sort(), ['large', 'small'])
      t.is(membership?.state, 'ready')
    }
  }
  t.deepEqual([...new Set(world.sentOrders.filter(isOfSpare).map(each => each.kind))], ['join'])
  const before = world.sentOrders.length
  await advance(world, 10_000)
  t.is(world.sentOrders.length, before)
  assertSound(t, world)
  reconciler.stop()
})

test('with warm spares a replica that lost a member serves again sooner, by at least half the time of a load from the host', async t => {
  const durations: number[] = []
  for (const warmSpares of [false, true]) {
    const fleet = await formFleet(warmSpares)
    const { world } = fleet
    const begunAt = world.clock.now()
    killMember(fleet, replicaOf(world, 'd0', 'large'))
    while ((world.serving.large ?? 0) < 3 && world.clock.now() - begunAt < 10_000) await advance(world, 20)
    durations.push(world.clock.now() - begunAt)
    assertSound(t, world)
    fleet.reconciler.stop()
  }
  const { warm } = engine.models[0]
  t.true(durations[1] <= durations[0] - warm / 2, String(durations))
})

test('two replicas of one model that lose a member each serve again without a load from the store, although only one spare had that model in use', async t => {
  const durations: number[] = []
  for (const warmSpares of [false, true]) {
    const fleet = await formFleet(warmSpares)
    const { world } = fleet
    const lost = world.openReplicas.filter(each => each.model === 'small' && world.upstream(each.head).domain === 'd0')
    t.is(spares(world, 'd0').filter(each => (each.loaded[0] ?? each.staged[0]) === 'small').length, 1)
    const begunAt = world.clock.now()
    for (const each of lost) killMember(fleet, each)
    while ((world.serving.small ?? 0) < 6 && world.clock.now() - begunAt < 10_000) await advance(world, 20)
    durations.push(world.clock.now() - begunAt)
    assertSound(t, world)
    fleet.reconciler.stop()
  }
  const { load, warm } = engine.models[1]
  t.true(durations[1] <= durations[0] - (load - warm) / 2, String(durations))
})

test('a late order to a spare does not remove it from a replica that it has joined in the meantime', async t => {
  const fleet = await formFleet(true, world => { world.orderDelay = order => isOfSpare(order) && order.kind === 'join' ? 3000 : undefined })
  const { world } = fleet
  const empty = 'new'
  world.add(empty, 'd0', ['large'])
  await advance(world, 300)
  t.true(world.sentOrders.some(each => isOfSpare(each) && each.node === empty))
  // All other spares of the domain are removed, so that the new engine replaces the dead member.
  for (const { id } of spares(world, 'd0')) if (id !== empty) world.kill(id)
  for (const { id } of spares(world, 'd0')) if (id !== empty) world.roster.apply([{ gone: id }])
  killMember(fleet, replicaOf(world, 'd0', 'large'))
  await advance(world, 2500)
  t.true(replicaOf(world, 'd0', 'large').members.includes(empty))
  await advance(world, 5000)
  t.true(replicaOf(world, 'd0', 'large').members.includes(empty))
  assertSound(t, world)
  fleet.reconciler.stop()
})

test('a spare that is in an evacuated data centre, unlisted or leaving gets no order', async t => {
  const { world, reconciler } = await formFleet(true)
  world.add('away', 'd0', ['large'], 'dc-1')
  world.roster.evacuate(new Set(['dc-1']))
  world.add('leaving', 'd1', ['large'])
  world.leave('leaving')
  world.add('unlisted', 'd2', ['large'])
  world.unlist('unlisted', true)
  await advance(world, 3000)
  t.deepEqual(world.sentOrders.filter(({ node }) => ['away', 'leaving', 'unlisted'].includes(node)), [])
  reconciler.stop()
})

test('a planner that takes over does not repeat the load of a spare', async t => {
  const world = new World(new ManualClock())
  for (let index = 0; index < 10; index++) world.add(`n0-${index}`, 'd0')
  const placements = new MemoryPlacements()
  const first = createPlanner(world, placements, { warmSpares: true })
  first.start()
  await advance(world, 20_000)
  world.add('new', 'd0', ['large'])
  await advance(world, 100)
  t.is(world.upstream('new').membership?.state, 'joining')
  first.stop()
  await advance(world, 1000)
  const before = world.sentOrders.length
  const second = createPlanner(world, placements, { warmSpares: true })
  second.start()
  await advance(world, 1000)
  t.deepEqual(world.sentOrders.slice(before).filter(each => each.node === 'new' && each.kind !== 'stage'), [])
  t.deepEqual(world.roster.find('new')?.loaded, ['large'])
  assertSound(t, world)
  second.stop()
})

test('while a replica is missing, engines that wait for it load no other weights', async t => {
  const world = new World(new ManualClock())
  for (let index = 0; index < 4; index++) world.add(`n0-${index}`, 'd0')
  const suspects = new Set<string>()
  const reconciler = createPlanner(world, new MemoryPlacements(), { suspects, warmSpares: true })
  reconciler.start()
  await advance(world, 20_000)
  const [lost] = world.openReplicas
  world.kill(lost.members[1])
  suspects.add(lost.head)
  world.roster.apply([{ gone: lost.members[1] }])
  await advance(world, 600)
  t.false(world.sentOrders.some(each => isOfSpare(each) && lost.members.includes(each.node)))
  assertSound(t, world)
  reconciler.stop()
})

/** The last seed broke TWO: a head served a dissolved replica after late orders to join and to open. */
for (const seed of [...Array.from({ length: 20 }, (_each, index) => index + 1), 600_115]) {
  test.serial(`a random schedule with spares that load ahead breaks no rule (seed ${seed})`, async t => {
    const { violations, servable, openReplicas } = await runSchedule(seed, { keepUnlisted: 8000, lapseShare: 0.3, warmSpares: true })
    t.deepEqual(violations, [])
    if (servable) t.true(openReplicas > 0)
  })
}
