/**
 * A model of one upstream that names a limit, before many gateways: the ways in which they could share the limit, each with the same callers, kills and partitions.
 * Time and network are modelled; the way that is kept runs with the real `Peers`, `Limiting`, `Intake` and `Queue`, the others with the real buckets and waits.
 */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { InFlight, Rests } from '@eiderwind/detect'
import { Intake, Queue } from '@eiderwind/dispatch'
import { ranked } from '@eiderwind/hash'
import { Issuer } from '@eiderwind/limits'
import { type Log } from '@eiderwind/log'
import { Peers, type Heartbeat } from '@eiderwind/peers'
import { Roster } from '@eiderwind/roster'
import { Limiting } from '../src/limiting.js'
import { ModelDatagrams, Network } from './network.js'

/** How gateways share a limit. */
export type Sharing = 'one bucket' | 'equal parts' | 'by demand' | 'few gateways' | 'tokens'

/** What happens in the middle of a run: a third of the gateways is killed and starts again, or is cut off from the others. */
export type Event = 'none' | 'restart' | 'partition'

/** What is played. */
export interface LimitDay {
  readonly sharing: Sharing
  readonly seed: number
  readonly gateways: number
  /** Requests a second that the upstream takes. */
  readonly limit: number
  /** Share of the gateways to which callers come. */
  readonly reached: number
  readonly event: Event
  /** Share of the datagrams between gateways that is lost. */
  readonly loss: number
}

/** What came of it. */
export interface LimitResult {
  /** Most requests at the upstream in any four seconds beyond what its limit allows in them. */
  readonly beyond: number
  /** Requests sent, in parts of what the limit allows. */
  readonly used: number
  /** Datagrams about tokens for each request of a caller. */
  readonly messages: number
}

const upstream = 'u'
/** Requests of callers, in parts of the limit. */
const demand = 2
/** How long a request waits for a token, in ms. */
const patience = 66
/** Time from a request until the answer says what the limit is, in ms. */
const answerTime = 20
/** When the upstream names its limit first, from when on requests count, when the event begins and ends, and when the run ends, in ms. */
const namedAt = 3000
const counted = 4000
const eventAt = 12_000
const eventEnd = 17_000
const span = 24_000
const window = 4000
const heartbeatInterval = 250
const heartbeatTimeout = 1000
/** Way of a datagram, in ms. */
const distance = 1.5

/** Decides at each gateway which requests are sent. */
abstract class Way {
  /** @param sent called when the request is sent; never where it is refused */
  abstract ask (gateway: string, sent: () => void): void
  abstract start (gateway: string): Promise<void>
  abstract kill (gateway: string): void
  /** An answer of the upstream names the limit at a gateway. */
  named (_gateway: string): void {}
  get messages (): number {
    return 0
  }
}

/** What all ways share. */
interface World {
  readonly clock: ManualClock
  readonly random: Random
  readonly day: LimitDay
  /** Gateways that live. */
  readonly live: Set<string>
  /** Whether two gateways reach each other. */
  readonly reaches: (one: string, other: string) => boolean
}

/** Each gateway has a bucket of its own for its part of the limit. What it knows of the others is as old as heartbeats are. */
class Parts extends Way {
  readonly #world: World
  readonly #issuers = new Map<string, Issuer>()
  readonly #waits = new Map<number, () => void>()
  readonly #asked = new Map<string, number>()
  #known: ReadonlyMap<string, number> = new Map()
  #number = 0

