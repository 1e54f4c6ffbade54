/**
 * Random schedules with lost, delayed and duplicated datagrams, dead and paused gateways, and changes of the issuer.
 */
import test from 'ava'
import fc from 'fast-check'
import { Simulation, reliableNetwork, type Request } from './simulation.js'

const step = fc.record({
  gateway: fc.nat(3),
  what: fc.constantFrom('ask', 'ask', 'ask', 'ask', 'end', 'end', 'leave', 'wait', 'wait', 'pause', 'owner', 'die'),
  span: fc.integer({ min: 1, max: 60 }),
  priority: fc.nat(2)
})

/** Places of the two heads. */
const places = 6

/** Upper bound of the duration of a search, in ms: its own wait and one step. */
const maxSearchTime = 402

async function runSchedule (seed: number, steps: ReadonlyArray<{ readonly gateway: number, readonly what: string, readonly span: number, readonly priority: number }>, loss: number): Promise<Simulation> {
  const simulation = new Simulation({ gateways: 4, heads: 2, capacity: 3, seed, network: { loss, duplication: loss, delay: 4 } })
  for (const { gateway: index, what, span, priority } of steps) {
    const gateway = simulation.gateways[index]
    const own = simulation.requests.filter(each => each.gateway === gateway)
    switch (what) {
      case 'ask': if (!gateway.isDead && simulation.now >= gateway.pausedUntil) await simulation.request(gateway, { priority }); break
      case 'end': end(simulation, own); break
      case 'leave': leave(own); break
      case 'pause': gateway.pausedUntil = simulation.now + span * 5; break
      case 'owner': gateway.owner = `g${span % 2}`; break
      case 'die': if (index === 3) gateway.isDead = true; break
      default: await simulation.advance(span)
    }
  }
  return simulation
}

function end (simulation: Simulation, requests: readonly Request[]): void {
  const running = requests.find(each => each.upstream !== undefined)
  if (running !== undefined) simulation.end(running)
}

function leave (requests: readonly Request[]): void {
  const waiting = requests.find(each => each.outcome === undefined)
  if (waiting === undefined || waiting.gateway.isDead) return
  waiting.gateway.placeClient.release(waiting.claim)
  waiting.outcome = 'refused'
}

/** Ends all requests and lets the gateways agree. */
async function endAll (simulation: Simulation): Promise<void> {
  simulation.network = reliableNetwork
  for (const each of simulation.gateways) each.owner = 'g0'
  for (const each of simulation.requests) simulation.end(each)
  await simulation.advance(1600)
  for (const each of simulation.requests) simulation.end(each)
  await simulation.advance(600)
}

for (const loss of [0, 0.1]) {
  test(`with a share of ${loss} of the datagrams lost and duplicated, each search ends in time, no request waits for ever and no place is lost`, async t => {
    await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.nat(), fc.array(step, { maxLength: 60 }), async (seed, steps) => {
      const simulation = await runSchedule(seed, steps, loss)
      await endAll(simulation)
      const living = simulation.requests.filter(each => !each.gateway.isDead)
      if (living.some(each => each.outcome === undefined || each.endedAt - each.claim.requirements.arrivedAt > maxSearchTime + 300)) return false
      if (simulation.gateways.some(each => !each.isDead && each.waiting > 0)) return false
      // All places are free again, including those of a gateway that died.
      const again = []
      for (let index = 0; index < places; index++) again.push(await simulation.request(simulation.gateways[index % 3]))
      await simulation.advance(30)
      return again.every(each => each.outcome === 'served')
    }), { seed: 7, numRuns: 60 }))
  })
}

test('with one issuer and no failure no head ever has more requests than places', async t => {
  await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.nat(), fc.array(step, { maxLength: 80 }), async (seed, steps) => {
    const simulation = await runSchedule(seed, steps.filter(({ what }) => !['pause', 'owner', 'die'].includes(what)), 0)
    return simulation.maxExcess <= 0
  }), { seed: 8, numRuns: 60 }))
})
