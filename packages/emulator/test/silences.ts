/**
 * Random schedules of silences of sound engines, by seed: heads, members and whole replicas fall silent and go on, also
 * beside deaths, cut links, pauses and changes of the planner, changes of the targets and orders that are carried out
 * late. They check that no order ends what a sound replica serves, and measure how soon the streams of a replica go on
 * after one of its engines has really died.
 */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { type Order, type Reconciler } from '@eiderwind/forming'
import { DeathWatch, type DeathRecord } from './deathwatch.js'
import { eventInterval, Gateways, type Gateway } from './gateways.js'
import { settle, ThrottledPlacements } from './schedules.js'
import { SilentWorld } from './silentworld.js'
import { advance, createPlanner, engine, type Violation } from './world.js'

/** An order that ended the service of a sound replica. */
export interface UnfoundedClose {
  readonly head: string
  readonly manner: 'finish' | 'cut'
  /** The planner's reason, and what spoke against the engines, as text. */
  readonly reason: string
  readonly evidence: string
  /** Number of streams that it ended early. */
  readonly streams: number
}

/** The result of a schedule. */
export interface SilenceScheduleResult {
  readonly violations: readonly Violation[]
  readonly incompleteOpens: number
  readonly unfounded: readonly UnfoundedClose[]
  readonly deaths: readonly DeathRecord[]
  /** Whether no replica is open at the end although one could be. */
  readonly idle: boolean
  /** Events, orders to close and what they ended, one a line. */
  readonly story: readonly string[]
}

/** Bounds of a sound silence, in ms. Heartbeats that were held for longer could cost the engine its entry. */
const minSilence = 300
const maxSilence = 2500
const maxHeldSilence = 2400

/** Time that an engine answers between two silences, in ms. */
const minRest = 400

/** Time between two events, in ms. Many silences therefore overlap. */
const minEventGap = 50
const maxEventGap = 1200
const eventCount = 16

/** Time until the first replicas are open, and the time without orders after which a schedule ends, in ms. */
const startTime = 5500
const calmTime = 5000

/** Bounds of the delay of an order that is carried out late, in ms. */
const minDelay = 300
const maxDelay = 3500

/** Number of gateways, one of which schedules draw. */
const gatewayCounts = [1, 2, 3, 4, 8]

/** Engines in each domain, of one domain and of two. */
const enginesPerDomain = [13, 8]

/** Streams of all gateways together. */
const streamCount = 40

/** Time for which an order may still end streams after the targets have changed, in ms. */
const retargetTime = 10_000

const silentParts = ['head', 'member', 'members', 'replica', 'any'] as const

/** Which engines fall silent together. */
export type SilentPart = typeof silentParts[number]

/** Runs a schedule. */
export async function runSilenceSchedule (seed: number): Promise<SilenceScheduleResult> {
  const random = seeded(seed)
  const play = new SilencePlay(random)
  await advance(play.world, startTime)
  const hasTrouble = random() < 0.5
  const lateShare = random() < 0.5 ? 0 : 0.1 + random() * 0.2
  play.world.lateness = ({ kind }) => kind !== 'stage' && random() < lateShare ? minDelay + random() * (maxDelay - minDelay) : undefined
  for (let event = 0; event < eventCount; event++) {
    play.playEvent(hasTrouble)
    await advance(play.world, minEventGap + random() * (maxEventGap - minEventGap))
  }
  play.world.lateness = () => undefined
  await settle(play.world, calmTime)
  return play.end()
}

/** Engines, gateways and planners of one play, and the faults that a play injects. */
export class SilencePlay {
  readonly world = new SilentWorld(new ManualClock())
  readonly gateways: Gateways
  readonly unfounded: UnfoundedClose[] = []
  readonly story: string[] = []
  readonly watch: DeathWatch
  readonly #random: Random
  readonly #domainCount: number
  readonly #placements: ThrottledPlacements
  readonly #evidence = new Map<Order, string>()
  /** Whether heartbeats are held back in silences. */
  readonly #holdsHeartbeats: boolean
  #planners: Array<{ readonly planner: Reconciler, readonly stop: () => void }> = []
  #planningIndex = 0
  #retargetedAt = -Infinity
  #demand = new Map<string, number>()
  #added = 0

