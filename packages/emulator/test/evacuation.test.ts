/** Data centres that are evacuated: what the planner forms elsewhere, what it leaves alone there, and what serves at once afterwards. */
import test, { type ExecutionContext } from 'ava'
import { ManualClock, seeded } from '@eiderwind/clock'
import { type Reconciler } from '@eiderwind/forming'
import { MemoryPlacements, World, pass, planner } from './world.js'

/** A world of domains, each a data centre of its own, with so many engines. */
function world (sizes: readonly number[]): World {
  const made = new World(new ManualClock())
  sizes.forEach((size, domain) => {
    for (let index = 0; index < size; index++) made.add(`n${domain}-${index}`, `d${domain}`, [], `dc-${domain}`)
  })
  return made
}

function start (made: World, placements = new MemoryPlacements(), demand = new Map<string, number>()): Reconciler {
  const forming = planner(made, placements, { demand: () => demand })
  forming.start()
  return forming
}

/** Replicas that serve and take requests, by data centre and model. */
function serving (made: World): string[] {
  return made.open.filter(({ head }) => !made.roster.isEvacuated(head)).map(({ head, model }) => `${made.upstream(head).dataCentre} ${model}`).sort()
}

function evacuate (made: World, ...dataCentres: string[]): void {
  made.roster.evacuate(new Set(dataCentres))
}

/** Nothing was broken, and no engine of a data centre got an order since so many were given. */
function leftAlone (t: ExecutionContext, made: World, dataCentre: string, since: number): void {
  t.deepEqual(made.given.slice(since).filter(({ node }) => made.upstream(node).dataCentre === dataCentre).map(each => `${each.kind} ${each.node}`), [])
  t.deepEqual(made.broken, [])
}

test('replicas of an evacuated data centre are kept idle, and serve in the moment in which it is taken back', async t => {
  const made = world([10, 10, 10])
  const forming = start(made)
  await pass(made, 20_000)
  const before = serving(made)
  const given = made.given.length
  evacuate(made, 'dc-0')
  t.deepEqual(serving(made), before.filter(each => !each.startsWith('dc-0')))
  await pass(made, 20_000)
  leftAlone(t, made, 'dc-0', given)
  const loads = made.loadsAt.length
  evacuate(made)
  t.deepEqual(serving(made), before)
  await pass(made, 5000)
  t.deepEqual(serving(made), before)
  t.is(made.loadsAt.length, loads)
  forming.stop()
})

test('a model that was served in the evacuated data centre alone is served elsewhere within three seconds where engines of others hold its weights', async t => {
  const made = world([4, 6])
  const forming = start(made)
  await pass(made, 20_000)
  t.deepEqual(serving(made), ['dc-0 large', 'dc-1 small', 'dc-1 small', 'dc-1 small'])
  const loads = made.loadsAt.length
  evacuate(made, 'dc-0')
  await pass(made, 3000)
  t.deepEqual(serving(made), ['dc-1 large', 'dc-1 small'])
  t.is(made.loadsAt.length, loads)
  evacuate(made)
  t.deepEqual(serving(made), ['dc-0 large', 'dc-1 large', 'dc-1 small'])
  t.deepEqual(made.broken, [])
  forming.stop()
})

test('a model that was served there alone, and whose weights no other engine holds, is loaded by engines of a model that has several replicas', async t => {
  const made = world([4, 8])
  const forming = start(made, new MemoryPlacements(), new Map([['large', 1], ['small', 0.01]]))
  await pass(made, 20_000)
  t.deepEqual(serving(made), ['dc-0 small', 'dc-0 small', 'dc-1 large', 'dc-1 large'])
  evacuate(made, 'dc-0')
  await pass(made, 6000)
  t.deepEqual(serving(made), ['dc-1 large', 'dc-1 small', 'dc-1 small'])
  t.deepEqual(made.broken, [])
  forming.stop()
})

test('a model keeps its last replica where no engines are left for one that has none', async t => {
  const made = world([4, 4])
  const forming = start(made)
  await pass(made, 20_000)
  t.deepEqual(serving(made), ['dc-0 small', 'dc-0 small', 'dc-1 large'])
  evacuate(made, 'dc-0')
  await pass(made, 15_000)
  t.deepEqual(serving(made), ['dc-1 large'])
  t.deepEqual(made.broken, [])
  forming.stop()
})

test('where every data centre is evacuated nothing is formed or dissolved, and all serve afterwards as before', async t => {
  const made = world([10, 10])
  const forming = start(made)
  await pass(made, 20_000)
  const before = serving(made)
  const given = made.given.length
  evacuate(made, 'dc-0', 'dc-1')
  t.deepEqual(serving(made), [])
  await pass(made, 20_000)
  t.is(made.given.length, given)
  evacuate(made)
  await pass(made, 1000)
  t.deepEqual(serving(made), before)
  forming.stop()
})

