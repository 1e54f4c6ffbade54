/** Prints the table of `docs/design/crashes.md` on harmful parts: the ways to recognize them, in fleets of all sizes. */
import { CountingPolicy, simulate, type FleetOptions, type Prompts } from './fleet.js'

const fleets = [
  { gateways: 3, heads: 8, rate: 0.1 },
  { gateways: 13, heads: 24, rate: 0.35 },
  { gateways: 35, heads: 60, rate: 0.9 },
  { gateways: 300, heads: 500, rate: 7 }
] as const

const mixes: ReadonlyArray<{ readonly title: string, readonly harmful: number, readonly prompts?: Partial<Prompts>, readonly rate?: number }> = [
  { title: 'one', harmful: 1 },
  { title: 'one, few others', harmful: 1, rate: 0.00125 },
  { title: 'one behind five, ten teams', harmful: 1, prompts: { shared: 5, teams: 10 } },
  { title: 'three', harmful: 3 },
  { title: 'three, few others', harmful: 3, rate: 0.00125 },
  { title: 'ten', harmful: 10 },
  { title: 'ten, nothing served before', harmful: 10, prompts: { quiet: 0 } }
]

const ways: ReadonlyArray<{ readonly title: string, readonly change: (options: FleetOptions) => FleetOptions }> = [
  { title: 'whole requests', change: options => ({ ...options, prompts: { ...options.prompts as Prompts, isRecognized: false } }) },
  { title: 'each part counts', change: options => ({ ...options, policy: new CountingPolicy() }) },
  { title: 'kept', change: options => options }
]

const defaultSeeds = '1,2,3'
const seeds = (process.argv[2] ?? defaultSeeds).split(',').map(Number)
const maxGateways = Number(process.argv[3] ?? Infinity)

for (const fleet of fleets.filter(each => each.gateways <= maxGateways)) {
  for (const { title, harmful, prompts, rate = fleet.rate } of mixes) {
    for (const way of ways) {
      const results = await Promise.all(seeds.map(async seed => await simulate(way.change({ ...fleet, rate, seed, harmful, interval: 200, duration: 14_000, prompts: { shared: 1, session: false, teams: 1, quiet: 2000, ...prompts } }))))
      const worst = (pick: (result: typeof results[number]) => number): number => Math.max(...results.map(pick))
      const sum = (pick: (result: typeof results[number]) => number): number => results.reduce((total, each) => total + pick(each), 0)
      console.log(`| ${fleet.gateways} | ${title} | ${way.title} | ${worst(each => each.crashed)} | ${worst(each => each.late)} | ${worst(each => each.refused)} | ${sum(each => each.served)} of ${sum(each => each.others)} |`)
    }
  }
}
