import { type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { SystemClock } from '@eiderwind/clock'
import { CurrentConfiguration } from '@eiderwind/config'
import { Log, Metric } from '@eiderwind/log'
import { Affinity, BalancedPolicy, RetryBudget } from '@eiderwind/route'
import { emptyConfiguration, type EntryAddress, type Report, type Service } from '@eiderwind/schema'
import { Reports } from '@eiderwind/spread'
import { Clients, Connections, answerFault, listen, makeServer, type SettleAnswer } from '@eiderwind/wire'
import { Fault, type Code } from '@eiderwind/fault'
import { Callers } from '../src/callers.js'
import { entryBoard, type EntryBoard } from '../src/facts.js'
import { AttemptsInFlight } from '../src/inflight.js'
import { Targets } from '../src/targets.js'
import { Teams, secretDigest } from '../src/teams.js'

/** The key of the harness's only team, and the names of its services. */
export const key = 'key'
export const plain = 'receipts'
export const model = 'support'

const self: EntryAddress = { id: 'e1', dataCentre: 'd1', region: 'r1', peer: '127.0.0.1:1' }

/** How a fake worker answers one request. */
export type Answer = (request: IncomingMessage, response: ServerResponse) => void

/** A worker of the harness. */
export interface FakeWorker {
  readonly id: string
  readonly address: string
  /** Paths of the requests that it has received. */
  readonly requests: string[]
}

/** The behaviour of a fake worker. */
export interface WorkerBehaviour {
  /** Its answers to requests, in order. The last one is repeated. */
  readonly answers: readonly Answer[]
  /** Its answer to a settle call for any attempt. If undefined, it cuts the connection of the call. */
  readonly fate?: SettleAnswer
}

/** The callers' side of an entry, with real sockets and the fake workers that a test adds. */
export class Harness {
  readonly board: EntryBoard = entryBoard(self)
  readonly current = new CurrentConfiguration()
  readonly reports: Reports
  readonly #clock = new SystemClock()
  readonly #servers: Server[] = []
  readonly #clients = new Clients(this.#clock)
  readonly #connections = new Connections()
  readonly #inFlight: AttemptsInFlight
  readonly #callers: Callers
  readonly #failed: string[] = []
  /** The port at which callers reach the entry; 0 before the start. */
  port = 0

  constructor () {
    const { board, current } = this
    this.reports = new Reports(this.#clock)
    current.accept({
      ...emptyConfiguration,
      revision: 1,
      services: [service('plain'), service('model')],
      teams: [{ name: 'team', priority: 1, keys: [secretDigest(key)] }]
    })
    const targets = new Targets({ board, clock: this.#clock, current, reports: this.reports, self, maxNearReportAge: 60_000 })
    this.#inFlight = new AttemptsInFlight(this.#clock, targets)
    const context = {
      clock: this.#clock,
      current,
      targets,
      inFlight: this.#inFlight,
      // With this random source, workers of equal rank and without requests are tried in the order of their reports.
      policy: new BalancedPolicy({ random: () => 0 }),
      affinity: new Affinity(),
      budget: new RetryBudget(this.#clock),
      clients: this.#clients,
      connections: this.#connections,
      log: new Log({ sink: line => this.#note(line) }),
      metric: new Metric()
    }
    this.#callers = new Callers({ context, board, teams: new Teams(current), entry: self.id, bodyLimit: 1000, deadline: 10_000 })
  }

  /** The workers of the failed attempts, in order. */
  get failed (): readonly string[] {
    return this.#failed
  }

  async start (): Promise<void> {
    this.port = await this.#serve((request, response) => { this.#callers.handle(request, response) })
  }

  /** Adds a worker that answers over HTTP. A worker of the plain service is the home of every slot. */
  async worker (id: string, options: WorkerBehaviour, service = plain): Promise<FakeWorker> {
    const requests: string[] = []
    const port = await this.#serve((request, response) => {
      if (request.url === '/trpc/settle') return options.fate === undefined ? request.socket.destroy() : response.end(JSON.stringify(options.fate))
      const answer = options.answers[Math.min(requests.length, options.answers.length - 1)]
      requests.push(request.url ?? '')
      answer(request, response)
    })
    const worker = { id, address: `127.0.0.1:${port}`, requests }
    this.report(id, worker.address, service)
    return worker
  }

  /** Adds a report of a worker at any address. A worker of the model service is the head of a replica of its own. */
  report (id: string, address: string, service: string): void {
    const replica = service === model ? `${id}-replica` : undefined
    this.reports.accept({ report: reportOf(id, address, service, replica), age: 0 }, 'worker')
    if (replica === undefined) return
    const made = { id: replica, service, generation: 1, members: [id], version: 'v1', adapters: [], state: 'serving' as const }
    this.board.write('placements', new Map(this.board.read('placements')).set(id, { domain: id, revision: 1, generation: 1, replicas: [made] }))
  }

  /** Sends a caller's request. */
  async ask (path: string, init: RequestInit = {}): Promise<Response> {
    return await fetch(`http://127.0.0.1:${this.port}${path}`, { ...init, headers: { authorization: `Bearer ${key}`, ...init.headers } })
  }

  async stop (): Promise<void> {
    this.#inFlight.stop()
    for (const server of this.#servers) {
      server.close()
      server.closeAllConnections()
    }
    this.#connections.close()
    await this.#clients.close()
  }

  #note (line: string): void {
    const { name, worker } = JSON.parse(line) as { name: string, worker: string }
    if (name === 'attempt-failed') this.#failed.push(worker)
  }

  async #serve (handler: Answer): Promise<number> {
    const server = makeServer({ handler })
    this.#servers.push(server)
    return await listen(server, '127.0.0.1:0')
  }
}

/** Answers as an upstream, with the id of the attempt in the answer. */
export function echo (text: string): Answer {
  return (request, response) => {
    response.setHeader('eiderwind-attempt', request.headers['eiderwind-attempt'] ?? '')
    response.end(text)
  }
}

/** Refuses as a worker. */
export function refusal (code: Code, noEarlierRun = false): Answer {
  return (_request, response) => {
    if (noEarlierRun) response.setHeader('eiderwind-judged', '1')
    answerFault(response, new Fault(code))
  }
}

/** Accepts the request and cuts the connection. */
export const cutConnection: Answer = request => { request.socket.destroy() }

/** Accepts the request and never answers. */
export const neverAnswer: Answer = () => {}

function service (kind: 'plain' | 'model'): Service {
  const bounds = { concurrency: 8, queue: 8 }
  if (kind === 'plain') return { kind, name: plain, routes: [{ method: 'POST', path: '/topups', repeatable: false }], ...bounds }
  return { kind, name: model, replicas: 1, members: 1, version: 'v1', adapters: [], checksOrders: true, ...bounds }
}

/** A report of a serving worker. */
export function reportOf (worker: string, address: string, name: string, replica: string | undefined): Report {
  return {
    worker,
    incarnation: `${worker}-1`,
    address,
    dataCentre: self.dataCentre,
    sequence: 1,
    service: name,
    replica,
    generation: replica === undefined ? undefined : 1,
    members: replica === undefined ? undefined : 1,
    serving: true,
    leaving: false,
    healthy: true,
    running: 0,
    queued: 0,
    concurrency: 8,
    missing: [],
    slots: Array.from({ length: 12 }, (_each, slot) => ({ slot, tenure: 1 })),
    loaded: undefined,
    votersRevision: undefined,
    revision: 1
  }
}
