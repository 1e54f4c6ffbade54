/** Random schedules: loss, delay, datagrams that come twice, deaths, pauses, changes of the issuer. */
import test from 'ava'
import fc from 'fast-check'
import { World, calm, type Request } from './world.js'

const step = fc.record({
  gateway: fc.nat(3),
  what: fc.constantFrom('ask', 'ask', 'ask', 'ask', 'end', 'end', 'leave', 'wait', 'wait', 'pause', 'owner', 'die'),
  span: fc.integer({ min: 1, max: 60 }),
  priority: fc.nat(2)
})

/** Places of the two heads. */
const places = 6

/** Longest that a search lasts, in ms: its own time, and one step. */
const longest = 402

async function play (seed: number, steps: ReadonlyArray<{ readonly gateway: number, readonly what: string, readonly span: number, readonly priority: number }>, loss: number): Promise<World> {
  const world = new World({ gateways: 4, heads: 2, capacity: 3, seed, weather: { loss, doubled: loss, delay: 4 } })
  for (const { gateway: index, what, span, priority } of steps) {
    const gateway = world.gateways[index]
    const own = world.requests.filter(each => each.gateway === gateway)
    switch (what) {
      case 'ask': if (!gateway.isDead && world.now >= gateway.pausedUntil) await world.ask(gateway, { priority }); break
      case 'end': end(world, own); break
      case 'leave': leave(own); break
      case 'pause': gateway.pausedUntil = world.now + span * 5; break
      case 'owner': gateway.owner = `g${span % 2}`; break
      case 'die': if (index === 3) gateway.isDead = true; break
      default: await world.advance(span)
    }
  }
  return world
}

function end (world: World, requests: readonly Request[]): void {
  const running = requests.find(each => each.upstream !== undefined)
  if (running !== undefined) world.end(running)
}

function leave (requests: readonly Request[]): void {
  const waiting = requests.find(each => each.ending === undefined)
  if (waiting === undefined || waiting.gateway.isDead) return
  waiting.gateway.asker.release(waiting.claim)
  waiting.ending = 'refused'
}

/** Ends all that runs, and lets the gateways agree. */
async function quieten (world: World): Promise<void> {
  world.weather = calm
  for (const each of world.gateways) each.owner = 'g0'
  for (const each of world.requests) world.end(each)
  await world.advance(1600)
  for (const each of world.requests) world.end(each)
  await world.advance(600)
}

for (const loss of [0, 0.1]) {
  test(`with ${loss} of the datagrams lost and doubled each search ends in its time, nothing waits for ever and no place is lost`, async t => {
    await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.nat(), fc.array(step, { maxLength: 60 }), async (seed, steps) => {
      const world = await play(seed, steps, loss)
      await quieten(world)
      const living = world.requests.filter(each => !each.gateway.isDead)
      if (living.some(each => each.ending === undefined || each.endedAt - each.claim.wish.arrivedAt > longest + 300)) return false
      if (world.gateways.some(each => !each.isDead && each.waiting > 0)) return false
      // All places are there again, also those of a gateway that died.
      const again = []
      for (let index = 0; index < places; index++) again.push(await world.ask(world.gateways[index % 3]))
      await world.advance(30)
      return again.every(each => each.ending === 'served')
    }), { seed: 7, numRuns: 60 }))
  })
}

test('with one issuer and no failure no head ever has more than its places', async t => {
  await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.nat(), fc.array(step, { maxLength: 80 }), async (seed, steps) => {
    const world = await play(seed, steps.filter(({ what }) => !['pause', 'owner', 'die'].includes(what)), 0)
    return world.beyond <= 0
  }), { seed: 8, numRuns: 60 }))
})
