/**
 * Runs random schedules: `npm run schedules -- FIRST COUNT [KEEP] [warm]`, where FIRST is the first seed. Prints each
 * schedule that broke a rule or ended without a replica although one could be formed. With KEEP, in ms, engines also
 * lose their entries, and those that answer stay in their replicas for this time. With `warm`, spares load weights
 * before they are needed.
 */
import { runSchedule } from './schedules.js'

const [first, count, keepUnlisted = 0] = process.argv.slice(2, 5).map(Number)
const warmSpares = process.argv[5] === 'warm'
const lapseShare = keepUnlisted > 0 ? 0.3 : 0
let failed = 0
for (let seed = first; seed < first + count; seed++) {
  const { violations, openReplicas, servable } = await runSchedule(seed, { keepUnlisted, lapseShare, warmSpares })
  if (violations.length === 0 && (openReplicas > 0 || !servable)) continue
  failed++
  process.stdout.write(`seed ${seed}: ${violations.join(' ')}; ${openReplicas} replicas at the end\n`)
}
process.stdout.write(`${count - failed} schedules passed, ${failed} failed\n`)
