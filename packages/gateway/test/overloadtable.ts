/**
 * `npm run overload [-- SEED]`: plays the model of overload over load, gateways and ways of refusing, and prints a table in Markdown; then another one with room by
 * age and shared out, by teams, sizes and returns.
 */
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

process.stdout.write('\n| Gateways | Load | First team sends | Room | In time, of what the heads could serve | All answers, likewise | In time: urgent, others | In time: first team, other teams | Largest tenth answered, over all | Refused once, answered | Told a time that they heed | Of those, answered |\n')
process.stdout.write(`|${' --- |'.repeat(12)}\n`)
for (const gateways of [1, 13]) {
  for (const [load, surge] of [[1, 1], [1.5, 1], [2, 1], [4, 1], [0.7, 1], [0.7, 10]]) {
    for (const fair of [false, true]) {
      const { goodput, answered, served, teams: [first, ...others], largest, refusedOnce, told, kept } = await playOverload({ seed, gateways, load, surge, fair, refusing: 'queue', slow: 0.2, impatient: 1 / 3, heeds: true })
      const rest = others.reduce((sum, each) => sum + each, 0) / others.length
      process.stdout.write(`| ${gateways} | ${load} | ${surge} times its usual | ${fair ? 'shared out' : 'by age'} | ${percent(goodput)} | ${percent(answered)} | ${served.map(percent).join(', ')} | ${percent(first)}, ${percent(rest)} | ${largest.toFixed(2)} | ${percent(refusedOnce)} | ${percent(told)} | ${percent(kept)} |\n`)
    }
  }
}
