/**
 * `npm run overload [-- SEED]`: runs the overload simulation and prints two tables in Markdown. The first one varies
 * load, gateways and the way in which heads refuse. The second one compares a queue by age with a fair one, by team,
 * size of request and retries.
 */
import { type RefusalMode } from './modelhead.js'
import { simulateOverload } from './overload.js'

const loads = [0.5, 0.8, 1, 1.2, 1.5, 2, 3, 4]
const seed = Number(process.argv[2] ?? 1)
const percent = (part: number): string => (100 * part).toFixed(0)

process.stdout.write('| Refusals | Gateways | Load | Refusals used | In time, of the capacity | All answers, of the capacity | Served in time: urgent, others | Time to refusal, p99 | Sent during a rest | Refused by heads, per caller |\n')
process.stdout.write(`|${' --- |'.repeat(10)}\n`)
for (const refusalMode of ['queue', 'rest'] satisfies RefusalMode[]) {
  for (const gateways of [1, 3, 13]) {
    for (const load of loads) {
      for (const usesRefusals of [false, true]) {
        const { goodput, answered, servedByUrgency, refusalTimeP99, requestsDuringRest, headRefusals } = await simulateOverload({ seed, gateways, load, refusalMode, slowShare: 0.2, impatientShare: 1 / 3, usesRefusals })
        process.stdout.write(`| ${refusalMode} | ${gateways} | ${load} | ${usesRefusals ? 'yes' : 'no'} | ${percent(goodput)} | ${percent(answered)} | ${servedByUrgency.map(percent).join(', ')} | ${refusalTimeP99.toFixed(0)} ms | ${requestsDuringRest} | ${headRefusals.toFixed(2)} |\n`)
      }
    }
  }
}

process.stdout.write('\n| Gateways | Load | First team sends | Queue | In time, of the capacity | All answers, of the capacity | In time: urgent, others | In time: first team, other teams | Largest tenth answered, over all | Answered after a refusal | Could wait for the whole Retry-After | Answered after the whole wait |\n')
process.stdout.write(`|${' --- |'.repeat(12)}\n`)
for (const gateways of [1, 13]) {
  for (const [load, surgeFactor] of [[1, 1], [1.5, 1], [2, 1], [4, 1], [0.7, 1], [0.7, 10]]) {
    for (const fair of [false, true]) {
      const { goodput, answered, servedByUrgency, servedByTeam: [first, ...others], largestRatio, answeredAfterRefusal, fullWaitShare, answeredAfterFullWait } = await simulateOverload({ seed, gateways, load, surgeFactor, fair, refusalMode: 'queue', slowShare: 0.2, impatientShare: 1 / 3, usesRefusals: true })
      const othersMean = others.reduce((sum, each) => sum + each, 0) / others.length
      process.stdout.write(`| ${gateways} | ${load} | ${surgeFactor} times its usual | ${fair ? 'fair' : 'by age'} | ${percent(goodput)} | ${percent(answered)} | ${servedByUrgency.map(percent).join(', ')} | ${percent(first)}, ${percent(othersMean)} | ${largestRatio.toFixed(2)} | ${percent(answeredAfterRefusal)} | ${percent(fullWaitShare)} | ${percent(answeredAfterFullWait)} |\n`)
    }
  }
}
