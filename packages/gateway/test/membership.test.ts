/**
 * Agreement of a fleet, in the simulation of `fleet.ts`: which gateway plans, which ones watch the store for the
 * others, and how soon all agree after a start, the death of a gateway, a partition, an outage of the store, or a mass
 * restart. A deployment in use has 35 gateways in five data centres. The system is built for up to 390
 * (docs/CAPACITY.md).
 *
 * The tests guard against several planners at once. Of 100 gateways that started together 53 planned, because each had
 * received heartbeats of few others; of 300 that waited for slow heartbeats 283 planned. Each dissolved the replicas
 * that the others formed, and no model was served.
 */
import test from 'ava'
import { Fleet, dataCentres, maxFirstStartTime, assertOnePlannerAtOnce, maxRestartTime, service, maxTakeoverTime, observationTime, type Member } from './fleet.js'

for (const size of [3, 35, 100]) {
  test(`of ${size} gateways that start together, one plans within the bound and never a second one`, async t => {
    const fleet = new Fleet(size)
    await fleet.start(Fleet.ids(size), { first: true })
    t.true(await fleet.timeToSettle(observationTime) <= maxFirstStartTime)
    assertOnePlannerAtOnce(t, fleet, 1)
  })
}

for (const size of [35, 100]) {
  test(`of ${size} gateways, two watch the store and the others follow, also after the planner, its successor or a watcher has died`, async t => {
    const fleet = await Fleet.started(size)
    t.true(fleet.agrees())
    t.is(fleet.followers().length, size - 2)
    for (const victim of [fleet.planners()[0], fleet.planners()[0], fleet.watchers().find(each => !fleet.planners().includes(each)) ?? '']) {
      const planned = fleet.planners().includes(victim)
      fleet.kill(victim)
      t.true(await fleet.timeToSettle(3000) <= (planned ? maxTakeoverTime : 0))
      assertOnePlannerAtOnce(t, fleet, 1)
      t.true(fleet.agrees())
    }
  })
}

for (const size of [3, 35, 100]) {
  test(`after all of ${size} gateways have been killed and restarted, one plans and never a second one`, async t => {
    const fleet = await Fleet.started(size)
    for (const id of Fleet.ids(size)) fleet.kill(id)
    await fleet.run(1000)
    await fleet.start(Fleet.ids(size), { spread: 600 })
    t.true(await fleet.timeToSettle(observationTime) <= maxRestartTime + 600)
    assertOnePlannerAtOnce(t, fleet, 1)
  })
}

test('a gateway that loses the store neither plans nor watches, and another one takes over within 1.5 s', async t => {
  const fleet = await Fleet.started(35, 3)
  for (const victim of [fleet.planners()[0], fleet.watchers()[0]]) {
    fleet.reachesStore = id => id !== victim
    t.true(await fleet.timeToSettle(observationTime) <= 1500)
    assertOnePlannerAtOnce(t, fleet, 1)
    t.false(fleet.watchers().includes(victim))
    t.true((fleet.members.get(victim) as Member).leadership.sources.length > 0)
    fleet.reachesStore = () => true
    await fleet.run(4000)
  }
})

for (const size of [3, 35, 100]) {
  test(`after an outage of the store that ends at a different time for each of ${size} gateways, only the previous planner plans again`, async t => {
    const fleet = await Fleet.started(size)
    const before = fleet.planners()
    fleet.reachesStore = () => false
    await fleet.run(4000)
    const endedAt = fleet.clock.now()
    const ends = new Map(Fleet.ids(size).map((id, index) => [id, endedAt + (index * 37) % 400]))
    fleet.reachesStore = id => fleet.clock.now() >= (ends.get(id) as number)
    fleet.resetObservations()
    await fleet.run(observationTime)
    assertOnePlannerAtOnce(t, fleet, 1)
    t.deepEqual(fleet.planners(), before)
  })
}

test('while a data centre is cut off, the gateways outside have one planner and two watchers', async t => {
  const fleet = await Fleet.started(35, 4)
  const inside = (address: string): boolean => Number(address.slice(1).split(':')[0]) % dataCentres === 0
  fleet.network.isCut = (from, to) => inside(from) !== inside(to)
  await fleet.run(2500)
  const outside = ([...fleet.members.values()]).filter(each => each.dataCentre !== 0)
  t.is(outside.filter(each => each.leadership.isPlanning(service)).length, 1)
  t.is(outside.filter(each => each.leadership.isFollowed).length, 2)
  fleet.network.isCut = () => false
  await fleet.run(2500)
  t.is(fleet.planners().length, 1)
  t.true(fleet.agrees())
})

test('a planner whose heartbeats are lost is replaced, and stops planning when it receives the later term', async t => {
  const fleet = await Fleet.started(35, 8)
  const [old] = fleet.planners()
  fleet.network.isCut = from => from === `${old}:1`
  t.true(await fleet.timeToSettle(3000) <= maxTakeoverTime)
  t.false(fleet.planners().includes(old))
  assertOnePlannerAtOnce(t, fleet, 2)
})

test('after both watchers of the store have died at once, a follower plans as soon as it watches', async t => {
  const fleet = await Fleet.started(35, 9)
  for (const id of fleet.watchers()) fleet.kill(id)
  t.true(await fleet.timeToSettle(observationTime) <= maxTakeoverTime + 200)
  assertOnePlannerAtOnce(t, fleet, 1)
  t.true(fleet.agrees())
})

test('after a third of the gateways has restarted at once, one gateway plans and two watch', async t => {
  const fleet = await Fleet.started(35, 5)
  const restarted = Fleet.ids(35).filter((_id, index) => index % 3 === 0 || fleet.planners().includes(_id))
  for (const id of restarted) fleet.kill(id)
  await fleet.run(500)
  await fleet.start(restarted)
  t.true(await fleet.timeToSettle(observationTime) <= maxRestartTime)
  assertOnePlannerAtOnce(t, fleet, fleet.observed.planners.size)
  t.true(fleet.agrees())
})

test('a gateway that is in no list receives heartbeats from all that have received its own, and follows like the others', async t => {
  const fleet = await Fleet.started(35, 6)
  await fleet.start(['g99'])
  await fleet.run(5000)
  t.true(fleet.agrees())
  t.is((fleet.members.get('g99') as Member).peers.live.length, 35)
})

test('in a small fleet of six, each gateway watches the store itself and one plans', async t => {
  const fleet = await Fleet.started(6, 7)
  await fleet.run(1000)
  t.deepEqual(fleet.watchers(), [])
  t.deepEqual(fleet.followers(), [])
  t.is(fleet.planners().length, 1)
  for (const { leadership } of fleet.members.values()) t.false(leadership.isSpared)
})

/**
 * Datagrams that a gateway sends in a second. Most gateways send at a bounded rate. The few whose failure must be
 * detected soon send four a second to each other gateway.
 */
for (const { size, mean } of [{ size: 35, mean: 136 }, { size: 100, mean: 150 }]) {
  test(`each of ${size} gateways sends at most ${mean} datagrams a second on average`, async t => {
    const fleet = await Fleet.started(size)
    const before = fleet.network.sent
    // A multiple of each heartbeat interval: 0.25, 0.75 and 2 s.
    const span = 6000
    await fleet.run(span)
    t.true((fleet.network.sent - before) / size / (span / 1000) <= mean)
  })
}
