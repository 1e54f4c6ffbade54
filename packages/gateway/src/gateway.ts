/**
 * The gateway process: creates the parts, connects them, starts and stops them. The only rules here are the definition
 * of "ready" and the steps of a planned stop. The README lists which part holds which rule. Owns every part and the
 * board that they share. Relies on `Platform` for everything that the platform provides and stores.
 */
import { randomUUID } from 'node:crypto'
import { InFlight, Pauses, Stalls, Suspects } from '@eiderwind/detect'
import { Choice, FairQueue, Availability, OfferedLoad, Queue } from '@eiderwind/dispatch'
import { UsualMaxWaits } from '@eiderwind/fairness'
import { type Reconciler } from '@eiderwind/forming'
import { Deliveries, type Context } from '@eiderwind/forward'
import { LoopDelays, PortWait, type WorkTotals } from '@eiderwind/life'
import { Peers, type Heartbeat, type PeerAddress } from '@eiderwind/peers'
import { Outage, Roster } from '@eiderwind/roster'
import { Connections } from '@eiderwind/wire'
import { Forecast } from '@eiderwind/work'
import { Bodies } from './bodies.js'
import { Budgets } from './budgets.js'
import { Callers } from './callers.js'
import { Conditions } from './conditions.js'
import { Confirmations } from './confirmations.js'
import { CrashWatch } from './crashwatch.js'
import { growDescriptorTable } from './descriptors.js'
import { ModelLoad } from './demand.js'
import { EvacuationController } from './evacuationcontroller.js'
import { gatewayBoard, revisionInForce } from './facts.js'
import { UpstreamLimits } from './upstreamlimits.js'
import { InvalidObjects } from './invalidobjects.js'
import { platformListener } from './listener.js'
import { Health } from './health.js'
import { Leadership } from './leadership.js'
import { Metrics } from './metrics.js'
import { PeerServer } from './peerserver.js'
import { makeReconciler } from './planning.js'
import { Readiness } from './readiness.js'
import { RequestLog } from './requestlog.js'
import { Rooms } from './rooms.js'
import { Sampling } from './sampling.js'
import { Serving } from './serving.js'
import { type GatewayOptions } from './settings.js'
import { upstreamsCall } from './upstreamcalls.js'
import { UpstreamSync } from './upstreamsync.js'

/** Interval between heartbeats to other gateways, and the silence after which a gateway counts as gone, in ms. */
const heartbeatInterval = 250
const heartbeatTimeout = 1000

/** How long a new connection to an upstream may take, in ms: over 100 times the round trip (1.4 ms each way). */
const connectTime = 350

/** Interval between checks whether all requests have ended, at a stop, in ms. */
const stopCheckInterval = 50

/** Minimum time for the requests that are still to be read at a stop, in ms, also if the grace period is over. */
const minClosingTime = 100

/** A gateway: it serves callers, and plans the replicas of the services that it leads. */
export class Gateway {
  readonly #options: GatewayOptions
  readonly #board = gatewayBoard()
  readonly #connections = new Connections({ connectTime })
  readonly #metrics: Metrics
  /** Objects in the answers of other gateways that cannot be used. */
  readonly #invalidObjects = new InvalidObjects((kind, reason) => this.#reportInvalid(kind, reason))
  readonly #modelLoad = new ModelLoad()
  readonly #pauses: Pauses
  readonly #outage: Outage
  readonly #roster: Roster
  readonly #suspects: Suspects
  readonly #crashWatch: CrashWatch
  readonly #conditions: Conditions
  readonly #upstreamLimits: UpstreamLimits
  readonly #evacuationController: EvacuationController
  readonly #availability: Availability
  readonly #choice: Choice
  /** Undefined if each gateway searches for room alone. */
  readonly #rooms: Rooms | undefined
  readonly #queue: Queue
  readonly #inFlight: InFlight
  readonly #offered: OfferedLoad
  readonly #peers: Peers
  readonly #leadership: Leadership
  readonly #budgets: Budgets
  readonly #callers: Callers
  readonly #deliveries: Deliveries
  readonly #bodies: Bodies
  readonly #confirmations: Confirmations
  readonly #upstreamSync: UpstreamSync
  readonly #peerServer: PeerServer
  readonly #health: Health
  readonly #loopDelays: LoopDelays
  readonly #readiness: Readiness
  readonly #stalls: Stalls
  readonly #reconciler: Reconciler
  readonly #sampling: Sampling

