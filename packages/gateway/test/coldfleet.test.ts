/** However many gateways there are, and whatever befalls them, a cold upstream gets no more in any second than its bound. Longer series: `playCold` with other seeds. */
import test from 'ava'
import { playCold, type ColdDay } from './coldfleet.js'

const seeds = [1, 2, 3, 4]

/** Share of what the rates allow that has to be used while nothing befalls the gateways: as many requests find room at upstreams that are not cold. */
const usedShare = 0.4

for (const faults of [[], ['kill'], ['store-cut'], ['partition'], ['kill', 'store-cut', 'partition']] satisfies Array<ColdDay['faults']>) {
  test(`cold upstreams get no more than they bear: ${faults.join(', ') || 'no fault'}`, async t => {
    for (const seed of seeds) {
      const gateways = [1, 3, 13, 35][seed % 4]
      const day = seed % 2 === 0 ? { rate: 32, overshoot: 1.5, slack: 5 } : { rate: 4, overshoot: 1.5, slack: 2 }
      const { most, used, colds } = await playCold({ seed, gateways, upstreams: 1 + seed % 3, faults, ...day })
      t.log(`${gateways} gateways, ${colds} times: at most ${most} in a second, ${used.toFixed(2)} used`)
      t.true(most <= day.rate * day.overshoot + day.slack, `${most} requests in a second, seed ${seed}`)
      if (faults.length === 0) t.true(used >= usedShare, `${used} used, seed ${seed}`)
    }
  })
}
