/** `npm run overload [-- SEED]`: plays the model of overload over load, gateways and ways of refusing, and prints a table in Markdown. */
import { type Refusing } from './modelhead.js'
import { playOverload } from './overload.js'

const loads = [0.5, 0.8, 1, 1.2, 1.5, 2, 3, 4]
const seed = Number(process.argv[2] ?? 1)
const percent = (part: number): string => (100 * part).toFixed(0)

process.stdout.write('| Refusals | Gateways | Load | Heeded | In time, of what the heads could serve | All answers, likewise | Served in time: urgent, others | Refused after, 99 in 100 | Sent within a rest | Turned away, for each request |\n')
process.stdout.write(`|${' --- |'.repeat(10)}\n`)
for (const refusing of ['queue', 'rest'] satisfies Refusing[]) {
  for (const gateways of [1, 3, 13]) {
    for (const load of loads) {
      for (const heeds of [false, true]) {
        const { goodput, answered, served, refusalTime, unheeded, turnedAway } = await playOverload({ seed, gateways, load, refusing, slow: 0.2, impatient: 1 / 3, heeds })
        process.stdout.write(`| ${refusing} | ${gateways} | ${load} | ${heeds ? 'yes' : 'no'} | ${percent(goodput)} | ${percent(answered)} | ${served.map(percent).join(', ')} | ${refusalTime.toFixed(0)} ms | ${unheeded} | ${turnedAway.toFixed(2)} |\n`)
      }
    }
  }
}
