/**
 * A model of callers, gateways and replica heads under more load than the heads can serve. The way of each request through a gateway is the real one (paths,
 * choice, queue, retry budget, rests, heartbeats); time, network, heads and callers are modelled, so a run repeats and needs no machine of its own.
 */
import { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { InFlight, Suspects } from '@eiderwind/detect'
import { Choice, FairQueue, Intake, Queue, RetryBudget, capacity } from '@eiderwind/dispatch'
import { UsualPatience } from '@eiderwind/fairness'
import { CallerRequest, StreamPath, type AnswerHead, type Context, type Deliveries } from '@eiderwind/forward'
import { type Log } from '@eiderwind/log'
import { Peers, type Heartbeat } from '@eiderwind/peers'
import { Roster, type Upstream } from '@eiderwind/roster'
import { type Engine, type Route } from '@eiderwind/traffic'
import { type Call, type Cancel, type Receiver } from '@eiderwind/wire'
import { Conditions } from '../src/conditions.js'
import { ModelHead, distance, slots, unavailable, type Refusing } from './modelhead.js'
import { ModelDatagrams, SteppedNetwork, type Network } from './network.js'
import { Rooms } from '../src/rooms.js'

/** What is played. */
export interface Overload {
  readonly seed: number
  readonly gateways: number
  /** Requests that callers send, in parts of what the heads can serve. */
  readonly load: number
  readonly refusing: Refusing
  /** Share of the heads that work twice as long. */
  readonly slow: number
  /** Share of the callers that do not wait as they are told. */
  readonly impatient: number
  /** Whether gateways take anything from a refusal but that the request did not run. */
  readonly heeds: boolean
  /** Whether room is shared out fairly. */
  readonly fair?: boolean
  /** The first of the teams sends so many times its usual once requests count; 1 where it is left out. */
  readonly surge?: number
  /** Whether the load is a burst of so many ms, again and again after as long a time at half of what the heads can serve. */
  readonly burst?: number
  /** How gateways find room: each alone (the default), or in one of the ways that were compared. */
  readonly way?: Way
}

/**
 * Each gateway alone by heartbeats; places issued by one where room is contended; heartbeats ten times as often; the less loaded of two heads that are drawn, by their own
 * word at that moment.
 */
export type Way = 'alone' | 'issued' | 'fresher counts' | 'two choices'

/** What came of it. */
export interface OverloadResult {
  /** Answers that began in time and were whole, in parts of what the heads could serve. */
  readonly goodput: number
  /** All whole answers, also those that began late, in the same parts. */
  readonly answered: number
  /** Share of callers served in time, the more urgent ones first. */
  readonly served: readonly number[]
  /** Share of the callers of each team who were served in time, and of those who were answered at all. */
  readonly teams: readonly number[]
  readonly answeredTeams: readonly number[]
  /** Share of the largest tenth of the callers that were answered, over the share of all. */
  readonly largest: number
  /** Share of those refused once who were answered in the end, and the share of second tries that were, of callers who came back when told to. */
  readonly refusedOnce: number
  readonly returns: number
  /** Share answered of those who were told a time to come back that they heed in full, and how many of those refused that is. */
  readonly kept: number
  readonly told: number
  /** Time from a try to its refusal, 99 in 100, in ms. */
  readonly refusalTime: number
  /** Share of the refused tries that were refused after more than a quarter of the objective. */
  readonly held: number
  /** Requests that reached a head from a gateway between half a second after it had asked for rest and the end of the rest. */
  readonly unheeded: number
  /** Requests that heads turned away, for each request of a caller. */
  readonly turnedAway: number
  /** Datagrams between gateways for each request of a caller, and those of them that are about places. */
  readonly datagrams: number
  readonly aboutPlaces: number
}

const heads = 24
/** Mean time of a stream, in ms; between half and one and a half of that. */
const runTime = 1500
const slowness = 2
const betweenBursts = 0.5
/** Teams of callers, which usually send as much as each other. */
const teams = 5
/** Length of a run, and of its beginning and end that do not count, in ms. */
const span = 14_000
const ignored = 4000
const step = 1
const deadline = 6000
const objective = 500
const impatientPause = 50
const impatientTries = 4

const engine: Engine = { slots, models: [], step: 8, stepPerRequest: 0.1, readRate: 45_000, prompt: 900, answer: 130, loadRate: 3, loadsAtOnce: 6, formTime: 300 }
const names = { request: 'id', deadline: 'deadline', key: 'key', team: 'team', upstream: 'upstream', model: 'model', urgency: 'urgency', notRun: 'not-run' }

/** Callers that have read whatever they are sent. */
const readAtOnce = { open: () => ({ write: () => {}, end: () => {}, cut: () => {}, isFull: () => false }) } as unknown as Deliveries

interface Caller {
  readonly sentAt: number
  readonly urgent: boolean
  readonly impatient: boolean
  readonly team: number
  /** Of its run time, in parts of the mean. */
  readonly size: number
  /** Whether it was told a time that it heeds in full, when it was first refused. */
  told: boolean
  tries: number
  firstAt: number | undefined
  served: boolean
}

/** One run. */
class Run {
  readonly #options: Overload
  readonly #clock = new ManualClock()
  readonly #random: Random
  readonly #heads: ModelHead[]
  readonly #gateways: Array<{ readonly context: Context, readonly patience: UsualPatience }> = []
  readonly #sizes = new Map<string, number>()
  readonly #callers: Caller[] = []
  readonly #refusals: number[] = []
  readonly #network: SteppedNetwork
  #id = 0

  constructor (options: Overload) {
    this.#options = options
    this.#random = seeded(options.seed)
    this.#network = new SteppedNetwork(this.#random)
    this.#heads = Array.from({ length: heads }, (_each, index) => new ModelHead(this.#clock, runTime * (index < heads * options.slow ? slowness : 1), options.refusing))
  }

  async play (): Promise<OverloadResult> {
    await this.#start()
    const { slow } = this.#options
    const capacity = heads * slots / runTime * (1 - slow + slow / slowness)
    let due = 0
    for (let now = 0; now < span; now += step) {
      const surge = now < ignored ? 1 : this.#options.surge ?? 1
      for (due += this.#loadAt(now) * capacity * step * (surge + teams - 1) / teams; due >= 1; due--) this.#arrive(surge)
      this.#clock.advance(step)
      this.#network.deliver()
      // Lets what waits for promises go on.
      await new Promise(resolve => setImmediate(resolve))
    }
    return this.#result(capacity)
  }

  #loadAt (now: number): number {
    const { load, burst } = this.#options
    return burst !== undefined && Math.floor(now / burst) % 2 === 0 ? betweenBursts : load
  }

  async #start (): Promise<void> {
    const network = this.#network
    const list = Array.from({ length: this.#options.gateways }, (_each, index) => ({ id: `g${index}`, address: `g${index}:1` }))
    for (const { id, address } of list) {
      const { context, peers } = this.#gateway(id, address, network, list.length)
      this.#gateways.push({ context, patience: new UsualPatience() })
      peers.setAddresses(list)
      await peers.start()
      this.#clock.advance(250 / list.length)
      network.deliver()
    }
    network.sent = 0
  }

  #gateway (id: string, address: string, network: Network, gateways: number): { context: Context, peers: Peers } {
    const clock = this.#clock
    const random = this.#random
    const roster = new Roster(clock)
    roster.replace(Array.from({ length: heads }, (_each, index) => head(index)))
    const queue = this.#options.fair === true ? new FairQueue(clock) : new Queue(clock)
    const inFlight = new InFlight(clock, request => {
      rooms?.ended(request)
      queue.wake()
    })
    const suspects = new Suspects(clock, roster)
    const heartbeat = (): Heartbeat => ({ id, revision: 1, canPlan: false, inFlight: inFlight.counts, suspects: [], offeredByModel: {}, served: true, loads: {}, ...rooms?.news })
    const interval = this.#options.way === 'fresher counts' ? 25 : 250
    const peers = new Peers({
      clock,
      id,
      address,
      datagrams: new ModelDatagrams(network, address),
      heartbeat,
      heard: (heartbeat, from) => rooms?.hear(heartbeat, from),
      other: (datagram, from) => rooms?.receive(datagram, from),
      interval,
      timeout: 1000
    })
    const log = { write: () => {} } as unknown as Log
    const conditions = new Conditions({ clock, log, roster, inFlight, queue, tell: () => {}, limited: () => {}, cold: () => {}, rested: () => {} })
    const intake = new Intake({ clock, rests: conditions.rests })
    const choice = new (this.#options.way === 'two choices' ? this.#twoChoices : Choice)({ roster, inFlight, peers, suspects, intake, dataCentre: 'dc', random })
    const rooms: Rooms | undefined = this.#options.way === 'issued' ? new Rooms({ clock, log, id, dataCentre: 'dc', roster, peers, inFlight, rests: conditions.rests, queue, choice, intake, engine: () => engine, random }) : undefined
    rooms?.start()
    const budget = new RetryBudget(clock, { ratio: 0.2, window: 10_000, slack: 200, gateways: () => gateways })
    const context = {
      clock,
      log,
      names,
      roster,
      inFlight,
      suspects,
      intake,
      queue,
      random,
      choice,
      places: rooms?.asker,
      crashes: { standing: () => 'trusted', underTrial: new Set<string>(), broke: () => {}, served: () => {} },
      retryBudget: () => budget,
      connections: { send: (call: Call, receiver: Receiver) => this.#send(id, call, receiver) },
      answered: (upstream: Upstream, answer: AnswerHead) => {
        const rest = answer.status === unavailable ? Number(answer.headers['retry-after'] ?? 0) * 1000 : 0
        if (this.#options.heeds) conditions.answered(upstream, answer, { leaving: false, rest })
        rooms?.answered(upstream, answer)
      }
    } as unknown as Context
    return { context, peers }
  }

  /** Draws two heads and takes the less loaded one, by what they say at that moment. */
  get #twoChoices (): typeof Choice {
    const loads = this.#heads
    const random = this.#random
    return class extends Choice {
      override head (service: string, model: string, engine: Engine, avoided: ReadonlySet<string>): Upstream | undefined {
        const heads = this.heads(service, model).filter(({ id }) => !avoided.has(id))
        const loadOf = ({ id }: Upstream): number => loads[Number(id.slice(1))].load
        const drawn = [0, 1].flatMap(() => heads.length === 0 ? [] : [heads[Math.floor(random() * heads.length)]])
        return drawn.filter(each => loadOf(each) < capacity(engine)).sort((a, b) => loadOf(a) - loadOf(b))[0]
      }
    }
  }

  #send (gateway: string, { origin, headers }: Call, receiver: Receiver): Cancel {
    let cancel: Cancel | undefined
    let cancelled: Error | undefined
    receiver.begun()
    this.#clock.after(distance, () => {
      if (cancelled === undefined) cancel = this.#heads[Number(/h(\d+)/.exec(origin)?.[1])].arrive(gateway, headers.id, receiver, this.#sizes.get(headers.id) ?? 1)
    })
    return error => {
      cancelled = error
      if (cancel === undefined) receiver.fail({ error, sent: true })
      else cancel(error)
    }
  }

  #arrive (surge: number): void {
    const team = Math.max(0, Math.floor(this.#random() * (surge + teams - 1) - surge + 1))
    const caller: Caller = { told: false, team, size: 0.5 + this.#random(), sentAt: this.#clock.now(), urgent: this.#random() < 0.5, impatient: this.#random() < this.#options.impatient, tries: 0, firstAt: undefined, served: false }
    this.#callers.push(caller)
    this.#try(caller)
  }

  #try (caller: Caller): void {
    const clock = this.#clock
    const timeLeft = caller.sentAt + deadline - clock.now()
    if (timeLeft <= 0) return
    caller.tries++
    const id = `r${++this.#id}`
    this.#sizes.set(id, caller.size)
    const { context, patience } = this.#gateways[Math.floor(this.#random() * this.#gateways.length)]
    const incoming = new IncomingMessage(new Socket())
    incoming.headers = { id, model: 'm' }
    const response = new ServerResponse(incoming)
    const arrivedAt = clock.now()
    const request = new CallerRequest({
      clock,
      id,
      incoming,
      response,
      body: undefined,
      route: route(caller.urgent ? 1 : 3),
      service: 's',
      team: { name: `t${caller.team}`, keys: [] },
      arrivedAt,
      endsAt: arrivedAt + timeLeft,
      spent: patience.spent('r', timeLeft, arrivedAt),
      idHeader: 'id',
      deliveries: readAtOnce,
      onEnd: ({ timing }, outcome) => {
        if (timing.first !== undefined) caller.firstAt ??= arrivedAt + timing.first
        if (outcome === 'answered 200') caller.served = true
        else this.#refused(caller, clock.now() - arrivedAt, Number(response.getHeader('retry-after') ?? 0) * 1000)
      }
    })
    context.retryBudget('s').request()
    new StreamPath(context, request, { model: 'm', engine }).serve().catch(error => { throw error })
  }

  #refused (caller: Caller, time: number, retryAfter: number): void {
    this.#refusals.push(time)
    const timeLeft = caller.sentAt + deadline - this.#clock.now()
    if (caller.tries === 1) caller.told = retryAfter <= timeLeft / 3
    if (caller.impatient) {
      if (caller.tries < impatientTries) this.#clock.after(impatientPause, () => this.#try(caller))
    } else if (caller.tries < 2) this.#clock.after(Math.min(retryAfter, timeLeft / 3), () => this.#try(caller))
  }

  #result (capacity: number): OverloadResult {
    const counted = this.#callers.filter(each => each.sentAt >= ignored && each.sentAt < span - ignored)
    const inTime = counted.filter(isInTime)
    const part = (of: (each: Caller) => boolean, among: (each: Caller) => boolean = () => true): number => counted.filter(each => among(each) && of(each)).length / counted.filter(among).length
    const largest = [...counted].sort((a, b) => a.size - b.size)[Math.floor(counted.length * 0.9)]?.size
    const refusals = this.#refusals.sort((a, b) => a - b)
    return {
      goodput: inTime.length / (capacity * (span - 2 * ignored)),
      answered: counted.filter(each => each.served).length / (capacity * (span - 2 * ignored)),
      served: [part(isInTime, each => each.urgent), part(isInTime, each => !each.urgent)],
      teams: Array.from({ length: teams }, (_each, index) => part(isInTime, ({ team }) => team === index)),
      answeredTeams: Array.from({ length: teams }, (_each, index) => part(isServed, ({ team }) => team === index)),
      largest: part(isServed, ({ size }) => size >= largest) / part(isServed),
      refusedOnce: part(isServed, ({ tries }) => tries > 1),
      kept: part(isServed, ({ tries, impatient, told }) => tries > 1 && !impatient && told),
      told: part(({ told }) => told, ({ tries }) => tries > 1),
      returns: part(isServed, ({ tries, impatient }) => tries > 1 && !impatient),
      refusalTime: refusals[Math.floor(refusals.length * 0.99)] ?? 0,
      held: refusals.filter(time => time > objective / 4).length / Math.max(1, refusals.length),
      unheeded: this.#heads.reduce((sum, each) => sum + each.unheeded, 0),
      turnedAway: this.#heads.reduce((sum, each) => sum + each.turnedAway, 0) / this.#callers.length,
      datagrams: this.#network.sent / this.#callers.length,
      aboutPlaces: this.#network.aboutPlaces / this.#callers.length
    }
  }
}

function isServed ({ served }: Caller): boolean {
  return served
}

/** Whether the answer began within the objective, counted from the first try, and ended or is still under way. */
function isInTime ({ sentAt, firstAt, served }: Caller): boolean {
  return served && firstAt !== undefined && firstAt - sentAt <= objective
}

function head (index: number): Upstream {
  return { id: `h${index}`, service: 's', address: `h${index}:1`, dataCentre: 'dc', leaving: false, loaded: ['m'], staged: [], membership: { replica: `r${index}`, epoch: 1, rank: 0, state: 'open' } }
}

function route (priority: number): Route {
  return { name: 'r', host: 'h', prefix: '/', kind: 'stream', resumable: true, timeout: deadline, objective, gap: 300, priority, attempts: 2, open: true, shares: [{ service: 's', weight: 1 }] }
}

/** Plays one run. */
export async function playOverload (options: Overload): Promise<OverloadResult> {
  return await new Run(options).play()
}
