/** Spares that load weights before a replica needs them, under deaths one after the other and orders that act late. */
import test, { type ExecutionContext } from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type Order, type Reconciler } from '@eiderwind/forming'
import { type Upstream } from '@eiderwind/roster'
import { playSchedule } from './schedules.js'
import { MemoryPlacements, World, engine, pass, planner } from './world.js'

type Replica = World['open'][number]

interface Fleet {
  readonly made: World
  readonly forming: Reconciler
  readonly suspects: Set<string>
}

/** Three domains of ten engines, formed: one replica of four, two of two and two spares in each. */
async function formed (warmSpares: boolean, prepare: (made: World) => void = () => {}): Promise<Fleet> {
  const made = new World(new ManualClock())
  for (let domain = 0; domain < 3; domain++) {
    for (let index = 0; index < 10; index++) made.add(`n${domain}-${index}`, `d${domain}`)
  }
  prepare(made)
  const suspects = new Set<string>()
  const forming = planner(made, new MemoryPlacements(), { suspects, warmSpares })
  forming.start()
  await pass(made, 40_000)
  return { made, forming, suspects }
}

/** The engines of a domain that are in no open replica. */
function spares (made: World, domain: string): Upstream[] {
  const used = new Set(made.open.flatMap(each => each.members))
  return made.roster.upstreams.filter(each => each.domain === domain && !used.has(each.id))
}

function replica (made: World, domain: string, model: string): Replica {
  return made.open.find(each => each.model === model && made.upstream(each.head).domain === domain) as Replica
}

/** A plain member of a replica dies, and the gateways suspect the head. */
function killMember ({ made, suspects }: Fleet, { head, members }: Replica): void {
  made.kill(members[1])
  suspects.add(head)
}

function sound (t: ExecutionContext, made: World): void {
  t.deepEqual(made.broken, [])
  const members = made.open.flatMap(each => each.members)
  t.is(new Set(members).size, members.length)
}

const isOfSpare = ({ replica }: Order): boolean => replica.includes('.spare.')

test('spares have one model in use and the other one on their host, each in a replica of its own that is never opened', async t => {
  const { made, forming } = await formed(true)
  for (const domain of ['d0', 'd1', 'd2']) {
    const idle = spares(made, domain)
    t.is(idle.length, 2)
    for (const { loaded, staged, membership } of idle) {
      t.deepEqual([...loaded, ...staged].sort(), ['large', 'small'])
      t.is(membership?.state, 'ready')
    }
  }
  t.deepEqual([...new Set(made.given.filter(isOfSpare).map(each => each.kind))], ['join'])
  const before = made.given.length
  await pass(made, 10_000)
  t.is(made.given.length, before)
  sound(t, made)
  forming.stop()
})

test('a replica that lost a member serves again sooner by the time of a load from the host', async t => {
  const took: number[] = []
  for (const warmSpares of [false, true]) {
    const fleet = await formed(warmSpares)
    const { made } = fleet
    const begunAt = made.clock.now()
    killMember(fleet, replica(made, 'd0', 'large'))
    while ((made.serving.large ?? 0) < 3 && made.clock.now() - begunAt < 10_000) await pass(made, 20)
    took.push(made.clock.now() - begunAt)
    sound(t, made)
    fleet.forming.stop()
  }
  const { warm } = engine.models[0]
  t.true(took[1] <= took[0] - warm / 2, String(took))
})

test('two replicas of one model that lose a member each serve again without a load, though one spare alone had that model in use', async t => {
  const took: number[] = []
  for (const warmSpares of [false, true]) {
    const fleet = await formed(warmSpares)
    const { made } = fleet
    const lost = made.open.filter(each => each.model === 'small' && made.upstream(each.head).domain === 'd0')
    t.is(spares(made, 'd0').filter(each => (each.loaded[0] ?? each.staged[0]) === 'small').length, 1)
    const begunAt = made.clock.now()
    for (const each of lost) killMember(fleet, each)
    while ((made.serving.small ?? 0) < 6 && made.clock.now() - begunAt < 10_000) await pass(made, 20)
    took.push(made.clock.now() - begunAt)
    sound(t, made)
    fleet.forming.stop()
  }
  const { load, warm } = engine.models[1]
  t.true(took[1] <= took[0] - (load - warm) / 2, String(took))
})

