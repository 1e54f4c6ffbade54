/**
 * Plays random schedules by hand: `npm run schedules -- FIRST COUNT [KEEP] [warm]`. Prints each that broke a rule. With KEEP, in ms, engines also lose their
 * entries, and those that answer are kept for so long; with `warm` spares load weights before they are needed.
 */
import { playSchedule } from './schedules.js'

const [first, count, keepUnlisted = 0] = process.argv.slice(2, 5).map(Number)
const warmSpares = process.argv[5] === 'warm'
const lapses = keepUnlisted > 0 ? 0.3 : 0
let failed = 0
for (let seed = first; seed < first + count; seed++) {
  const { broken, open, servable } = await playSchedule(seed, { keepUnlisted, lapses, warmSpares })
  if (broken.length === 0 && (open > 0 || !servable)) continue
  failed++
  process.stdout.write(`seed ${seed}: ${broken.join(' ')}; ${open} replicas at the end\n`)
}
process.stdout.write(`${count - failed} kept, ${failed} broken\n`)
