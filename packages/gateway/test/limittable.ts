/**
 * `npm run limits [-- GATEWAYS,...]`: simulates each strategy of sharing a limit over sizes of the fleet, limits and
 * events, and prints a table in Markdown.
 */
import { simulateLimit, type Event, type LimitScenario, type Sharing } from './limitfleet.js'

const seeds = [1, 2, 3]
const sizes = (process.argv[2] ?? '1,3,13,35').split(',').map(Number)
const limits = [0.3, 1.6, 3, 20, 100]
const events: Event[] = ['none', 'restart', 'partition']
/** Share of the datagrams that are lost. */
const loss = 0
const sharings: Sharing[] = ['equal parts', 'by demand', 'few gateways', 'tokens']

/**
 * Formats one cell: the maximum excess over the limit in all seeds, and the mean use of the limit as a fraction of the
 * use by one bucket.
 */
async function cell (scenario: Omit<LimitScenario, 'seed' | 'loss'>): Promise<string> {
  const runs = await Promise.all(seeds.map(async seed => await simulateLimit({ ...scenario, seed, loss })))
  const bucket = await Promise.all(seeds.map(async seed => await simulateLimit({ ...scenario, sharing: 'one bucket', event: 'none', seed, loss })))
  const used = (of: readonly { readonly usedShare: number }[]): number => of.reduce((sum, each) => sum + each.usedShare, 0)
  return `${Math.max(...runs.map(each => each.beyond)).toFixed(1)}, ${(used(runs) / used(bucket)).toFixed(2)}`
}

process.stdout.write(`| Gateways | Limit | Callers at | Event | ${sharings.join(' | ')} |\n|${' --- |'.repeat(4 + sharings.length)}\n`)
for (const gateways of sizes) {
  for (const limit of limits) {
    for (const [reachedShare, event] of [...events.map(each => [1, each] as const), [0.1, 'none'] as const]) {
      const cells = []
      for (const sharing of sharings) cells.push(await cell({ sharing, gateways, limit, reachedShare, event }))
      process.stdout.write(`| ${gateways} | ${limit} | ${reachedShare === 1 ? 'all' : 'a tenth'} | ${event} | ${cells.join(' | ')} |\n`)
    }
  }
}
