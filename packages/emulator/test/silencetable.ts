/**
 * What silences of each length end, and what follows after real deaths. Each play has one kind of fault only:
 * `npm run silencetable -- FIRST COUNT`, where FIRST is the first seed and COUNT the number of plays of each kind.
 */
import { seeded } from '@eiderwind/clock'
import { type DeathRecord } from './deathwatch.js'
import { deathLines } from './silencereport.js'
import { SilencePlay, type SilentPart } from './silences.js'
import { advance } from './world.js'

/** Lengths of silences, in ms. */
const lengths = [300, 500, 1000, 1500, 2000, 2500, 3000, 4000, 6000]

const parts: readonly SilentPart[] = ['head', 'member', 'members', 'replica']

/** Time until the first replicas are open, and from one silence to the next beyond its length, in ms. */
const startTime = 8000
const restTime = 4000

/** Silences in one play. */
const silenceCount = 3

/** Time for which a play goes on after a death, in ms. */
const deathTime = 15_000

/** Numbers of gateways, in turn. */
const gatewayCounts = [2, 4, 8]

async function startPlay (seed: number): Promise<SilencePlay> {
  const play = new SilencePlay(seeded(seed), gatewayCounts[seed % gatewayCounts.length])
  await advance(play.world, startTime)
  return play
}

/** Plays silences of one length. Returns what orders of the planner ended. */
async function playSilences (seed: number, part: SilentPart, length: number): Promise<{ closes: number, ended: number }> {
  const play = await startPlay(seed)
  for (let index = 0; index < silenceCount; index++) {
    play.silence(play.enginesOf(part), length)
    await advance(play.world, length + restTime)
  }
  const { unfounded } = play.end()
  return { closes: unfounded.length, ended: unfounded.reduce((sum, each) => sum + each.streams, 0) }
}

async function playDeath (seed: number, part: 'head' | 'member', how: 'process' | 'machine'): Promise<readonly DeathRecord[]> {
  const play = await startPlay(seed)
  const [id] = play.enginesOf(part)
  play.kill(id, how)
  await advance(play.world, deathTime)
  return play.end().deaths
}

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
