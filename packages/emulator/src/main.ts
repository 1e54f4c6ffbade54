/** Plays a day on many seeds and writes one JSON line for each: `node main.js DAY.json FIRST COUNT`. `npm run experiment` compares variants by it. */
import { readFileSync } from 'node:fs'
import { Day, playDay } from './day.js'

const [file, first, count] = process.argv.slice(2)
const day = Day.parse(JSON.parse(readFileSync(file, 'utf8')))
for (let seed = Number(first); seed < Number(first) + Number(count); seed++) {
  process.stdout.write(`${JSON.stringify({ seed, ...await playDay(day, seed) })}\n`)
}
