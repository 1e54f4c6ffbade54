/**
 * Crashed engines and wrongly refused requests in fleets of 3, 13 and 35 gateways, where new requests with harmful parts
 * arrive beside others that share their first parts: many, few or none.
 */
import test from 'ava'
import { simulate, type FleetOptions, type Prompts } from './fleet.js'

const fleets = [{ gateways: 3, heads: 8, rate: 0.1 }, { gateways: 13, heads: 24, rate: 0.35 }, { gateways: 35, heads: 60, rate: 0.9 }] as const
const seeds = [1, 2, 3] as const

/** Other requests in each ms, if there are few and if there are none. */
const rates = { few: 0.00125, none: 0 } as const

/** Upper bounds on the engines that one harmful part crashes, and on those long after the fifth crash. */
const maxCrashes = 5
const maxLate = 3

function options (fleet: typeof fleets[number], seed: number, harmful: number, prompts: Partial<Prompts> = {}): FleetOptions {
  return { ...fleet, seed, harmful, interval: 200, duration: 14_000, prompts: { shared: 1, session: false, teams: 1, quiet: 2000, ...prompts } }
}

const cases: ReadonlyArray<{ readonly title: string, readonly harmful: number, readonly prompts?: Partial<Prompts>, readonly rate?: number }> = [
  { title: 'one harmful part', harmful: 1 },
  { title: 'one harmful part behind five shared ones, ten teams', harmful: 1, prompts: { shared: 5, teams: 10 } },
  { title: 'one harmful part before a part of its session', harmful: 1, prompts: { session: true, teams: 10 } },
  { title: 'one harmful part, few other requests', harmful: 1, rate: rates.few },
  { title: 'one harmful part, no other requests', harmful: 1, rate: rates.none },
  { title: 'three harmful parts', harmful: 3 },
  { title: 'three harmful parts, few other requests', harmful: 3, rate: rates.few },
  { title: 'ten harmful parts', harmful: 10 }
]

for (const fleet of fleets) {
  for (const { title, harmful, prompts, rate = fleet.rate } of cases) {
    test.serial(`${fleet.gateways} gateways, ${title}: at most five engines crash for each, and no other request is refused`, async t => {
      for (const seed of seeds) {
        const { crashed, late, others, refused, served } = await simulate({ ...options(fleet, seed, harmful, prompts), rate })
        t.log(`seed ${seed}: ${crashed} engines, ${late} late, ${refused} of ${others} others refused, ${served} served`)
        t.true(crashed <= maxCrashes * harmful)
        t.true(late <= maxLate * harmful)
        t.is(refused, 0)
      }
    })
  }
}
