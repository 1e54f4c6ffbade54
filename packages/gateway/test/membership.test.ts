/**
 * What a fleet agrees on, in the model of `fleet.ts`: who plans and who watches the store for the others, and how soon all agree after a start,
 * after a gateway dies, a data centre is cut off, the store was away, or many restart at once. The load is that of large fleets: 35 gateways in
 * five data centres is a deployment in use; 100 and 300 are on the way to the size the system is built for (390, docs/CAPACITY.md).
 *
 * The pattern that it answers: of 100 gateways that start together 53 planned at once, since each had heard few others, and of 300 that had
 * to wait for slow heartbeats 283; what one formed another dissolved, and no model was served.
 */
import test from 'ava'
import { Fleet, dataCentres, firstStart, neverTwo, restart, service, takeover, watched, type Member } from './fleet.js'

for (const size of [3, 35, 100]) {
  test(`of ${size} gateways that start together one plans, soon, and never a second one`, async t => {
    const fleet = new Fleet(size)
    await fleet.start(Fleet.ids(size), { first: true })
    t.true(await fleet.settled(watched) <= firstStart)
    neverTwo(t, fleet, 1)
  })
}

for (const size of [35, 100]) {
  test(`of ${size} gateways two watch the store and the others follow, also after the planner or its successor has died`, async t => {
    const fleet = await Fleet.started(size)
    t.true(fleet.agrees())
    t.is(fleet.followers().length, size - 2)
    for (const victim of [fleet.planners()[0], fleet.planners()[0], fleet.watchers().find(each => !fleet.planners().includes(each)) ?? '']) {
      const planned = fleet.planners().includes(victim)
      fleet.kill(victim)
      t.true(await fleet.settled(3000) <= (planned ? takeover : 0))
      neverTwo(t, fleet, 1)
      t.true(fleet.agrees())
    }
  })
}

for (const size of [3, 35, 100]) {
  test(`after all of ${size} gateways were killed and have restarted, one plans, and never a second one`, async t => {
    const fleet = await Fleet.started(size)
    for (const id of Fleet.ids(size)) fleet.kill(id)
    await fleet.run(1000)
    await fleet.start(Fleet.ids(size), { spread: 600 })
    t.true(await fleet.settled(watched) <= restart + 600)
    neverTwo(t, fleet, 1)
  })
}

test('a gateway that loses the store neither plans nor watches, and another one does within the patience for it', async t => {
  const fleet = await Fleet.started(35, 3)
  for (const victim of [fleet.planners()[0], fleet.watchers()[0]]) {
    fleet.reaches = id => id !== victim
    t.true(await fleet.settled(watched) <= 1500)
    neverTwo(t, fleet, 1)
    t.false(fleet.watchers().includes(victim))
    t.true((fleet.members.get(victim) as Member).leadership.sources.length > 0)
    fleet.reaches = () => true
    await fleet.run(4000)
  }
})

for (const size of [3, 35, 100]) {
  test(`after an outage of the store that each of ${size} gateways sees end at another moment, the same one plans again and no other one`, async t => {
    const fleet = await Fleet.started(size)
    const before = fleet.planners()
    fleet.reaches = () => false
    await fleet.run(4000)
    const endedAt = fleet.clock.now()
    const ends = new Map(Fleet.ids(size).map((id, index) => [id, endedAt + (index * 37) % 400]))
    fleet.reaches = id => fleet.clock.now() >= (ends.get(id) as number)
    fleet.observe()
    await fleet.run(watched)
    neverTwo(t, fleet, 1)
    t.deepEqual(fleet.planners(), before)
  })
}

test('while a data centre is cut off, the gateways outside have one planner and two that watch', async t => {
  const fleet = await Fleet.started(35, 4)
  const inside = (address: string): boolean => Number(address.slice(1).split(':')[0]) % dataCentres === 0
  fleet.network.cut = (from, to) => inside(from) !== inside(to)
  await fleet.run(2500)
  const outside = ([...fleet.members.values()]).filter(each => each.dataCentre !== 0)
  t.is(outside.filter(each => each.leadership.plans(service)).length, 1)
  t.is(outside.filter(each => each.leadership.isFollowed).length, 2)
  fleet.network.cut = () => false
  await fleet.run(2500)
  t.is(fleet.planners().length, 1)
  t.true(fleet.agrees())
})

test('a planner that nobody hears is replaced, and rests as soon as it hears of the later term', async t => {
  const fleet = await Fleet.started(35, 8)
  const [old] = fleet.planners()
  fleet.network.cut = from => from === `${old}:1`
  t.true(await fleet.settled(3000) <= takeover)
  t.false(fleet.planners().includes(old))
  neverTwo(t, fleet, 2)
})

test('after both that watch the store have died at once, one that followed them plans as soon as it watches', async t => {
  const fleet = await Fleet.started(35, 9)
  for (const id of fleet.watchers()) fleet.kill(id)
  t.true(await fleet.settled(watched) <= takeover + 200)
  neverTwo(t, fleet, 1)
  t.true(fleet.agrees())
})

test('after a third of the gateways have restarted at once, one plans and two watch', async t => {
  const fleet = await Fleet.started(35, 5)
  const restarted = Fleet.ids(35).filter((_id, index) => index % 3 === 0 || fleet.planners().includes(_id))
  for (const id of restarted) fleet.kill(id)
  await fleet.run(500)
  await fleet.start(restarted)
  t.true(await fleet.settled(watched) <= restart)
  neverTwo(t, fleet, fleet.observed.planners.size)
  t.true(fleet.agrees())
})

test('a gateway that no list names is sent to by all that have heard it, and follows like the others', async t => {
  const fleet = await Fleet.started(35, 6)
  await fleet.start(['g99'])
  await fleet.run(5000)
  t.true(fleet.agrees())
  t.is((fleet.members.get('g99') as Member).peers.live.length, 35)
})

test('a fleet of six is small: each watches the store for itself, and one plans', async t => {
  const fleet = await Fleet.started(6, 7)
  await fleet.run(1000)
  t.deepEqual(fleet.watchers(), [])
  t.deepEqual(fleet.followers(), [])
  t.is(fleet.planners().length, 1)
  for (const { leadership } of fleet.members.values()) t.false(leadership.isSpared)
})

/** Datagrams that one gateway sends in a second: most send at a bounded rate, and the few whose loss must be known soon four to each other one. */
for (const { size, mean } of [{ size: 35, mean: 136 }, { size: 100, mean: 150 }]) {
  test(`of ${size} gateways each sends at most ${mean} datagrams a second on average`, async t => {
    const fleet = await Fleet.started(size)
    const before = fleet.network.sent
    // Whole intervals of each size: 0.25, 0.75 and 2 s.
    const span = 6000
    await fleet.run(span)
    t.true((fleet.network.sent - before) / size / (span / 1000) <= mean)
  })
}
