/**
 * What a fleet of 300 gateways agrees on, in the model of `fleet.ts`; the smaller ones are in `membership.test.ts`. The load is that of the size
 * the system is built for, 390. The pattern that it answers: each heard the others by heartbeats of 2 s and waited 8 s for them, then
 * 283 of the 300 planned at once, and no model was served.
 */
import test from 'ava'
import { Fleet, firstStart, neverTwo, restart, takeover } from './fleet.js'

const size = 300

test('of 300 gateways that start together one plans, soon, and never a second one', async t => {
  const fleet = new Fleet(size)
  await fleet.start(Fleet.ids(size), { first: true })
  t.true(await fleet.settled(5000) <= firstStart)
  neverTwo(t, fleet, 1)
})

test('of 300 gateways two watch the store and the others follow, also after the planner has died', async t => {
  const fleet = await Fleet.started(size)
  t.true(fleet.agrees())
  t.is(fleet.followers().length, size - 2)
  fleet.kill(fleet.planners()[0])
  t.true(await fleet.settled(3000) <= takeover)
  neverTwo(t, fleet, 1)
  t.true(fleet.agrees())
})

test('after all of 300 gateways were killed and have restarted, one plans, and never a second one', async t => {
  const fleet = await Fleet.started(size)
  for (const id of Fleet.ids(size)) fleet.kill(id)
  await fleet.run(1000)
  await fleet.start(Fleet.ids(size), { spread: 600 })
  t.true(await fleet.settled(5500) <= restart + 600)
  neverTwo(t, fleet, 1)
})

test('of 300 gateways each sends at most 170 datagrams a second on average', async t => {
  const fleet = await Fleet.started(size)
  const before = fleet.network.sent
  const span = 6000
  await fleet.run(span)
  t.true((fleet.network.sent - before) / size / (span / 1000) <= 170)
})
