/**
 * The worker: the process beside one upstream node. It runs next to an engine or a plain service, takes requests from
 * entries and reports to them. This module makes the worker's parts, connects, starts and stops them. It owns every
 * part and the board that they share.
 */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { v7 } from 'uuid'
import { splitAddress } from '@eiderwind/address'
import { Queue } from '@eiderwind/admit'
import { Scheduler } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { Fault, asFault } from '@eiderwind/fault'
import { type Log, type Metric } from '@eiderwind/log'
import { Attempts } from '@eiderwind/run'
import { type Handover } from '@eiderwind/schema'
import { Clients, answerFault, header, listen, makeServer, readBody, sessionsPath, wireHeaders, workerRouter } from '@eiderwind/wire'
import { Calls } from './calls.js'
import { workerBoard } from './facts.js'
import { Flights } from './flights.js'
import { Grants } from './grants.js'
import { Head } from './head.js'
import { Health } from './health.js'
import { HomeController } from './homecontroller.js'
import { readInbound, type InboundRequest } from './inbound.js'
import { ModelPath } from './model.js'
import { Orders } from './orders.js'
import { PlainPath } from './plain.js'
import { PlainState } from './plainstate.js'
import { Reporter } from './reporter.js'
import { Sessions } from './sessions.js'
import { SessionTransfer } from './transfer.js'
import { EngineUpstream, PlainUpstream, type Upstream } from './upstream.js'

/** Maximum size of a request body from an entry, in bytes. Entries have their own, lower limit. */
const maxBodySize = 64 * 2 ** 20

/** Interval at which a stop checks whether every request has ended, in ms. */
const stopInterval = 50

/** Options of a worker. Durations are in ms. */
export interface WorkerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly metric: Metric
  /** Id of the node, which is the worker's name too. */
  readonly node: string
  readonly dataCentre: string
  /** `host:port`; port 0 takes any free port. */
  readonly listen: string
  readonly upstream: UpstreamOptions
  /** Peer addresses of some entries, to report to first. */
  readonly seeds: readonly string[]
  /** Lease period. */
  readonly period: number
  /** Interval at which leases are renewed. */
  readonly interval: number
  /** Maximum difference between the wall clocks of two processes. */
  readonly skew: number
  /** How long an idempotency key is retained. */
  readonly keyRetention: number
  /** Maximum time for which a stop waits for requests in flight. */
  readonly maxStopTime: number
}

/** The upstream beside the worker. */
export interface UpstreamOptions {
  readonly kind: 'engine' | 'service'
  readonly url: string
  /** Path of the health check; undefined for a service that has none. */
  readonly health: string | undefined
}

/** The process beside one upstream node. */
export class Worker {
  readonly #options: WorkerOptions
  /** Names one run of this process. A version 7 UUID: the incarnation of a later run compares greater. */
  readonly #incarnation = v7()
  readonly #board = workerBoard()
  readonly #clients: Clients
  readonly #attempts = new Attempts()
  readonly #flights = new Flights()
  readonly #queue: Queue
  readonly #grants: Grants
  readonly #upstream: Upstream
  readonly #scheduler: Scheduler
  readonly #server: Server
  // Set by `start`, by the kind of the upstream. Until then requests are refused.
  #receiveSession = async (_request: IncomingMessage, response: ServerResponse): Promise<void> => answerFault(response, new Fault('not-serving'))
  #releaseGrants = async (): Promise<void> => {}
  #takeBook = (_handover: Handover): boolean => false
  #serve: (inbound: InboundRequest) => Promise<void> = async ({ response }) => answerFault(response, new Fault('not-serving'))