  constructor (world: World) {
    super()
    this.#world = world
    const { clock } = world
    clock.every(heartbeatInterval, () => {
      const demands = new Map([...world.live].map(each => [each, this.#asked.get(each) ?? 0]))
      // Those that were killed are missed after the time-out of heartbeats.
      clock.after(heartbeatInterval, () => { this.#known = demands })
    })
    clock.every(2000, () => { for (const [id, asked] of this.#asked) this.#asked.set(id, asked / 2) })
  }

  ask (gateway: string, sent: () => void): void {
    const issuer = this.#issuers.get(gateway)
    this.#asked.set(gateway, (this.#asked.get(gateway) ?? 0) + 1)
    const number = ++this.#number
    this.#waits.set(number, sent)
    issuer?.ask(upstream, { from: gateway, number, priority: 1, patience })
  }

  async start (gateway: string): Promise<void> {
    const { clock, day: { limit } } = this.#world
    const rate = (): number => Math.max(1e-9, limit * this.#part(gateway))
    this.#issuers.set(gateway, new Issuer({
      clock,
      rate,
      begin: () => clock.now(),
      deliver: (_to, { token, number }) => {
        if (token === 'grant') this.#waits.get(number)?.()
      }
    }))
  }

  kill (gateway: string): void {
    this.#issuers.get(gateway)?.end(upstream)
    this.#issuers.delete(gateway)
  }

  #part (gateway: string): number {
    const { day: { sharing, limit }, reaches } = this.#world
    const seen = [...new Set([gateway, ...this.#known.keys()])].filter(each => reaches(gateway, each))
    switch (sharing) {
      case 'by demand': {
        const demands = seen.map(each => (this.#known.get(each) ?? 0) + 0.1)
        return demands[seen.indexOf(gateway)] / demands.reduce((sum, each) => sum + each, 0)
      }
      case 'few gateways': {
        const holders = Math.min(seen.length, Math.max(1, Math.floor(limit)))
        return ranked(upstream, seen).indexOf(gateway) < holders ? 1 / holders : 0
      }
      default: return 1 / seen.length
    }
  }
}

interface Member {
  readonly peers: Peers
  readonly limiting: Limiting
  readonly intake: Intake
  readonly queue: Queue
}

/** The way that is kept: one gateway issues the tokens, the others ask it. */
class TokensWay extends Way {
  readonly #world: World
  readonly #network: Network
  readonly #members = new Map<string, Member>()
  #messages = 0

  constructor (world: World) {
    super()
    this.#world = world
    this.#network = new Network(world.random, { clock: world.clock, time: distance, loss: world.day.loss })
    this.#network.cut = (from, to) => !world.reaches(from.split(':')[0], to.split(':')[0])
  }

  override get messages (): number {
    return this.#messages
  }

  ask (gateway: string, sent: () => void): void {
    const member = this.#members.get(gateway)
    if (member === undefined) return
    const { clock } = this.#world
    const { intake, queue } = member
    const claim = intake.claim(1, clock.now() + patience)
    const find = (): true | undefined => {
      if (intake.has(upstream)) {
        intake.take(upstream, claim)
        return true
      }
      intake.pursue(claim, [{ id: upstream }], new Set())
      return undefined
    }
    queue.wait({ room: 's', offered: false, priority: 1, team: '', work: 1, arrivedAt: clock.now(), inTimeUntil: Infinity, until: clock.now() + patience }, find).then(found => {
      intake.release(claim)
      if (found === true && this.#members.get(gateway) === member) sent()
    }, error => { throw error })
  }

  async start (gateway: string): Promise<void> {
    const { clock, random, day: { gateways } } = this.#world
    const roster = new Roster(clock)
    roster.replace([{ id: upstream, service: 's', address: 'u:1', dataCentre: 'dc', leaving: false, loaded: [], staged: [] }])
    const queue = new Queue(clock)
    const inFlight = new InFlight(clock, () => {})
    const heartbeat = (): Heartbeat => ({ id: gateway, revision: 1, canPlan: false, inFlight: {}, suspects: [], inFlightByModel: {}, served: true, loads: {}, ...limiting.news })
    const peers = new Peers({
      clock,
      id: gateway,
      address: `${gateway}:1`,
      datagrams: new ModelDatagrams(this.#network, `${gateway}:1`),
      heartbeat,
      heard: each => limiting.hear(each),
      other: (datagram, from) => {
        this.#messages++
        limiting.receive(datagram, from)
      },
      interval: heartbeatInterval,
      timeout: heartbeatTimeout
    })
    const log = { write: () => {} } as unknown as Log
    const limiting: Limiting = new Limiting({ clock, log, id: gateway, roster, peers, inFlight, queue, random })
    const intake = new Intake({ clock, rests: new Rests({ clock, begun: () => {}, ended: () => {} }), tokens: limiting.tokens })
    this.#members.set(gateway, { peers, limiting, intake, queue })
    await peers.start()
    peers.setAddresses(ids(gateways).map(id => ({ id, address: `${id}:1` })))
  }

  kill (gateway: string): void {
    this.#members.get(gateway)?.peers.stop()
    this.#members.delete(gateway)
  }

  override named (gateway: string): void {
    this.#members.get(gateway)?.limiting.named(upstream, this.#world.day.limit)
  }
}

function ids (size: number): string[] {
  return Array.from({ length: size }, (_each, index) => `g${index}`)
}

/** Plays one run. */
export async function playLimit (day: LimitDay): Promise<LimitResult> {
  const clock = new ManualClock()
  const arrivals = seeded(day.seed)
  // One bucket for all is a fleet of one: the most that can be used of the limit.
  const gateways = day.sharing === 'one bucket' ? 1 : day.gateways
  const all = ids(gateways)
  const lost = new Set(all.slice(0, Math.floor(gateways / 3)))
  const live = new Set<string>()
  let isCut = false
  const world: World = { clock, random: seeded(day.seed + 1), day: { ...day, gateways }, live, reaches: (one, other) => !isCut || lost.has(one) === lost.has(other) }
  const way = day.sharing === 'tokens' ? new TokensWay(world) : new Parts(world)
  const start = async (gateway: string): Promise<void> => {
    live.add(gateway)
    await way.start(gateway)
  }
  for (const each of all) {
    await start(each)
    clock.advance(heartbeatInterval / gateways)
  }
  const reached = all.slice(gateways - Math.max(1, Math.ceil(gateways * day.reached)))
  const sent: number[] = []
  let asked = 0
  let isOver = false
  const arrive = (): void => {
    const gateway = reached[Math.floor(arrivals() * reached.length)]
    if (clock.now() < namedAt || !live.has(gateway)) return
    asked++
    way.ask(gateway, () => {
      sent.push(clock.now())
      clock.after(answerTime, () => way.named(gateway))
    })
  }
  const strike = async (): Promise<void> => {
    isCut = day.event === 'partition'
    if (day.event !== 'restart') return
    for (const each of lost) {
      live.delete(each)
      way.kill(each)
    }
  }
  const mend = async (): Promise<void> => {
    isCut = false
    if (day.event === 'restart') for (const each of lost) await start(each)
    isOver = true
  }
  let next = 0
  let isStruck = false
  while (clock.now() < span) {
    next -= Math.log(1 - arrivals()) / (demand * day.limit) * 1000
    while (next > 0) {
      const step = Math.min(next, 2)
      clock.advance(step)
      next -= step
      await settled()
    }
    if (!isStruck && clock.now() >= eventAt) {
      isStruck = true
      await strike()
    }
    if (!isOver && clock.now() >= eventEnd) await mend()
    arrive()
    await settled()
  }
  const kept = sent.filter(each => each >= counted)
  return { beyond: most(kept) - day.limit * window / 1000, used: kept.length / (day.limit * (span - counted) / 1000), messages: way.messages / asked }
}

/** Lets what waits for promises go on. */
async function settled (): Promise<void> {
  for (let turn = 0; turn < 3; turn++) await Promise.resolve()
}

/** Most of some times, in order, within a window. */
function most (times: readonly number[]): number {
  let first = 0
  return times.reduce((greatest, time, index) => {
    while (times[first] <= time - window) first++
    return Math.max(greatest, index - first + 1)
  }, 0)
}