  /** @param gateways number of gateways; drawn if undefined */
  constructor (random: Random, gateways?: number) {
    const { world } = this
    this.#random = random
    this.#placements = new ThrottledPlacements(world.clock)
    this.#domainCount = random() < 0.7 ? 1 : 2
    for (let domain = 0; domain < this.#domainCount; domain++) {
      for (let index = 0; index < enginesPerDomain[this.#domainCount - 1]; index++) world.add(`n${domain}-${index}`, `d${domain}`)
    }
    world.listingDelay = random() < 0.5 ? 0 : random() * 200
    world.reportDelay = random() * 300
    this.#holdsHeartbeats = random() < 0.3
    this.watch = new DeathWatch(world, replica => this.#placements.hasReplica(replica))
    this.gateways = new Gateways(world, {
      random,
      gateways: gateways ?? this.#pick(gatewayCounts),
      streams: streamCount,
      left: (stream, how) => this.watch.streamLeft(stream, how)
    })
    world.closed = order => this.#recordClose(order)
    this.#startPlanner(0)
  }

  /** Injects one fault. @param hasTrouble whether engines also die, leave, or lose the planner's link */
  playEvent (hasTrouble: boolean): void {
    const draw = this.#random()
    if (draw < 0.6) return this.#silencePart(this.#pick(silentParts))
    if (draw < 0.66) return this.#pausePlanner()
    if (draw < 0.72) return this.#changePlanner()
    if (draw < 0.78) return this.#partition()
    if (!hasTrouble) return this.#silencePart(this.#pick(silentParts))
    if (draw < 0.83) return this.#retarget()
    if (draw < 0.88) return this.#cutLink()
    if (draw < 0.9) return this.#leave()
    this.#killOne()
  }

  /** Makes engines silent for `time` ms. Those that are silent already, or were a moment ago, are left alone. */
  silence (ids: readonly string[], time: number, holdsHeartbeats = false): void {
    const silent = ids.filter(id => this.world.hasAnsweredFor(id, minRest))
    for (const id of silent) this.world.silence(id, time, holdsHeartbeats)
    this.#tell(`silent for ${Math.round(time)} ms${holdsHeartbeats ? ', heartbeats too' : ''}: ${silent.join(' ')}`)
  }

  /** The engines of an open replica that a part stands for. */
  enginesOf (part: SilentPart): string[] {
    if (part === 'any') return [this.#pick(this.world.liveEngines)]
    const replica = this.#pick(this.world.openReplicas)
    if (replica === undefined) return []
    if (part === 'head') return [replica.head]
    if (part === 'replica') return [...replica.members]
    const [, ...others] = replica.members
    return others.slice(0, part === 'member' ? 1 : 2)
  }

  /** Kills an engine. @param how see `Death` */
  kill (id: string, how: 'process' | 'machine'): void {
    this.#tell(`dies (${how}): ${id}`)
    this.watch.dying(id, how, this.gateways)
    this.world.die(id, how)
  }

  /** Stops the planners and tells what happened. */
  end (): SilenceScheduleResult {
    for (const each of this.#planners) each.stop()
    const { world } = this
    const smallest = Math.min(...engine.models.map(each => each.size))
    const staying = world.roster.upstreams.filter(each => !each.leaving)
    const servable = staying.some(({ domain }) => staying.filter(each => each.domain === domain).length >= smallest)
    return {
      violations: world.violations.filter(each => each !== 'loads'),
      incompleteOpens: world.incompleteOpens,
      unfounded: this.unfounded,
      deaths: this.watch.records,
      idle: servable && world.openReplicas.length === 0,
      story: this.story
    }
  }

  #silencePart (part: SilentPart): void {
    const holds = this.#holdsHeartbeats && this.#random() < 0.7
    this.silence(this.enginesOf(part), minSilence + this.#random() * ((holds ? maxHeldSilence : maxSilence) - minSilence), holds)
  }

  #pausePlanner (): void {
    const time = minSilence + this.#random() * (maxSilence - minSilence)
    this.#planning.pausedUntil = this.world.clock.now() + time
    this.#tell(`planner paused for ${Math.round(time)} ms`)
  }

  /** Another gateway plans from now on, or after a time without a planner, or beside the one before for a while. */
  #changePlanner (): void {
    const next = (this.#planningIndex + 1) % this.gateways.all.length
    const [before] = this.#planners.splice(0)
    const draw = this.#random()
    const time = this.#random() * 1500
    this.#tell(`planner changes (${draw < 0.3 ? 'two at once' : 'gap'} ${Math.round(time)} ms)`)
    if (draw < 0.3) {
      this.world.clock.after(time, before === undefined ? () => {} : before.stop)
      this.#startPlanner(next)
    } else {
      before?.stop()
      this.world.clock.after(time, () => { if (this.#planners.length === 0) this.#startPlanner(next) })
    }
  }

  /** A member and its head cannot reach each other for a while, but for less than the time after which the head breaks. */
  #partition (): void {
    const [member] = this.enginesOf('member')
    if (member === undefined) return
    const time = minSilence + this.#random() * maxSilence
    this.world.partitioned.add(member)
    this.world.clock.after(time, () => this.world.partitioned.delete(member))
    this.#tell(`cut from its head for ${Math.round(time)} ms: ${member}`)
  }

  #retarget (): void {
    const share = 0.2 + this.#random() * 0.6
    this.#demand = new Map([['large', share], ['small', 1 - share]])
    this.#retargetedAt = this.world.clock.now()
    this.#tell(`demand: large ${share.toFixed(2)}`)
  }

  /** The planner's link to an engine, or a gateway's link from a head, is cut in one direction. */
  #cutLink (): void {
    const time = minSilence + this.#random() * 2 * maxSilence
    if (this.#random() < 0.5) {
      const id = this.#pick(this.world.liveEngines)
      const direction = this.#random() < 0.5 ? 'calls' : 'answers'
      this.world.cutLink(id, direction, time)
      return this.#tell(`planner's link cut for ${Math.round(time)} ms (${direction}): ${id}`)
    }
    const [head] = this.enginesOf('head')
    if (head === undefined) return
    const gateway = this.#pick(this.gateways.all)
    gateway.cut.add(head)
    this.world.excuse(head, time)
    this.world.clock.after(time, () => gateway.cut.delete(head))
    this.#tell(`link to a gateway cut for ${Math.round(time)} ms: ${head}`)
  }

  #leave (): void {
    const id = this.#pick(this.world.liveEngines)
    this.world.leave(id)
    this.#tell(`leaves: ${id}`)
  }

  #killOne (): void {
    const ids = this.enginesOf(this.#pick(['head', 'member', 'any'] as const)).filter(id => this.world.deathOf(id) === undefined)
    for (const id of ids) this.kill(id, this.#random() < 0.5 ? 'process' : 'machine')
    this.world.add(`s${this.#added++}`, `d${Math.floor(this.#random() * this.#domainCount)}`)
  }

  get #planning (): Gateway {
    return this.gateways.all[this.#planningIndex]
  }

  #startPlanner (index: number): void {
    this.#planningIndex = index
    const gateway = this.gateways.all[index]
    const suspects = new Set<string>()
    const timer = this.world.clock.every(eventInterval, () => {
      suspects.clear()
      for (const id of this.gateways.suspectsKnownBy(index)) suspects.add(id)
    })
    const planner = createPlanner(this.world, this.#placements, {
      suspects,
      demand: () => this.#demand,
      isPaused: () => gateway.isPaused,
      resumedAt: () => gateway.resumedAt,
      warmSpares: true,
      sending: (order, evidence) => { if (order.kind === 'close') this.#sendingClose(order, evidence ?? 'none') }
    })
    planner.start()
    const stop = (): void => {
      planner.stop()
      timer.cancel()
    }
    this.#planners.push({ planner, stop })
  }

  #sendingClose (order: Order, evidence: string): void {
    this.#evidence.set(order, evidence)
    this.#tell(`order to close ${order.node} ${order.replica} (${order.manner ?? ''}): ${order.reason ?? ''}; evidence: ${evidence}`)
  }

  #recordClose (order: Order): void {
    const { node: head, manner = 'finish', reason = '' } = order
    const members = this.watch.membersOf(head)
    const streams = this.gateways.at(head).length
    this.#tell(`closed ${head} (${manner}) with ${streams} streams`)
    if (manner === 'cut') this.gateways.end(head, 'cut')
    else this.gateways.finish(head)
    this.watch.closed(head)
    if (!members.every(id => this.world.isSound(id)) || this.#isPlanned(reason, manner)) return
    this.unfounded.push({ head, manner, reason, evidence: this.#evidence.get(order) ?? 'none', streams: manner === 'cut' ? streams : 0 })
    this.#tell(`UNFOUNDED: all of ${members.join(' ')} are sound`)
  }

  /**
   * Whether a sound replica may be closed for this reason. It may give its engines to another model after a change of
   * the targets or of the fleet, and may be cut then only if some model has no sound replica.
   */
  #isPlanned (reason: string, manner: 'finish' | 'cut'): boolean {
    if (reason.endsWith('missing')) return false
    const hasChanged = this.#retargetedAt > this.world.clock.now() - retargetTime || this.watch.hasFleetChanged
    if (!hasChanged) return false
    return manner === 'finish' || engine.models.some(({ name }) => !this.world.openReplicas.some(({ model, members }) => model === name && members.every(id => this.world.isSound(id))))
  }

  #tell (line: string): void {
    this.story.push(`${Math.round(this.world.clock.now())} ${line}`)
  }

  #pick<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.#random() * items.length)]
  }
}