test('two data centres that are evacuated one after the other each get theirs back, without a load', async t => {
  const made = world([10, 10, 10])
  const forming = start(made)
  await pass(made, 20_000)
  const before = serving(made)
  const loads = made.loadsAt.length
  for (const each of ['dc-0', 'dc-1']) {
    evacuate(made, each)
    await pass(made, 6000)
    t.true(serving(made).some(each => each.endsWith('large')) && serving(made).some(each => each.endsWith('small')), each)
  }
  evacuate(made)
  await pass(made, 3000)
  t.deepEqual(serving(made), before)
  t.is(made.loadsAt.length, loads)
  t.deepEqual(made.broken, [])
  forming.stop()
})

test('an evacuation that is taken back at once changes nothing', async t => {
  const made = world([10, 10, 10])
  const placements = new MemoryPlacements()
  const forming = start(made, placements)
  await pass(made, 20_000)
  const given = made.given.length
  evacuate(made, 'dc-2')
  await pass(made, 40)
  evacuate(made)
  await pass(made, 10_000)
  t.is(made.given.length, given)
  forming.stop()
})

test('a planner that takes over in the middle, and one that hears of the evacuation late, break nothing', async t => {
  const made = world([10, 10, 10])
  const placements = new MemoryPlacements()
  let forming = start(made, placements)
  await pass(made, 20_000)
  const before = serving(made)
  evacuate(made, 'dc-0')
  await pass(made, 500)
  forming.stop()
  forming = start(made, placements)
  const given = made.given.length
  await pass(made, 5000)
  leftAlone(t, made, 'dc-0', given)
  forming.stop()
  // It does not know of the evacuation yet.
  evacuate(made)
  forming = start(made, placements)
  await pass(made, 300)
  evacuate(made, 'dc-0')
  await pass(made, 3000)
  evacuate(made)
  await pass(made, 1000)
  t.deepEqual(serving(made), before)
  forming.stop()
})

test('an evacuated replica that loses a member is dissolved, and formed again only afterwards', async t => {
  const made = world([10, 10, 10])
  const forming = start(made)
  await pass(made, 20_000)
  const before = serving(made)
  const victim = made.open.find(({ head }) => made.upstream(head).dataCentre === 'dc-0') as World['open'][number]
  evacuate(made, 'dc-0')
  const given = made.given.length
  made.kill(victim.members[1])
  await pass(made, 10_000)
  t.false(made.open.some(({ head }) => head === victim.head))
  t.deepEqual(made.given.slice(given).filter(({ kind, node }) => ['join', 'stage', 'open'].includes(kind) && made.upstream(node).dataCentre === 'dc-0'), [])
  evacuate(made)
  await pass(made, 3000)
  t.deepEqual(serving(made), before)
  t.deepEqual(made.broken, [])
  forming.stop()
})

test('in a domain that spans data centres replicas with members in the evacuated one are formed again from the others', async t => {
  const made = new World(new ManualClock())
  for (let index = 0; index < 16; index++) made.add(`n-${index}`, 'd0', [], `dc-${index % 2}`)
  const forming = start(made)
  await pass(made, 20_000)
  evacuate(made, 'dc-0')
  await pass(made, 15_000)
  const open = made.open.filter(({ head }) => !made.roster.isEvacuated(head))
  t.deepEqual([...new Set(open.map(each => each.model))].sort(), ['large', 'small'])
  t.deepEqual(open.flatMap(each => each.members).filter(id => made.upstream(id).dataCentre === 'dc-0'), [])
  t.deepEqual(made.broken, [])
  evacuate(made)
  await pass(made, 15_000)
  t.true(made.open.length > open.length)
  t.deepEqual(made.broken, [])
  forming.stop()
})

/** Schedules that are played, by their seeds. */
const schedules = 20

test(`no order breaks a rule while engines die and data centres are evacuated and taken back (${schedules} schedules)`, async t => {
  for (let seed = 1; seed <= schedules; seed++) {
    const random = seeded(seed)
    const made = world([9, 9, 9])
    const placements = new MemoryPlacements()
    let forming = start(made, placements)
    await pass(made, 15_000)
    for (let event = 0; event < 12; event++) {
      const draw = random()
      const listed = made.roster.upstreams
      if (draw < 0.5) evacuate(made, ...['dc-0', 'dc-1', 'dc-2'].filter(() => random() < 0.4))
      else if (draw < 0.65) made.kill(listed[Math.floor(random() * listed.length)].id)
      else if (draw < 0.8) made.add(`s${event}`, `d${event % 3}`, [], `dc-${event % 3}`)
      else if (draw < 0.9) made.late = order => order.kind !== 'stage' && random() < 0.2 ? 1000 + random() * 6000 : undefined
      else {
        forming.stop()
        forming = start(made, placements)
      }
      await pass(made, 100 + random() * 2500)
    }
    made.late = () => undefined
    evacuate(made)
    await pass(made, 40_000)
    forming.stop()
    t.deepEqual(made.broken, [], `seed ${seed}`)
    for (const model of ['large', 'small']) t.true((made.serving[model] ?? 0) > 0, `${model} of seed ${seed}`)
  }
})
