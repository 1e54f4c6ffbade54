/**
 * A cold upstream never receives more requests in a second than its bound, for any number of gateways and under faults.
 * For longer series, run `simulateCold` with other seeds.
 */
import test from 'ava'
import { simulateCold, type ColdScenario } from './coldfleet.js'

const seeds = [1, 2, 3, 4]

/**
 * Minimum use of the rates of cold upstreams without faults. It is this low because upstreams that are not cold take as
 * many requests as the cold ones.
 */
const minUsedShare = 0.4

for (const faults of [[], ['kill'], ['store-cut'], ['partition'], ['kill', 'store-cut', 'partition']] satisfies Array<ColdScenario['faults']>) {
  test(`a cold upstream receives no more requests than its bound: ${faults.join(', ') || 'no fault'}`, async t => {
    for (const seed of seeds) {
      const gateways = [1, 3, 13, 35][seed % 4]
      const bound = seed % 2 === 0 ? { rate: 32, overshoot: 1.5, slack: 5 } : { rate: 4, overshoot: 1.5, slack: 2 }
      const { maxPerSecond, usedShare, coldSpans } = await simulateCold({ seed, gateways, upstreams: 1 + seed % 3, faults, ...bound })
      t.log(`${gateways} gateways, ${coldSpans} cold spans: at most ${maxPerSecond} requests in a second, ${usedShare.toFixed(2)} used`)
      t.true(maxPerSecond <= bound.rate * bound.overshoot + bound.slack, `${maxPerSecond} requests in a second, seed ${seed}`)
      if (faults.length === 0) t.true(usedShare >= minUsedShare, `${usedShare} used, seed ${seed}`)
    }
  })
}
