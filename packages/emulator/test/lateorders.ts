/**
 * Random schedules in which most orders to a few engines stay unanswered and are carried out late, while the replicas
 * of these engines are dissolved and formed again, by one planner or by several. They are drawn so that an order for
 * an earlier replica often meets an engine that has moved on.
 */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { type Order } from '@eiderwind/forming'
import { resultOf, settle, ThrottledPlacements, type ScheduleResult } from './schedules.js'
import { World, advance, createPlanner } from './world.js'

/** Number of engines: a large replica, a small one and a spare. Few, so that the same engines lead again. */
const engineCount = 7

/** Number of engines whose orders are late. */
const minLagging = 1
const maxLagging = 3

/** Share of the first heads whose orders are late as well. */
const laggingHeadShare = 0.7

/** Share of the orders to these engines that are late: of those that form a replica, and of those that end one. */
const minLateShare = 0.4
const maxLateShare = 0.8
const lateEndShare = 0.15

/**
 * Bounds of the time after which late orders of each kind are carried out, in ms. Shares of them take up to `maxDelay`,
 * the others act soon after their replica was dissolved: its head joins and then opens it again.
 */
const delays = { join: [1000, 3500], open: [1200, 4500], close: [200, 3000], leave: [200, 3000] } as const
const longDelayShare = 0.2
const maxDelay = 12_000

/** Number of events in a schedule, and the time between two of them, in ms. */
const eventCount = 40
const minEventGap = 20
const maxEventGap = 1500

/** Bounds of the time for which an engine is not listed, in ms. */
const minLapse = 200
const maxLapse = 3000

/** Share of the events that follow an order to join or to open, and the time between the order and the event, in ms. */
const afterOrderShare = 0.7
const maxEventDelay = 300

/** Time for which no order is sent at the end of a schedule, in ms. It exceeds `maxDelay`. */
const calmTime = 13_000

/** Options of a schedule. */
export interface LateOrderOptions {
  /** Time for which engines that answer but are not listed stay in their replicas, in ms. */
  readonly keepUnlisted?: number
}

/** Draws the delay of each order: undefined if it is carried out at once. */
function lateDelays (random: Random, lagging: ReadonlySet<string>): (order: Order) => number | undefined {
  const share = minLateShare + random() * (maxLateShare - minLateShare)
  return ({ node, kind }) => {
    const isEnding = kind === 'close' || kind === 'leave'
    if (kind === 'stage' || !lagging.has(node) || random() >= (isEnding ? lateEndShare : share)) return undefined
    const [least, most] = delays[kind]
    return least + random() * ((random() < longDelayShare ? maxDelay : most) - least)
  }
}

/** Advances the clock until a lagging engine is ordered to join or to open, and returns the order, or `time` ms pass. */
async function formingOrder (world: World, lagging: ReadonlySet<string>, time: number): Promise<Order | undefined> {
  const end = world.clock.now() + time
  for (let sent = world.sentOrders.length; world.clock.now() < end; sent = world.sentOrders.length) {
    await advance(world, 20)
    const order = world.sentOrders.slice(sent).find(({ kind, node }) => lagging.has(node) && (kind === 'join' || kind === 'open'))
    if (order !== undefined) return order
  }
  return undefined
}

/** An engine loses its entry for a while and is listed again. */
function loseEntry (world: World, random: Random, id: string): void {
  world.unlist(id, true)
  world.clock.after(minLapse + random() * (maxLapse - minLapse), () => world.relist(id))
}

/** Runs a schedule. */
export async function runLateOrderSchedule (seed: number, { keepUnlisted = 0 }: LateOrderOptions = {}): Promise<ScheduleResult> {
  const random = seeded(seed)
  const world = new World(new ManualClock())
  for (let index = 0; index < engineCount; index++) world.add(`n${index}`, 'd0')
  const lagging = new Set(Array.from({ length: minLagging + Math.floor(random() * (maxLagging - minLagging + 1)) }, () => `n${Math.floor(random() * engineCount)}`))
  world.listingDelay = random() < 0.5 ? 0 : random() * 200
  world.reportDelay = random() * 300
  const placements = new ThrottledPlacements(world.clock)
  const suspects = new Set<string>()
  const start = (): ReturnType<typeof createPlanner> => {
    const started = createPlanner(world, placements, { suspects, keepUnlisted, warmSpares: seed % 2 === 0 })
    started.start()
    return started
  }
  let planners = [start()]
  await advance(world, 8000)
  for (const { head } of world.openReplicas) if (random() < laggingHeadShare) lagging.add(head)
  world.orderDelay = lateDelays(random, lagging)
  for (let event = 0; event < eventCount; event++) {
    const order = random() < afterOrderShare ? await formingOrder(world, lagging, maxEventGap) : undefined
    if (order !== undefined) await advance(world, random() * maxEventDelay)
    const listed = world.roster.upstreams
    const members = listed.filter(({ id, membership }) => id !== order?.node && membership?.replica === order?.replica)
    const candidates = members.length > 0 ? members : listed
    const chosen = candidates[Math.floor(random() * candidates.length)]
    const draw = random()
    if (chosen === undefined) await advance(world, maxLapse)
    else if (draw < 0.65) loseEntry(world, random, chosen.id)
    else if (draw < 0.75) {
      world.kill(chosen.id)
      world.add(`s${event}`, 'd0', chosen.staged)
    } else if (draw < 0.9) {
      for (const each of planners) each.stop()
      planners = [start()]
    } else planners.push(start())
    await advance(world, minEventGap + random() * (maxEventGap - minEventGap))
  }
  world.orderDelay = () => undefined
  await settle(world, calmTime)
  for (const each of planners) each.stop()
  return resultOf(world)
}
