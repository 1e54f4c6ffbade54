/**
 * The entry process. An entry takes the requests of callers and the calls of operators. A worker is the process beside
 * an upstream; entries send requests to workers. This module creates, connects, starts and stops the parts of an entry.
 * It owns all of them and their shared board. It contains one rule of its own: the order of steps in a planned stop.
 */
import { type Server } from 'node:http'
import { Server as TcpServer } from 'node:net'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { v7 } from 'uuid'
import { splitAddress } from '@eiderwind/address'
import { Scheduler } from '@eiderwind/board'
import { seeded, type Clock } from '@eiderwind/clock'
import { CurrentConfiguration } from '@eiderwind/config'
import { digest } from '@eiderwind/hash'
import { type Log, type Metric } from '@eiderwind/log'
import { RepairingPlanner } from '@eiderwind/plan'
import { Affinity, BalancedPolicy, RetryBudget } from '@eiderwind/route'
import { type EntryAddress, type Operator, type Peer } from '@eiderwind/schema'
import { Reports } from '@eiderwind/spread'
import { type Store } from '@eiderwind/store'
import { Clients, Connections, entryRouter, listen, makeServer, serve } from '@eiderwind/wire'
import { Callers } from './callers.js'
import { Calls } from './calls.js'
import { type Context } from './context.js'
import { entryBoard, type EntryBoard } from './facts.js'
import { Fence } from './fence.js'
import { AttemptsInFlight } from './inflight.js'
import { DualListener } from './listener.js'
import { NodeReader } from './nodereader.js'
import { OperatorCalls, operatorCheck } from './operators.js'
import { Peers } from './peers.js'
import { Planning } from './planning.js'
import { Registrar } from './registrar.js'
import { Spreader } from './spreader.js'
import { Targets } from './targets.js'
import { Teams } from './teams.js'
import { Voting } from './voting.js'
import { Watcher } from './watcher.js'

/** Interval between checks during a stop, in ms. */
const stopCheckInterval = 50

/**
 * Time without requests after which a stop closes the connections, in ms. The wait keeps it from closing a connection
 * on which a request is just arriving.
 */
const minIdleTime = 250

/** Maximum time to connect to a worker, and how long an idle connection to one is kept open, in ms. */
const connectTime = 2000
const idleTime = 30_000

/** Maximum time that a stop waits until no request has arrived for `minIdleTime`, in ms. */
const maxCloseTime = 2000

/** Options of an entry. Times are in ms. */
export interface EntryOptions {
  readonly clock: Clock
  readonly log: Log
  readonly metric: Metric
  readonly store: Store
  readonly id: string
  readonly dataCentre: string
  readonly region: string
  /** Listen addresses as `host:port`. Port 0 takes any free port. */
  readonly callers: string
  readonly operators: string
  readonly peers: string
  /** Peer addresses of entries to ask while no other entry is known. */
  readonly seeds: readonly string[]
  /** An operator who may call before the configuration names any. */
  readonly firstOperator: Operator | undefined
  /** Maximum size of a request body, in bytes. */
  readonly bodyLimit: number
  /** Deadline of a request that gives none, and upper bound of the others. */
  readonly deadline: number
  /** Maximum time that a planned stop waits for open requests. Closing the connections takes extra time. */
  readonly maxStopTime: number
  /** Time for the balancer to notice that this entry leaves, before the entry stops listening. */
  readonly noticeTime: number
  /** Usual time that a restarting node is away. */
  readonly restartTime: number
  /** Silence after which a node counts as lost. */
  readonly lostAfter: number
}

/** The addresses on which an entry listens. */
export interface EntryAddresses {
  readonly callers: string
  readonly operators: string
  readonly peers: string
}

/** The process that takes the requests of callers and the calls of operators. */
export class Entry {
  readonly #options: EntryOptions
  readonly #current = new CurrentConfiguration()
  readonly #clients: Clients
  readonly #connections = new Connections({ connectTime, idleTime })
  readonly #scheduler: Scheduler
  readonly #reports: Reports
  readonly #servers: Server[] = []
  #operators: DualListener | undefined
  #inFlight: AttemptsInFlight | undefined
  #targets: Targets | undefined
  #callers: Callers | undefined
  #board: EntryBoard | undefined

  constructor (options: EntryOptions) {
    this.#options = options
    this.#clients = new Clients(options.clock)
    this.#reports = new Reports(options.clock)
    this.#scheduler = new Scheduler(options.clock, (controller, error) => options.log.write('controller-failed', { controller, cause: String(error) }))
  }

  /** Listens on all three addresses and starts the controllers. */
  async start (): Promise<EntryAddresses> {
    const { peers: address, id, dataCentre, region, clock } = this.#options
    const peerServer = makeServer()
    const port = await listen(peerServer, address)
    const self: EntryAddress = { id, dataCentre, region, peer: `${splitAddress(address).host}:${port}`, incarnation: v7() }
    const board = entryBoard(self)
    const peers = new Peers(clock, self)
    this.#board = board
    this.#servers.push(peerServer)
    const spreader = this.#startControllers(board, self, peers)
    const calls = new Calls({
      board,
      current: this.#current,
      reports: this.#reports,
      peers,
      dataCentre,
      heads: service => this.#heads(service),
      fetchMissing: (from, revision, known) => spreader.fetchMissing(from, revision, known)
    })
    serve(peerServer, { router: entryRouter(calls) })
    const callers = await this.#startCallers(board, self)
    const operators = await this.#startOperators(board, self)
    return { callers, operators, peers: self.peer }
  }

