/** Plays random schedules by hand: `npm run schedules -- FIRST COUNT`. Prints each that broke a rule. */
import { playSchedule } from './schedules.js'

const [first, count] = process.argv.slice(2).map(Number)
let failed = 0
for (let seed = first; seed < first + count; seed++) {
  const { broken, open, servable } = await playSchedule(seed)
  if (broken.length === 0 && (open > 0 || !servable)) continue
  failed++
  process.stdout.write(`seed ${seed}: ${broken.join(' ')}; ${open} replicas at the end\n`)
}
process.stdout.write(`${count - failed} kept, ${failed} broken\n`)