  constructor (options: WorkerOptions) {
    this.#options = options
    const { clock, log } = options
    this.#clients = new Clients(clock)
    this.#queue = new Queue(clock, { concurrency: 1, queue: 0 })
    this.#queue.close('not-serving')
    this.#grants = new Grants(clock, { maxPeriod: options.period, origin: this.#incarnation })
    this.#scheduler = new Scheduler(clock, (controller, error) => log.write('controller-failed', { controller, cause: String(error) }))
    this.#upstream = makeUpstream(clock, options.upstream)
    const calls = new Calls({ clock, board: this.#board, grants: this.#grants, attempts: this.#attempts, incarnation: this.#incarnation, takeBook: handover => this.#takeBook(handover) })
    this.#server = makeServer({ router: workerRouter(calls), handler: (request, response) => { this.#handle(request, response) } })
  }

  /** Listens and begins to report. Resolves with the address that it listens on. */
  async start (): Promise<string> {
    const port = await listen(this.#server, this.#options.listen)
    const address = `${splitAddress(this.#options.listen).host}:${port}`
    this.#scheduler.add(new Health(this.#board, this.#upstream, this.#options.log))
    if (this.#upstream instanceof EngineUpstream) this.#startModel(this.#upstream)
    else this.#startPlain()
    this.#startReporter(address)
    return address
  }

  /**
   * Takes no new requests and waits until no request runs and no head holds this node, at most for
   * `WorkerOptions.maxStopTime`. Then releases the grants that this worker's leases have, and ends.
   */
  async stop (): Promise<void> {
    const { clock, maxStopTime } = this.#options
    this.#board.write('stopping', true)
    this.#scheduler.wake('reporter')
    this.#scheduler.wake('plain-state')
    const end = clock.now() + maxStopTime
    while (clock.now() < end && this.#isBusy) await clock.wait(stopInterval)
    await this.#releaseGrants()
    this.#scheduler.stop()
    await this.kill()
  }

  /** Ends at once, without waiting for requests in flight. */
  async kill (): Promise<void> {
    this.#scheduler.stop()
    this.#server.closeAllConnections()
    this.#server.close()
    await Promise.all([this.#clients.close(), this.#upstream.close()])
  }

  /** Whether a request runs in this worker, or a head still holds this node. */
  get #isBusy (): boolean {
    return this.#queue.running > 0 || this.#grants.nodeHolder !== undefined
  }

  #startModel (engine: EngineUpstream): void {
    const { clock, log, metric, node, period, interval } = this.#options
    const sessions = new Sessions(clock)
    const transfer = new SessionTransfer({ clock, board: this.#board, clients: this.#clients, engine, sessions, log })
    this.#receiveSession = (request, response) => transfer.receive(request, response)
    const head = new Head({
      clock,
      board: this.#board,
      queue: this.#queue,
      clients: this.#clients,
      log,
      metric,
      worker: node,
      period,
      leaseInterval: interval,
      handOverSessions: assignment => transfer.handOver(assignment),
      cancelInFlight: () => this.#flights.cancelAll()
    })
    const path = new ModelPath({ clock, queue: this.#queue, attempts: this.#attempts, upstream: engine, flights: this.#flights, head, sessions })
    this.#serve = inbound => path.serve(inbound)
    this.#releaseGrants = () => head.stop()
    this.#scheduler.add(head)
    this.#scheduler.add(new Orders(this.#board, engine, this.#grants, log))
    this.#board.listen('assignment', () => this.#scheduler.wake('head'))
  }

  #startPlain (): void {
    const { clock, log, node, period, interval, skew, keyRetention } = this.#options
    const homes = new HomeController({
      clock,
      board: this.#board,
      clients: this.#clients,
      grants: this.#grants,
      log,
      worker: node,
      period,
      leaseInterval: interval,
      isIdle: () => this.#queue.running === 0,
      skew,
      keyRetention
    })
    this.#takeBook = handover => homes.takeBook(handover)
    const path = new PlainPath({ clock, board: this.#board, queue: this.#queue, attempts: this.#attempts, upstream: this.#upstream, book: key => homes.book(key) })
    this.#serve = inbound => path.serve(inbound)
    this.#releaseGrants = () => homes.stop()
    this.#scheduler.add(new PlainState(this.#board, this.#queue))
    this.#scheduler.add(homes)
    this.#board.listen('mustLeave', () => {
      this.#scheduler.wake('plain-state')
      this.#scheduler.wake('homes')
    })
  }

  #startReporter (address: string): void {
    const { node, dataCentre, seeds, metric } = this.#options
    this.#scheduler.add(new Reporter({
      board: this.#board,
      queue: this.#queue,
      clients: this.#clients,
      metric,
      worker: node,
      incarnation: this.#incarnation,
      address,
      dataCentre,
      seeds
    }))
    this.#board.listen('serving', () => this.#scheduler.wake('reporter'))
    this.#board.listen('slots', () => this.#scheduler.wake('reporter'))
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      if (request.url?.startsWith(sessionsPath) === true) return await this.#receiveSession(request, response)
      const expectedIncarnation = header(request, wireHeaders.incarnation)
      if (expectedIncarnation !== undefined && expectedIncarnation !== this.#incarnation) return answerFault(response, new Fault('not-serving'))
      const body = await readBody(request, maxBodySize)
      if (body.isErr()) return answerFault(response, body.error)
      await this.#serve(readInbound(request, response, body.value, this.#options.clock))
    } catch (error) {
      answerFault(response, asFault(error, 'lost'))
    }
  }
}

function makeUpstream (clock: Clock, { kind, url, health }: UpstreamOptions): Upstream {
  return kind === 'engine' ? new EngineUpstream(clock, url, health ?? '/health') : new PlainUpstream(clock, url, health)
}
