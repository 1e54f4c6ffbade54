/**
 * Simulates many gateways that share one upstream with a limit, and compares strategies of sharing it. Each strategy
 * gets the same callers, kills and partitions. Time and network are modelled. The strategy in use, `tokens`, runs with
 * the real `Peers`, `UpstreamLimits`, `Availability` and `Queue`; the others run with the real `Issuer`.
 */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { ranked } from '@eiderwind/hash'
import { Issuer } from '@eiderwind/limits'
import { Member, addressesOf, heartbeatInterval, upstreamRecord, maxInWindow } from './limitmember.js'
import { Network } from './network.js'

/**
 * How gateways share a limit:
 * - `one bucket`: a single gateway has all callers. This is the upper bound for the use of the limit.
 * - `equal parts`: each gateway has the same part.
 * - `by demand`: each gateway has a part in proportion to its recent requests.
 * - `few gateways`: as many gateways as the limit has whole requests a second, but at least one, have equal parts.
 * - `tokens`: one gateway issues tokens to the others.
 */
export type Sharing = 'one bucket' | 'equal parts' | 'by demand' | 'few gateways' | 'tokens'

/** What happens in the middle of a run: a third of the gateways is killed and restarted, or cut off from the others. */
export type Event = 'none' | 'restart' | 'partition'

/** The parameters of a run. */
export interface LimitScenario {
  readonly sharing: Sharing
  readonly seed: number
  readonly gateways: number
  /** Requests a second that the upstream allows. */
  readonly limit: number
  /** Share of the gateways that have callers. */
  readonly reachedShare: number
  readonly event: Event
  /** Share of the datagrams between gateways that are lost. */
  readonly loss: number
}

/** The figures of a run. */
export interface LimitResult {
  /** Maximum number of requests in any four seconds, less the number that the limit allows in that time. */
  readonly beyond: number
  /** Requests sent, as a fraction of the number that the limit allows. */
  readonly usedShare: number
  /** Datagrams about tokens per request of a caller. */
  readonly messages: number
}

const upstream = 'u'
/** Requests of callers, as a multiple of the limit. */
const demand = 2
/** How long a request waits for a token before it is refused, in ms. */
const maxWait = 66
/** Time from a request to its answer, which names the limit, in ms. */
const answerTime = 20
/** Time at which callers begin to send, so that answers name the limit, in ms. */
const arrivalsFrom = 3000
/** Time from which requests count, in ms. */
const countedFrom = 4000
/** Beginning and end of the event, in ms. */
const eventAt = 12_000
const eventEnd = 17_000
/** Length of a run, in ms. */
const span = 24_000
/** Time over which requests are compared with the limit, in ms. */
const window = 4000
/** Time of a datagram in transit, in ms. */
const oneWayDelay = 1.5

/** Decides at each gateway which requests are sent to the upstream. */
abstract class Strategy {
  /** @param sent called when the request is sent, but not if it is refused */
  abstract request (gateway: string, sent: () => void): void
  abstract start (gateway: string): Promise<void>
  abstract kill (gateway: string): void
  /** Called when a gateway receives an answer that names the limit. */
  learnLimit (_gateway: string): void {}
  get messages (): number {
    return 0
  }
}

/** The state that all strategies share. */
interface Environment {
  readonly clock: ManualClock
  readonly random: Random
  readonly scenario: LimitScenario
  /** Gateways that run. */
  readonly live: Set<string>
  /** Whether two gateways can reach each other. */
  readonly canReach: (one: string, other: string) => boolean
}

/**
 * Each gateway has a token bucket of its own for its part of the limit. Its information about the other gateways is one
 * heartbeat interval old.
 */
class SplitLimit extends Strategy {
  readonly #environment: Environment
  readonly #issuers = new Map<string, Issuer>()
  readonly #waiting = new Map<number, () => void>()
  /** Recent requests by gateway. They are halved every 2 s. */
  readonly #requests = new Map<string, number>()
  /** Requests by gateway, as last received from the others. */
  #known: ReadonlyMap<string, number> = new Map()
  #number = 0

