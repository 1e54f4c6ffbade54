/**
 * Agreement of a fleet of 300 gateways, in the simulation of `fleet.ts`. `membership.test.ts` has the smaller fleets.
 * The system is built for up to 390 gateways. The tests guard against several planners at once: with heartbeats every
 * 2 s and a wait of 8 s for them, 283 of 300 gateways planned at once, and no model was served.
 */
import test from 'ava'
import { Fleet, maxFirstStartTime, assertOnePlannerAtOnce, maxRestartTime, maxTakeoverTime } from './fleet.js'

const size = 300

test('of 300 gateways that start together, one plans within the bound and never a second one', async t => {
  const fleet = new Fleet(size)
  await fleet.start(Fleet.ids(size), { first: true })
  t.true(await fleet.timeToSettle(5000) <= maxFirstStartTime)
  assertOnePlannerAtOnce(t, fleet, 1)
})

test('of 300 gateways, two watch the store and the others follow, also after the planner has died', async t => {
  const fleet = await Fleet.started(size)
  t.true(fleet.agrees())
  t.is(fleet.followers().length, size - 2)
  fleet.kill(fleet.planners()[0])
  t.true(await fleet.timeToSettle(3000) <= maxTakeoverTime)
  assertOnePlannerAtOnce(t, fleet, 1)
  t.true(fleet.agrees())
})

test('after all of 300 gateways have been killed and restarted, one plans and never a second one', async t => {
  const fleet = await Fleet.started(size)
  for (const id of Fleet.ids(size)) fleet.kill(id)
  await fleet.run(1000)
  await fleet.start(Fleet.ids(size), { spread: 600 })
  t.true(await fleet.timeToSettle(5500) <= maxRestartTime + 600)
  assertOnePlannerAtOnce(t, fleet, 1)
})

test('each of 300 gateways sends at most 170 datagrams a second on average', async t => {
  const fleet = await Fleet.started(size)
  const before = fleet.network.sent
  const span = 6000
  await fleet.run(span)
  t.true((fleet.network.sent - before) / size / (span / 1000) <= 170)
})
