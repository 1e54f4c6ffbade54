/**
 * `npm run rooms [-- SEED [GATEWAYS,... [WAY,... [LOAD,...]]]]`: runs the overload simulation over load, gateways and
 * ways to find room, and prints a table in Markdown.
 */
import { simulateOverload, type RoomSearch } from './overload.js'

const loads = (process.argv[5] ?? '0.5,0.8,1,1.5,2,4').split(',').map(Number)
const ways: RoomSearch[] = ['alone', 'issued', 'fresher counts', 'two choices']
const seed = Number(process.argv[2] ?? 1)
const fleets = (process.argv[3] ?? '1,3,13,35').split(',').map(Number)
const chosen = process.argv[4]?.split(',') ?? ways
const percent = (part: number): string => (100 * part).toFixed(0)

process.stdout.write('| Gateways | Load | Way | In time, of the capacity | All answers, of the capacity | Served in time: urgent, others | Time to refusal, p99 | Share of refusals after a quarter of the objective | Refused by heads, per caller | Datagrams per caller: all, about places |\n')
process.stdout.write(`|${' --- |'.repeat(10)}\n`)
for (const gateways of fleets) {
  for (const load of loads) {
    for (const roomSearch of ways.filter(each => chosen.includes(each))) {
      const { goodput, answered, servedByUrgency, refusalTimeP99, lateRefusalShare, headRefusals, datagrams, placeDatagrams } = await simulateOverload({ seed, gateways, load, roomSearch, refusalMode: 'queue', slowShare: 0.2, impatientShare: 1 / 3, usesRefusals: true })
      process.stdout.write(`| ${gateways} | ${load} | ${roomSearch} | ${percent(goodput)} | ${percent(answered)} | ${servedByUrgency.map(percent).join(', ')} | ${refusalTimeP99.toFixed(0)} ms | ${lateRefusalShare.toFixed(3)} | ${headRefusals.toFixed(2)} | ${datagrams.toFixed(2)}, ${placeDatagrams.toFixed(2)} |\n`)
    }
  }
}
