/** Plays with one kind of fault each: silences of one length, or one death. */
import { seeded } from '@eiderwind/clock'
import { type DeathRecord } from './deathwatch.js'
import { SilencePlay, type SilentPart } from './silences.js'
import { advance } from './world.js'

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
export async function playSilences (seed: number, part: SilentPart, length: number): Promise<{ closes: number, ended: number }> {
  const play = await startPlay(seed)
  for (let index = 0; index < silenceCount; index++) {
    play.silence(play.enginesOf(part), length)
    await advance(play.world, length + restTime)
  }
  const { unfounded } = play.end()
  return { closes: unfounded.length, ended: unfounded.reduce((sum, each) => sum + each.streams, 0) }
}

/** Kills an engine of an open replica. Returns what followed. */
export async function playDeath (seed: number, part: 'head' | 'member', how: 'process' | 'machine'): Promise<readonly DeathRecord[]> {
  const play = await startPlay(seed)
  const [id] = play.enginesOf(part)
  play.kill(id, how)
  await advance(play.world, deathTime)
  return play.end().deaths
}
