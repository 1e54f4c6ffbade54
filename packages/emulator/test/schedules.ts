/** Random schedules of what happens to a fleet of engines and its planners, by a seed. */
import { ManualClock, seeded } from '@eiderwind/clock'
import { MemoryPlacements, World, engine, pass, planner, type Broken } from './world.js'

/** What a schedule showed. */
export interface ScheduleResult {
  readonly broken: readonly Broken[]
  /** Replicas that served at the end, once nothing had happened for a while. */
  readonly open: number
  /** Whether some domain had enough engines for a replica then. */
  readonly servable: boolean
}

/** Domains and engines in each at the start. */
const domains = 3
const size = 8

/** Time between two events, in ms: from several at once to the three seconds in which a replica is repaired. */
const shortest = 50
const longest = 3000

/** Events of a schedule, and how many of the engines it begins with may be gone before only new ones come. */
const events = 30

/**
 * Plays a schedule: engines die, leave, lapse and come, a whole domain goes dark, a tenth to a third of the orders act late, planners
 * are replaced and at times two act at once.
 */
export async function playSchedule (seed: number): Promise<ScheduleResult> {
  const random = seeded(seed)
  const made = new World(new ManualClock())
  for (let domain = 0; domain < domains; domain++) {
    for (let index = 0; index < size; index++) made.add(`n${domain}-${index}`, `d${domain}`)
  }
  const lateShare = random() < 0.5 ? 0 : 0.1 + random() * 0.25
  made.late = order => order.kind !== 'stage' && random() < lateShare ? 1000 + random() * 9000 : undefined
  made.lag = random() < 0.5 ? 0 : random() * 200
  made.probeTime = random() * 280
  const placements = new MemoryPlacements()
  const suspects = new Set<string>()
  const start = (): ReturnType<typeof planner> => {
    const started = planner(made, placements, { suspects })
    started.start()
    return started
  }
  let planners = [start()]
  await pass(made, 15_000)
  for (let event = 0; event < events; event++) {
    const listed = made.roster.upstreams
    const chosen = listed[Math.floor(random() * listed.length)]
    const draw = random()
    if (draw < 0.3) made.kill(chosen.id)
    else if (draw < 0.36) made.leave(chosen.id)
    else if (draw < 0.42) made.unlist(chosen.id, true)
    else if (draw < 0.44) for (const each of listed) { if (each.domain === chosen.domain) made.kill(each.id) }
    else if (draw < 0.8) made.add(`s${seed}-${event}`, `d${event % domains}`)
    else if (draw < 0.95) {
      for (const each of planners) each.stop()
      planners = [start()]
    } else planners.push(start())
    for (const { head, members } of made.open) if (members.some(id => made.roster.find(id) === undefined) || members.includes(chosen.id)) suspects.add(head)
    await pass(made, shortest + random() * (longest - shortest))
  }
  made.late = () => undefined
  await pass(made, 40_000)
  for (const each of planners) each.stop()
  // Two planners that act at once each keep to the limit of loads by themselves; the limit of both together is not held.
  const smallest = Math.min(...engine.models.map(each => each.size))
  const staying = made.roster.upstreams.filter(each => !each.leaving)
  const servable = staying.some(({ domain }) => staying.filter(each => each.domain === domain).length >= smallest)
  return { broken: made.broken.filter(each => each !== 'loads'), open: made.open.length, servable }
}