  /** Refuses new requests, answers the open ones, and ends. Each refusal asks the caller to close its connection. */
  async stop (): Promise<void> {
    const { clock, maxStopTime, noticeTime } = this.#options
    this.#board?.write('stopping', true)
    const answerBy = clock.now() + maxStopTime
    await clock.wait(noticeTime)
    while (clock.now() < answerBy && (this.#callers?.openRequests ?? 0) > 0) await clock.wait(stopCheckInterval)
    for (const server of this.#servers) stopAccepting(server)
    const closeBy = clock.now() + maxCloseTime
    while (clock.now() < closeBy && (this.#callers?.idleTime ?? Infinity) < minIdleTime) await clock.wait(stopCheckInterval)
    for (const server of this.#servers) server.closeIdleConnections()
    await clock.wait(stopCheckInterval)
    await this.kill()
  }

  /** Ends at once: closes all connections, also those with open requests. */
  async kill (): Promise<void> {
    this.#scheduler.stop()
    this.#inFlight?.stop()
    this.#operators?.close()
    for (const server of this.#servers) {
      server.close()
      server.closeAllConnections()
    }
    this.#connections.close()
    await this.#clients.close()
  }

  #startControllers (board: EntryBoard, self: EntryAddress, peers: Peers): Spreader {
    const { clock, log, store, seeds, restartTime, lostAfter, metric } = this.#options
    const current = this.#current
    const reports = this.#reports
    const spreader = new Spreader({ board, clock, current, reports, peers, clients: this.#clients, self, seeds })
    this.#scheduler.add(new Registrar(board, store, self, peers))
    this.#scheduler.add(new Watcher(board, current, store, self))
    this.#scheduler.add(new Fence({ board, clock, current, reports, log }))
    this.#scheduler.add(new NodeReader(board, store, clock, self))
    this.#scheduler.add(spreader)
    this.#scheduler.add(new Planning({ board, clock, current, reports, store, planner: new RepairingPlanner({ restartTime }), self, log, lostAfter }))
    this.#scheduler.add(new Voting({ board, clock, current, reports, store, self }))
    board.listen('platformAnswers', up => log.write(up ? 'store-back' : 'store-lost'))
    board.listen('placements', () => this.#scheduler.wake('spreader'))
    current.listen(configuration => {
      log.write('configuration-new', { revision: configuration.revision })
      metric.gauge('configuration.revision', configuration.revision)
      spreader.sendToAllNext()
      this.#scheduler.wake('spreader')
    })
    return spreader
  }

  #heads (service: string): Peer[] {
    const targets = this.#targets
    return targets?.regional(targets.heads(service)).map(({ candidate, address }) => ({ id: candidate.id, address })) ?? []
  }

  async #startCallers (board: EntryBoard, self: EntryAddress): Promise<string> {
    const { clock, log, metric, bodyLimit, deadline, lostAfter, callers: address } = this.#options
    const current = this.#current
    const targets = new Targets({ board, clock, current, reports: this.#reports, self, maxNearReportAge: lostAfter })
    this.#targets = targets
    this.#inFlight = new AttemptsInFlight(clock, targets)
    const context: Context = {
      clock,
      current,
      targets,
      inFlight: this.#inFlight,
      policy: new BalancedPolicy({ random: seeded(digest(self.id)) }),
      affinity: new Affinity(),
      budget: new RetryBudget(clock),
      clients: this.#clients,
      connections: this.#connections,
      log,
      metric
    }
    const callers = new Callers({ context, board, teams: new Teams(current), entry: self.id, bodyLimit, deadline })
    this.#callers = callers
    const server = makeServer({ handler: (request, response) => { callers.handle(request, response) } })
    const port = await listen(server, address)
    this.#servers.push(server)
    return `${splitAddress(address).host}:${port}`
  }

  async #startOperators (board: EntryBoard, self: EntryAddress): Promise<string> {
    const { clock, log, store, firstOperator, lostAfter, operators } = this.#options
    const current = this.#current
    const calls = new OperatorCalls({ board, clock, current, reports: this.#reports, store, clients: this.#clients, log, self, firstOperator, lostAfter })
    const listener = new DualListener(connectNodeAdapter({
      routes: router => calls.register(router),
      interceptors: [operatorCheck({ current, firstOperator })]
    }))
    this.#operators = listener
    const { host, port } = splitAddress(operators)
    return `${host}:${await listener.listen(host, port)}`
  }
}

/**
 * Accepts no new connections and keeps the existing ones open. The `close` of an HTTP server would also close idle
 * connections at once.
 */
function stopAccepting (server: Server): void {
  TcpServer.prototype.close.call(server)
}
