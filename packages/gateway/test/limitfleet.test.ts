/**
 * Gateways keep the limit of an upstream together, and the gateways that have callers use it. The tests run fleets of
 * several sizes, also with a third of the gateways killed or cut off. Callers send twice what the limit allows.
 * `npm run limits` prints tables over all strategies, limits and sizes.
 */
import test from 'ava'
import { simulateLimit, type Event, type LimitScenario } from './limitfleet.js'

/** Maximum number of requests in any four seconds beyond the number that the limit allows in that time. */
const maxBeyond = 2

/** Minimum use of the limit, as a fraction of the use by one bucket for the whole fleet. */
const minUsedShare = 0.95
/** The same if callers come to a tenth of the gateways. */
const minUsedShareUneven = 0.85
/** The same if a third of the fleet is killed or cut off for a quarter of the time. */
const minUsedShareInEvent = 0.85

/** Share of the datagrams that are lost. */
const loss = 0

/** Runs a scenario, checks that the limit holds, and returns the use as a fraction of the use by one bucket. */
async function used (t: { log: (text: string) => void, true: (value: boolean, text: string) => void }, scenario: Omit<LimitScenario, 'sharing' | 'seed' | 'loss'>): Promise<number> {
  const seed = 1
  const { beyond, usedShare, messages } = await simulateLimit({ ...scenario, sharing: 'tokens', seed, loss })
  const bucket = await simulateLimit({ ...scenario, sharing: 'one bucket', event: 'none', seed, loss })
  t.log(`limit ${scenario.limit}, ${scenario.event}: ${beyond.toFixed(1)} beyond, ${(usedShare / bucket.usedShare).toFixed(3)} used, ${messages.toFixed(2)} messages a request`)
  t.true(beyond <= maxBeyond, `${beyond} requests beyond a limit of ${scenario.limit}, ${scenario.event}`)
  return usedShare / bucket.usedShare
}

for (const gateways of [1, 3, 13, 35]) {
  test(`${gateways} gateways together keep to a limit and use almost all of it`, async t => {
    for (const limit of [1.6, 20]) t.true(await used(t, { gateways, limit, reachedShare: 1, event: 'none' }) >= minUsedShare)
  })
}

test('if callers come to only a tenth of the gateways, these still use most of the limit', async t => {
  for (const limit of [1.6, 20]) t.true(await used(t, { gateways: 13, limit, reachedShare: 0.1, event: 'none' }) >= minUsedShareUneven)
})

for (const event of ['restart', 'partition'] satisfies Event[]) {
  test(`during a ${event} of a third of the gateways, the limit is not exceeded and most of it is used`, async t => {
    for (const limit of [1.6, 20, 100]) t.true(await used(t, { gateways: 13, limit, reachedShare: 1, event }) >= minUsedShareInEvent)
  })
}
