/** Prints the results of schedules of silences. */
import { type DeathRecord } from './deathwatch.js'
import { runSilenceSchedule, type SilenceScheduleResult } from './silences.js'

/** What is wrong in a schedule, as text. Empty if nothing is. */
export function faultsOf ({ violations, incompleteOpens, unfounded, deaths, idle }: SilenceScheduleResult): string[] {
  return [
    ...violations,
    ...incompleteOpens > 0 ? [`${incompleteOpens} opened without a member`] : [],
    ...unfounded.map(({ head, manner, reason, evidence, streams }) => `sound replica of ${head} closed (${manner}, ${streams} streams ended): ${reason}; evidence: ${evidence}`),
    ...deaths.filter(each => each.closed === undefined).map(({ part, how }) => `a replica whose ${part} died (${how}) is not closed`),
    ...idle ? ['no replica at the end'] : []
  ]
}

/** Runs schedules and prints those that failed, and the times after real deaths. */
export async function reportSilenceSchedules (first: number, count: number, withStory: boolean): Promise<void> {
  const deaths: DeathRecord[] = []
  let failed = 0
  for (let seed = first; seed < first + count; seed++) {
    const result = await runSilenceSchedule(seed)
    deaths.push(...result.deaths)
    const faults = faultsOf(result)
    if (faults.length === 0) continue
    failed++
    process.stdout.write(`seed ${seed}: ${faults.join('\n  ')}\n`)
    if (withStory) process.stdout.write(`  ${result.story.join('\n  ')}\n`)
  }
  for (const line of deathLines(deaths)) process.stdout.write(`${line}\n`)
  process.stdout.write(`${count - failed} schedules passed, ${failed} failed\n`)
}

/** The times after deaths, by what died, one a line. */
export function deathLines (deaths: readonly DeathRecord[]): string[] {
  return (['head', 'member'] as const).flatMap(part => (['process', 'machine'] as const).map(how => {
    const chosen = deaths.filter(each => each.part === part && each.how === how)
    const streams = chosen.flatMap(each => each.streams)
    const resumed = streams.filter(each => each.resumable)
    const lost = streams.filter(each => !each.resumable)
    return `${part} dies (${how}), ${chosen.length} times: closed ${spread(chosen.map(each => each.closed))}; formed again ${spread(chosen.map(each => each.reformed))}; ${resumed.length} streams go on ${spread(resumed.map(each => each.after))}; ${lost.length} that may not are ended ${spread(lost.map(each => each.after))}`
  }))
}

/** Median and maximum of times in ms, and how many are missing, as text. */
function spread (times: ReadonlyArray<number | undefined>): string {
  const known = times.filter(each => each !== undefined).sort((a, b) => a - b)
  if (known.length === 0) return 'never'
  const missing = times.length - known.length
  return `${Math.round(known[Math.floor(known.length / 2)])}, at most ${Math.round(known[known.length - 1])} ms${missing > 0 ? ` (${missing} not)` : ''}`
}
