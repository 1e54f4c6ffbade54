/** `npm run rooms [-- SEED [GATEWAYS,... [WAY,... [LOAD,...]]]]`: plays the model of overload over load, gateways and ways to find room, and prints a table in Markdown. */
import { playOverload, type Way } from './overload.js'

const loads = (process.argv[5] ?? '0.5,0.8,1,1.5,2,4').split(',').map(Number)
const ways: Way[] = ['alone', 'issued', 'fresher counts', 'two choices']
const seed = Number(process.argv[2] ?? 1)
const fleets = (process.argv[3] ?? '1,3,13,35').split(',').map(Number)
const chosen = process.argv[4]?.split(',') ?? ways
const percent = (part: number): string => (100 * part).toFixed(0)

process.stdout.write('| Gateways | Load | Way | In time, of what the heads could serve | All answers, likewise | Served in time: urgent, others | Refused after, 99 in 100 | Of those refused, after a quarter of the objective | Turned away, for each request | Datagrams for each request, about places |\n')
process.stdout.write(`|${' --- |'.repeat(10)}\n`)
for (const gateways of fleets) {
  for (const load of loads) {
    for (const way of ways.filter(each => chosen.includes(each))) {
      const { goodput, answered, served, refusalTime, held, turnedAway, datagrams, aboutPlaces } = await playOverload({ seed, gateways, load, way, refusing: 'queue', slow: 0.2, impatient: 1 / 3, heeds: true })
      process.stdout.write(`| ${gateways} | ${load} | ${way} | ${percent(goodput)} | ${percent(answered)} | ${served.map(percent).join(', ')} | ${refusalTime.toFixed(0)} ms | ${held.toFixed(3)} | ${turnedAway.toFixed(2)} | ${datagrams.toFixed(2)}, ${aboutPlaces.toFixed(2)} |\n`)
    }
  }
}