  constructor (environment: Environment) {
    super()
    this.#environment = environment
    const { clock } = environment
    clock.every(heartbeatInterval, () => {
      const demands = new Map([...environment.live].map(each => [each, this.#requests.get(each) ?? 0]))
      // Models the time-out of heartbeats: a killed gateway counts until then.
      clock.after(heartbeatInterval, () => { this.#known = demands })
    })
    clock.every(2000, () => { for (const [id, count] of this.#requests) this.#requests.set(id, count / 2) })
  }

  request (gateway: string, sent: () => void): void {
    const issuer = this.#issuers.get(gateway)
    this.#requests.set(gateway, (this.#requests.get(gateway) ?? 0) + 1)
    const number = ++this.#number
    this.#waiting.set(number, sent)
    issuer?.request(upstream, { from: gateway, number, priority: 1, patience: maxWait })
  }

  async start (gateway: string): Promise<void> {
    const { clock, scenario: { limit } } = this.#environment
    const rate = (): number => Math.max(1e-9, limit * this.#shareOf(gateway))
    this.#issuers.set(gateway, new Issuer({
      clock,
      rate,
      begin: () => clock.now(),
      deliver: (_to, { token, number }) => {
        if (token === 'grant') this.#waiting.get(number)?.()
      }
    }))
  }

  kill (gateway: string): void {
    this.#issuers.get(gateway)?.end(upstream)
    this.#issuers.delete(gateway)
  }

  #shareOf (gateway: string): number {
    const { scenario: { sharing, limit }, canReach } = this.#environment
    const seen = [...new Set([gateway, ...this.#known.keys()])].filter(each => canReach(gateway, each))
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

/** The strategy in use: one gateway issues the tokens and the others request them from it. */
class IssuedTokens extends Strategy {
  readonly #environment: Environment
  readonly #network: Network
  readonly #members = new Map<string, Member>()
  #messages = 0

  constructor (environment: Environment) {
    super()
    this.#environment = environment
    this.#network = new Network(environment.random, { clock: environment.clock, delay: oneWayDelay, loss: environment.scenario.loss })
    this.#network.isCut = (from, to) => !environment.canReach(from.split(':')[0], to.split(':')[0])
  }

  override get messages (): number {
    return this.#messages
  }

  request (gateway: string, sent: () => void): void {
    const member = this.#members.get(gateway)
    if (member === undefined) return
    member.request([upstream], maxWait, () => {
      if (this.#members.get(gateway) === member) sent()
    })
  }

  async start (gateway: string): Promise<void> {
    const { clock, random, scenario: { gateways } } = this.#environment
    const member = new Member({ clock, random, network: this.#network, id: gateway, onTokenDatagram: () => { this.#messages++ } })
    member.roster.replace([upstreamRecord(upstream)])
    this.#members.set(gateway, member)
    await member.peers.start()
    member.peers.setAddresses(addressesOf(ids(gateways)))
  }

  kill (gateway: string): void {
    this.#members.get(gateway)?.peers.stop()
    this.#members.delete(gateway)
  }

  override learnLimit (gateway: string): void {
    this.#members.get(gateway)?.upstreamLimits.recordLimit(upstream, this.#environment.scenario.limit)
  }
}

function ids (size: number): string[] {
  return Array.from({ length: size }, (_each, index) => `g${index}`)
}

/** Simulates one run. */
export async function simulateLimit (scenario: LimitScenario): Promise<LimitResult> {
  const clock = new ManualClock()
  const arrivals = seeded(scenario.seed)
  // A fleet of one gateway has one bucket for all callers, which is the upper bound for the use of the limit.
  const gateways = scenario.sharing === 'one bucket' ? 1 : scenario.gateways
  const all = ids(gateways)
  const affected = new Set(all.slice(0, Math.floor(gateways / 3)))
  const live = new Set<string>()
  let isCut = false
  const environment: Environment = { clock, random: seeded(scenario.seed + 1), scenario: { ...scenario, gateways }, live, canReach: (one, other) => !isCut || affected.has(one) === affected.has(other) }
  const strategy = scenario.sharing === 'tokens' ? new IssuedTokens(environment) : new SplitLimit(environment)
  const start = async (gateway: string): Promise<void> => {
    live.add(gateway)
    await strategy.start(gateway)
  }
  for (const each of all) {
    await start(each)
    clock.advance(heartbeatInterval / gateways)
  }
  const reached = all.slice(gateways - Math.max(1, Math.ceil(gateways * scenario.reachedShare)))
  const sent: number[] = []
  let requests = 0
  let isOver = false
  const arrive = (): void => {
    const gateway = reached[Math.floor(arrivals() * reached.length)]
    if (clock.now() < arrivalsFrom || !live.has(gateway)) return
    requests++
    strategy.request(gateway, () => {
      sent.push(clock.now())
      clock.after(answerTime, () => strategy.learnLimit(gateway))
    })
  }
  const beginEvent = async (): Promise<void> => {
    isCut = scenario.event === 'partition'
    if (scenario.event !== 'restart') return
    for (const each of affected) {
      live.delete(each)
      strategy.kill(each)
    }
  }
  const endEvent = async (): Promise<void> => {
    isCut = false
    if (scenario.event === 'restart') for (const each of affected) await start(each)
    isOver = true
  }
  let next = 0
  let hasBegun = false
  while (clock.now() < span) {
    next -= Math.log(1 - arrivals()) / (demand * scenario.limit) * 1000
    while (next > 0) {
      const step = Math.min(next, 2)
      clock.advance(step)
      next -= step
      await runMicrotasks()
    }
    if (!hasBegun && clock.now() >= eventAt) {
      hasBegun = true
      await beginEvent()
    }
    if (!isOver && clock.now() >= eventEnd) await endEvent()
    arrive()
    await runMicrotasks()
  }
  const counted = sent.filter(each => each >= countedFrom)
  return { beyond: maxInWindow(counted, window) - scenario.limit * window / 1000, usedShare: counted.length / (scenario.limit * (span - countedFrom) / 1000), messages: strategy.messages / requests }
}

/** Lets pending promises settle. */
async function runMicrotasks (): Promise<void> {
  for (let turn = 0; turn < 3; turn++) await Promise.resolve()
}
