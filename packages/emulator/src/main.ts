/**
 * Simulates a day with several seeds and writes one line of JSON for each: `node main.js DAY.json FIRST COUNT`. FIRST
 * is the first seed. `npm run experiment` compares variants with it.
 */
import { readFileSync } from 'node:fs'
import { Day, simulateDay } from './day.js'

const [file, first, count] = process.argv.slice(2)
const day = Day.parse(JSON.parse(readFileSync(file, 'utf8')))
for (let seed = Number(first); seed < Number(first) + Number(count); seed++) {
  process.stdout.write(`${JSON.stringify({ seed, ...await simulateDay(day, seed) })}\n`)
}