  constructor (options: GatewayOptions) {
    const { clock, log, failures, platform, settings } = options
    const board = this.#board
    this.#options = options
    this.#pauses = new Pauses(clock, time => log.write('process-paused', { paused: Math.round(time) }))
    this.#outage = new Outage(clock)
    this.#roster = new Roster(clock, this.#outage)
    this.#upstreamSync = this.#makeUpstreamSync()
    this.#suspects = new Suspects(clock, this.#roster)
    this.#queue = settings.fair ? new FairQueue(clock) : new Queue(clock)
    this.#inFlight = new InFlight(clock, request => {
      this.#rooms?.ended(request)
      this.#queue.wake()
    })
    this.#offered = new OfferedLoad(clock, { models: () => this.#inFlight.models, rate: model => this.#inFlight.rate(model) })
    this.#peers = new Peers({
      clock,
      id: settings.id,
      address: settings.peers,
      heartbeat: () => this.#heartbeat(),
      received: (heartbeat, from) => this.#receiveHeartbeat(heartbeat, from),
      receivedOther: (datagram, from) => this.#receiveDatagram(datagram, from),
      contain: handle => failures.run('datagram', handle),
      interval: heartbeatInterval,
      timeout: heartbeatTimeout,
      urgent: () => this.#leadership.isUrgent
    })
    const peers = this.#peers
    this.#leadership = new Leadership({
      clock,
      log,
      board,
      outage: this.#outage,
      pauses: this.#pauses,
      peers,
      leaders: platform.leaders,
      id: settings.id,
      isFirstStart: settings.isFirstStart
    })
    this.#budgets = new Budgets({ clock, log, id: settings.id, board, peers, random: Math.random, settings })
    this.#crashWatch = new CrashWatch({
      clock,
      log,
      id: settings.id,
      roster: this.#roster,
      peers,
      connections: this.#connections,
      invalid: this.#invalidObjects.reporterOf('blocked requests'),
      blocks: platform.blocks,
      connectTime,
      changed: () => this.#queue.wake()
    })
    this.#upstreamLimits = new UpstreamLimits({
      clock,
      log,
      id: settings.id,
      roster: this.#roster,
      peers,
      inFlight: this.#inFlight,
      queue: this.#queue,
      random: Math.random,
      coldBound: settings.coldBound,
      service: name => board.read('inForce')?.traffic.services.find(each => each.name === name)
    })
    this.#conditions = new Conditions({
      clock,
      log,
      roster: this.#roster,
      inFlight: this.#inFlight,
      queue: this.#queue,
      announce: () => peers.send(),
      limited: (id, rate) => this.#upstreamLimits.recordLimit(id, rate),
      cold: (id, remaining) => this.#upstreamLimits.recordCold(id, remaining),
      rested: () => this.#metrics.rested()
    })
    this.#availability = new Availability({ clock, rests: this.#conditions.rests, tokens: this.#upstreamLimits.tokens })
    this.#choice = new Choice({
      roster: this.#roster,
      inFlight: this.#inFlight,
      suspects: this.#suspects,
      availability: this.#availability,
      random: Math.random,
      peers,
      dataCentre: settings.dataCentre
    })
    this.#rooms = settings.sharedRoom === true ? this.#makeRooms() : undefined
    this.#evacuationController = new EvacuationController({ clock, log, board, roster: this.#roster, inFlight: this.#inFlight, evacuationTime: settings.evacuationTime })
    this.#bodies = new Bodies(settings.maxBodyBytes)
    this.#deliveries = new Deliveries({ clock, log, bounds: settings.unread })
    this.#metrics = new Metrics({
      clock,
      board,
      bodies: this.#bodies,
      deliveries: this.#deliveries,
      upstreamList: this.#upstreamSync.list,
      away: () => this.#readiness.cause !== undefined,
      roster: this.#roster,
      inFlight: this.#inFlight,
      queue: this.#queue,
      connections: this.#connections,
      budgets: this.#budgets,
      rests: this.#conditions.rests,
      upstreamLimits: this.#upstreamLimits,
      evacuationController: this.#evacuationController,
      rooms: this.#rooms,
      failures
    })
    this.#callers = this.#makeCallers()
    this.#confirmations = new Confirmations({
      clock,
      board,
      peers,
      connections: this.#connections,
      storeReaders: () => this.#leadership.storeReaders
    })
    this.#peerServer = new PeerServer({
      clock,
      board,
      upstreams: this.#upstreamSync,
      crashes: this.#crashWatch.crashes,
      address: settings.peers,
      orders: platform.orders,
      probes: platform.probes,
      failures
    })
    this.#readiness = new Readiness({
      clock,
      log,
      limits: settings.readiness,
      memory: () => process.memoryUsage.rss(),
      connections: () => this.#callers.connections + this.#connections.count,
      others: () => this.#peers.live
    })
    this.#health = new Health(settings.health, () => this.ready, failures)
    this.#loopDelays = new LoopDelays({ clock, log, work: () => this.#work(), observed: delay => this.#metrics.loopDelayed(delay) })
    this.#stalls = this.#makeStalls()
    this.#reconciler = makeReconciler({
      ...options,
      board,
      roster: this.#roster,
      suspects: this.#suspects,
      inFlight: this.#inFlight,
      pauses: this.#pauses,
      peers,
      connections: this.#connections,
      leadership: this.#leadership,
      modelLoad: this.#modelLoad,
      metrics: this.#metrics,
      served: () => this.#callers.served
    })
    this.#sampling = new Sampling({
      clock,
      log,
      board,
      platform,
      peers,
      offered: this.#offered,
      modelLoad: this.#modelLoad,
      leadership: this.#leadership,
      servesKeys: () => this.#callers.servesKeys
    })
    this.#followRoster()
  }

  /** Whether the balancer should send callers here. */
  get ready (): boolean {
    return this.#board.read('inForce') !== undefined && this.#roster.hasList && !this.#board.read('stopping') && this.#callers.servesKeys && this.#readiness.cause === undefined
  }

  /** Listens on all addresses, then watches the platform. Rejects if an address cannot be used, at once or in time. */
  async start (): Promise<void> {
    const { clock, log, failures, platform, settings } = this.#options
    growDescriptorTable().catch(() => { /* Never rejects: a table that cannot grow further stays as it is. */ })
    await this.#listen()
    this.#confirmations.start()
    this.#upstreamSync.start()
    platform.watch(platformListener({
      clock,
      log,
      board: this.#board,
      upstreams: this.#upstreamSync.listener,
      outage: this.#outage,
      peers: this.#peers,
      conditions: this.#conditions,
      evacuationController: this.#evacuationController,
      failures,
      invalidObject: (kind, reason) => this.#reportInvalid(kind, reason)
    }))
    platform.register({ id: settings.id, address: settings.peers })
    if (!settings.isFirstStart) this.#crashWatch.start()
    this.#pauses.start()
    this.#loopDelays.start()
    this.#rooms?.start()
    this.#stalls.start()
    this.#readiness.start()
    this.#evacuationController.start()
    this.#reconciler.start()
    this.#sampling.start()
  }

  /**
   * Performs a planned stop. It reports "not ready", waits until the balancer has noticed, and finishes the requests in
   * flight. After `refuseAfter` it refuses new requests. It closes everything once all answers are delivered and
   * nothing more is to be read, or when the grace period ends.
   */
  async stop (): Promise<void> {
    const { clock, settings } = this.#options
    const startedAt = clock.now()
    this.#board.write('stopping', true)
    this.#leadership.resign()
    await clock.wait(settings.notice)
    while (this.#callers.open + this.#deliveries.waiting > 0 && clock.now() - startedAt < settings.grace) {
      if (clock.now() - startedAt > settings.refuseAfter) await this.#callers.refuse(clock.now() + stopCheckInterval)
      await clock.wait(stopCheckInterval)
    }
    await this.#callers.close(Math.max(startedAt + settings.grace, clock.now() + minClosingTime))
    this.#rooms?.stop()
    for (const part of [this.#sampling, this.#reconciler, this.#stalls, this.#readiness, this.#evacuationController, this.#pauses, this.#loopDelays, this.#confirmations, this.#upstreamSync, this.#peerServer, this.#peers, this.#health, this.#metrics, this.#options.platform]) part.stop()
    this.#connections.close()
  }

  /** Listens on each address once it is free. */
  async #listen (): Promise<void> {
    const { clock, log, settings: { callers, health, peers, metrics } } = this.#options
    const ports = new PortWait({ clock, log })
    await Promise.all([
      ports.start(callers, async () => await this.#callers.start()),
      ports.start(health, async () => await this.#health.start()),
      ports.start(peers, async () => await this.#peerServer.start()),
      ports.start(peers, async () => await this.#peers.start()),
      metrics === '' ? undefined : ports.start(metrics, async () => await this.#metrics.start(metrics))
    ])
  }

  #followRoster (): void {
    this.#roster.listen(() => this.#queue.wake())
    // A request that waits for its connection was chosen before the upstream departed.
    this.#roster.listenDepartures(({ upstream: { id } }) => this.#inFlight.withdraw(id, 'the upstream takes no new requests any more'))
    // An upstream that has ended sends no more answers. Behind a cut link nothing else would show that until the
    // requests time out.
    this.#roster.listenEnds(({ id }) => { for (const each of this.#inFlight.requestsAt(id)) each.handlers.lost?.() })
  }

  #makeCallers (): Callers {
    const { clock, log, platform, settings: { callers: address, dataCentre, maxConfirmationAge, maxConnectionWait, strictKeys, fair } } = this.#options
    const conditions = this.#conditions
    const rooms = this.#rooms
    const serving = new Serving({ clock, crashes: this.#crashWatch.crashes, probes: platform.probes, roster: this.#roster, inFlight: this.#inFlight })
    const context: Context = {
      clock,
      log,
      dataCentre,
      roster: this.#roster,
      inFlight: this.#inFlight,
      suspects: this.#suspects,
      availability: this.#availability,
      crashes: this.#crashWatch.crashes,
      random: Math.random,
      names: platform.names,
      connections: this.#connections,
      choice: this.#choice,
      queue: this.#queue,
      offered: this.#offered,
      forecast: new Forecast(),
      places: rooms?.placeClient,
      retryBudget: service => this.#budgets.of(service),
      sendGate: this.#upstreamSync.gate,
      written: request => { request.listAge = this.#upstreamSync.list.recordWrite() },
      serves: async upstream => await serving.isServing(upstream),
      beganUnframed: upstream => serving.recordUnframed(upstream),
      answered: (upstream, head) => {
        conditions.answered(upstream, head, platform.conditionOf(head.status, head.headers))
        rooms?.answered(upstream, head)
      }
    }
    const requests = new RequestLog({ clock, log, metrics: this.#metrics })
    return new Callers({
      context,
      board: this.#board,
      pauses: this.#pauses,
      address,
      maxConfirmationAge,
      strictKeys,
      random: Math.random,
      usualMaxWaits: fair ? new UsualMaxWaits() : undefined,
      maxConnectionWait,
      bodies: this.#bodies,
      deliveries: this.#deliveries,
      connectionClosed: () => this.#metrics.connectionClosed(),
      refused: code => this.#metrics.refused(code),
      ended: (request, outcome) => requests.ended(request, outcome)
    })
  }

  #makeRooms (): Rooms {
    const { clock, log, settings: { id, dataCentre } } = this.#options
    return new Rooms({
      clock,
      log,
      id,
      dataCentre,
      roster: this.#roster,
      peers: this.#peers,
      inFlight: this.#inFlight,
      rests: this.#conditions.rests,
      queue: this.#queue,
      choice: this.#choice,
      availability: this.#availability,
      engine: service => this.#board.read('inForce')?.traffic.services.find(each => each.name === service)?.engine,
      random: Math.random
    })
  }

  #makeUpstreamSync (): UpstreamSync {
    const { clock, log, platform, settings: { maxListAge, maxAskAge, maxSendAge, maxHold } } = this.#options
    return new UpstreamSync({
      clock,
      log,
      board: this.#board,
      roster: this.#roster,
      outage: this.#outage,
      pauses: this.#pauses,
      platform,
      incarnation: randomUUID(),
      sources: () => this.#leadership.sources,
      peers: () => this.#leadership.peersByKnowledge,
      call: upstreamsCall(clock, this.#connections, this.#invalidObjects.reporterOf('upstreams')),
      maxListAge,
      maxAskAge,
      maxSendAge,
      maxHold
    })
  }

  #makeStalls (): Stalls {
    const { clock, log, settings: { maxSilence } } = this.#options
    return new Stalls({
      clock,
      log,
      roster: this.#roster,
      inFlight: this.#inFlight,
      suspects: this.#suspects,
      pauses: this.#pauses,
      maxSilence,
      peerViews: () => this.#peers.live,
      suspected: () => {
        this.#metrics.suspected()
        this.#peers.send()
      }
    })
  }

  /** The work that this process has done since its start, for the log of delays. */
  #work (): WorkTotals {
    const { closed: callersClosed, resumed: upstreamsResumed } = this.#deliveries
    return { requests: this.#callers.requests, callersClosed, upstreamsResumed, connectionsOpened: this.#connections.opened }
  }

  #reportInvalid (kind: string, reason: string): void {
    this.#options.log.write('controller-failed', { controller: kind, cause: reason })
    this.#metrics.invalidObject(kind)
  }

  /** Passes another gateway's heartbeat to the parts that read it. */
  #receiveHeartbeat (heartbeat: Heartbeat, from: PeerAddress): void {
    this.#crashWatch.receiveHeartbeat(heartbeat, from)
    this.#conditions.receiveHeartbeat(heartbeat)
    this.#upstreamLimits.receiveHeartbeat(heartbeat)
    this.#evacuationController.receiveHeartbeat(heartbeat)
    this.#rooms?.receiveHeartbeat(heartbeat, from)
  }

  /** Takes a datagram that is not a heartbeat. */
  #receiveDatagram (datagram: Buffer, from: string): void {
    if (this.#rooms?.receive(datagram, from) === true || this.#budgets.receive(datagram, from)) return
    this.#upstreamLimits.receive(datagram, from)
  }

  /** The heartbeat of this gateway. */
  #heartbeat (): Heartbeat {
    return {
      id: this.#options.settings.id,
      revision: revisionInForce(this.#board),
      canPlan: this.#leadership.eligible,
      canWatch: this.#leadership.canWatch,
      inFlight: this.#inFlight.counts,
      suspects: this.#suspects.all,
      offeredByModel: this.#offered.models,
      served: this.#callers.served,
      loads: this.#reconciler.loads,
      terms: this.#leadership.terms,
      ...this.#crashWatch.heartbeatFields,
      ...this.#conditions.heartbeatFields,
      ...this.#upstreamLimits.heartbeatFields,
      ...this.#evacuationController.heartbeatFields,
      ...this.#readiness.heartbeatFields,
      ...this.#rooms?.heartbeatFields
    }
  }
}
