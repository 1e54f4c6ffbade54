/**
 * A limit is kept by all gateways together and used by whoever has callers, in fleets of several sizes, also where a third is killed or cut off. Asked for is twice
 * what the limit allows. Tables over all ways, limits and sizes are made by `npm run limits`.
 */
import test from 'ava'
import { playLimit, type Event, type LimitDay } from './limitfleet.js'

/** Requests in any four seconds beyond what the limit allows in them. */
const mostBeyond = 2

/** Share of what one bucket for the whole fleet uses; where callers come to a tenth of the gateways; where a third of the fleet is away for a quarter of the time. */
const usedShare = 0.95
const usedUnevenly = 0.85
const usedWithLoss = 0.85

const loss = 0

async function used (t: { log: (text: string) => void, true: (value: boolean, text: string) => void }, day: Omit<LimitDay, 'sharing' | 'seed' | 'loss'>): Promise<number> {
  const seed = 1
  const { beyond, used, messages } = await playLimit({ ...day, sharing: 'tokens', seed, loss })
  const bucket = await playLimit({ ...day, sharing: 'one bucket', event: 'none', seed, loss })
  t.log(`limit ${day.limit}, ${day.event}: ${beyond.toFixed(1)} beyond, ${(used / bucket.used).toFixed(3)} used, ${messages.toFixed(2)} messages a request`)
  t.true(beyond <= mostBeyond, `${beyond} requests beyond a limit of ${day.limit}, ${day.event}`)
  return used / bucket.used
}

for (const gateways of [1, 3, 13, 35]) {
  test(`${gateways} gateways keep a limit together, and use it`, async t => {
    for (const limit of [1.6, 20]) t.true(await used(t, { gateways, limit, reached: 1, event: 'none' }) >= usedShare)
  })
}

test('callers who come to a tenth of the gateways use the limit too', async t => {
  for (const limit of [1.6, 20]) t.true(await used(t, { gateways: 13, limit, reached: 0.1, event: 'none' }) >= usedUnevenly)
})

for (const event of ['restart', 'partition'] satisfies Event[]) {
  test(`a ${event} of a third of the gateways does not overrun a limit`, async t => {
    for (const limit of [1.6, 20, 100]) t.true(await used(t, { gateways: 13, limit, reached: 1, event }) >= usedWithLoss)
  })
}