test('an order to a spare that acts late does not take it out of the replica that it has joined meanwhile', async t => {
  const fleet = await formed(true, made => { made.late = order => isOfSpare(order) && order.kind === 'join' ? 3000 : undefined })
  const { made } = fleet
  const empty = 'new'
  made.add(empty, 'd0', ['large'])
  await pass(made, 300)
  t.true(made.given.some(each => isOfSpare(each) && each.node === empty))
  // All other engines of the domain that could take the place go, so that the new one gets it.
  for (const { id } of spares(made, 'd0')) if (id !== empty) made.kill(id)
  for (const { id } of spares(made, 'd0')) if (id !== empty) made.roster.apply([{ gone: id }])
  killMember(fleet, replica(made, 'd0', 'large'))
  await pass(made, 2500)
  t.true(replica(made, 'd0', 'large').members.includes(empty))
  await pass(made, 5000)
  t.true(replica(made, 'd0', 'large').members.includes(empty))
  sound(t, made)
  fleet.forming.stop()
})

test('a spare in an evacuated data centre, without an entry or about to leave gets no order', async t => {
  const { made, forming } = await formed(true)
  made.add('away', 'd0', ['large'], 'dc-1')
  made.roster.evacuate(new Set(['dc-1']))
  made.add('leaving', 'd1', ['large'])
  made.leave('leaving')
  made.add('unlisted', 'd2', ['large'])
  made.unlist('unlisted', true)
  await pass(made, 3000)
  t.deepEqual(made.given.filter(({ node }) => ['away', 'leaving', 'unlisted'].includes(node)), [])
  forming.stop()
})

test('a planner that takes over knows what the spares have in use', async t => {
  const made = new World(new ManualClock())
  for (let index = 0; index < 10; index++) made.add(`n0-${index}`, 'd0')
  const placements = new MemoryPlacements()
  const first = planner(made, placements, { warmSpares: true })
  first.start()
  await pass(made, 20_000)
  made.add('new', 'd0', ['large'])
  await pass(made, 100)
  t.is(made.upstream('new').membership?.state, 'joining')
  first.stop()
  await pass(made, 1000)
  const before = made.given.length
  const second = planner(made, placements, { warmSpares: true })
  second.start()
  await pass(made, 1000)
  t.deepEqual(made.given.slice(before).filter(each => each.node === 'new' && each.kind !== 'stage'), [])
  t.deepEqual(made.roster.find('new')?.loaded, ['large'])
  sound(t, made)
  second.stop()
})

test('while a replica is lacking no engine that waits for it loads other weights', async t => {
  const made = new World(new ManualClock())
  for (let index = 0; index < 4; index++) made.add(`n0-${index}`, 'd0')
  const suspects = new Set<string>()
  const forming = planner(made, new MemoryPlacements(), { suspects, warmSpares: true })
  forming.start()
  await pass(made, 20_000)
  const [lost] = made.open
  made.kill(lost.members[1])
  suspects.add(lost.head)
  made.roster.apply([{ gone: lost.members[1] }])
  await pass(made, 600)
  t.false(made.given.some(each => isOfSpare(each) && lost.members.includes(each.node)))
  sound(t, made)
  forming.stop()
})

/** The last one shows a fault that is not mended: KNOWN-RED.txt. */
for (const seed of [...Array.from({ length: 20 }, (_each, index) => index + 1), 600_115]) {
  test.serial(`a random schedule with spares that load ahead breaks no rule (seed ${seed})`, async t => {
    const { broken, servable, open } = await playSchedule(seed, { keepUnlisted: 8000, lapses: 0.3, warmSpares: true })
    t.deepEqual(broken, [])
    if (servable) t.true(open > 0)
  })
}
