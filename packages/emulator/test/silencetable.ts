/**
 * What silences of each length end, and what follows after real deaths. Each play has one kind of fault only:
 * `npm run silencetable -- FIRST COUNT`, where FIRST is the first seed and COUNT the number of plays of each kind.
 */
import { type DeathRecord } from './deathwatch.js'
import { deathLines } from './silencereport.js'
import { playDeath, playSilences } from './silenceplays.js'
import { type SilentPart } from './silences.js'

/** Lengths of silences, in ms. */
const lengths = [300, 500, 1000, 1500, 2000, 2500, 3000, 4000, 6000]

const parts: readonly SilentPart[] = ['head', 'member', 'members', 'replica']

const [first, count] = process.argv.slice(2, 4).map(Number)
const seeds = Array.from({ length: count }, (_each, index) => first + index)

process.stdout.write(`| Silence, ms | ${parts.map(part => `${part}: closes, streams ended`).join(' | ')} |\n| --- |${' --- |'.repeat(parts.length)}\n`)
for (const length of lengths) {
  const cells: string[] = []
  for (const part of parts) {
    const results = []
    for (const seed of seeds) results.push(await playSilences(seed, part, length))
    cells.push(`${results.reduce((sum, each) => sum + each.closes, 0)}, ${results.reduce((sum, each) => sum + each.ended, 0)}`)
  }
  process.stdout.write(`| ${length} | ${cells.join(' | ')} |\n`)
}
const deaths: DeathRecord[] = []
for (const part of ['head', 'member'] as const) {
  for (const how of ['process', 'machine'] as const) for (const seed of seeds) deaths.push(...await playDeath(seed, part, how))
}
for (const line of deathLines(deaths)) process.stdout.write(`${line}\n`)
