/**
 * Plays random schedules by hand: `npm run schedules -- FIRST COUNT [KEEP]`. Prints each that broke a rule. With KEEP, in ms, engines also lose their
 * entries, and those that answer are kept for so long.
 */
import { playSchedule } from './schedules.js'

const [first, count, keepUnlisted = 0] = process.argv.slice(2).map(Number)
const lapses = keepUnlisted > 0 ? 0.3 : 0
let failed = 0
for (let seed = first; seed < first + count; seed++) {
  const { broken, open, servable } = await playSchedule(seed, { keepUnlisted, lapses })
  if (broken.length === 0 && (open > 0 || !servable)) continue
  failed++
  process.stdout.write(`seed ${seed}: ${broken.join(' ')}; ${open} replicas at the end\n`)
}
process.stdout.write(`${count - failed} kept, ${failed} broken\n`)
