/**
 * Metrics of a gateway in Prometheus' text format, served over HTTP. Names and labels are read by operators' tools and do
 * not change (docs/operators/metrics.md). Owns the counters, the histogram and the listener; gauges are read when asked for.
 */
import { createServer, type Server } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { type InFlight, type Rests } from '@eiderwind/detect'
import { type Queue } from '@eiderwind/dispatch'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { type CallerRequest } from '@eiderwind/forward'
import { type Roster } from '@eiderwind/roster'
import { listen, type Connections } from '@eiderwind/wire'
import { type Budgets } from './budgets.js'
import { type Limiting } from './limiting.js'
import { revisionInForce, type GatewayBoard } from './facts.js'

/** The parts that the gauges read. */
export interface MetricsOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly roster: Roster
  readonly inFlight: InFlight
  readonly queue: Queue
  readonly connections: Connections
  readonly budgets: Budgets
  readonly rests: Rests
  readonly limiting: Limiting
}

const path = '/metrics'
const notFound = 404

/** Bounds of the histogram, in s: around the objectives (0.2 to 0.5 s) and deadlines (1 to 8 s) of both sites. */
const buckets = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8]

/** Counters, a latency histogram and gauges. Labels are kinds, services and outcomes, which are few. */
export class Metrics {
  readonly #registry = new Registry()
  readonly #server: Server
  readonly #options: MetricsOptions
  readonly #requests: Counter<'kind' | 'service' | 'outcome'>
  readonly #refusals: Counter<'code'>
  readonly #times: Histogram<'kind'>
  readonly #attempts: Counter<'kind' | 'ending'>
  readonly #suspicions: Counter
  readonly #resumptions: Counter
  readonly #orders: Counter<'kind' | 'result'>
  readonly #rests: Counter
  readonly #unlisted: Counter<'how'>

  constructor (options: MetricsOptions) {
    this.#options = options
    const registers = [this.#registry]
    this.#requests = new Counter({ name: 'eiderwind_requests_total', help: 'Requests that ended, by how.', labelNames: ['kind', 'service', 'outcome'], registers })
    this.#refusals = new Counter({ name: 'eiderwind_refusals_total', help: 'Requests refused before any upstream was chosen, by code.', labelNames: ['code'], registers })
    this.#times = new Histogram({ name: 'eiderwind_request_seconds', help: 'Time from a request to its end.', labelNames: ['kind'], buckets, registers })
    this.#attempts = new Counter({ name: 'eiderwind_attempts_total', help: 'Sends to upstreams, by how they ended.', labelNames: ['kind', 'ending'], registers })
    this.#suspicions = new Counter({ name: 'eiderwind_suspicions_total', help: 'Heads suspected of having stalled.', registers })
    this.#resumptions = new Counter({ name: 'eiderwind_resumptions_total', help: 'Streams that were resumed at another replica.', registers })
    this.#orders = new Counter({ name: 'eiderwind_orders_total', help: 'Orders to engines, by answer.', labelNames: ['kind', 'result'], registers })
    this.#unlisted = new Counter({ name: 'eiderwind_unlisted_total', help: 'Engines that were kept without an entry and no longer are, by how that ended.', labelNames: ['how'], registers })
    this.#rests = new Counter({ name: 'eiderwind_rests_total', help: 'Rests that upstreams have asked this gateway for.', registers })
    this.#gauges(registers)
    this.#server = createServer((request, response) => {
      if (request.url !== path) {
        response.statusCode = notFound
        response.end()
        return
      }
      this.text().then(text => {
        response.setHeader('content-type', this.#registry.contentType)
        response.end(text)
      }, () => response.destroy())
    })
  }

  async start (address: string): Promise<void> {
    await listen(this.#server, address)
  }

  stop (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** All metrics as text. */
  async text (): Promise<string> {
    return await this.#registry.metrics()
  }

  ended ({ route: { kind }, service, attempts }: CallerRequest, outcome: string, seconds: number): void {
    this.#requests.inc({ kind, service, outcome })
    this.#times.observe({ kind }, seconds)
    for (const each of attempts) this.#attempts.inc({ kind, ending: each.split(' ')[1] })
    if (kind === 'stream' && attempts.length > 1 && outcome.startsWith('answered 2')) this.#resumptions.inc()
  }

  refused (code: string): void {
    this.#refusals.inc({ code })
  }

  suspected (): void {
    this.#suspicions.inc()
  }

  ordered (kind: string, result: string): void {
    this.#orders.inc({ kind, result })
  }

  unlistedEnded (how: string): void {
    this.#unlisted.inc({ how })
  }

  rested (): void {
    this.#rests.inc()
  }

  #gauges (registers: Registry[]): void {
    const { clock, board, inFlight, queue, connections, budgets, rests, limiting: { limits, tokens } } = this.#options
    const single = (name: string, help: string, read: () => number): void => {
      const gauge: Gauge = new Gauge({ name, help, registers, collect: () => gauge.set(read()) })
    }
    const labelled = (name: string, help: string, label: string, read: () => Readonly<Record<string, number>>): void => {
      const gauge: Gauge = new Gauge({
        name,
        help,
        labelNames: [label],
        registers,
        collect: () => {
          gauge.reset()
          for (const [key, value] of Object.entries(read())) gauge.set({ [label]: key }, value)
        }
      })
    }
    single('eiderwind_configuration_revision', 'Revision of the configuration in force.', () => revisionInForce(board))
    single('eiderwind_confirmation_age_seconds', 'Age of the newest confirmation of the configuration.', () => (clock.bootNow() - board.read('confirmedAt')) / 1000)
    single('eiderwind_flights', 'Requests in flight at upstreams.', () => inFlight.total)
    single('eiderwind_waiting', 'Requests queued for an upstream.', () => queue.count)
    single('eiderwind_connections_opened_total', 'Connections opened to upstreams.', () => connections.opened)
    single('eiderwind_resting', 'Upstreams that rest now, or are left out for a moment since they refuse.', () => rests.count)
    single('eiderwind_limited', 'Upstreams that name the requests a second that they take from all gateways together.', () => limits.limited.length)
    single('eiderwind_limit_tokens_received_total', 'Tokens for limited upstreams that requests of this gateway asked for and got.', () => tokens.received)
    single('eiderwind_limit_tokens_used_total', 'Of those, tokens with which a request was sent; the others lapsed.', () => tokens.used)
    single('eiderwind_memory_bytes', 'Resident memory of the process.', () => process.memoryUsage.rss())
    labelled('eiderwind_engines', 'Engines by the state of their membership.', 'state', () => this.#engines())
    labelled('eiderwind_repeats_left', 'Retries left in the running window.', 'service', () => budgets.left)
  }

  /** Listed upstreams by the state of their membership, `none` for those in no replica. */
  #engines (): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { membership } of this.#options.roster.upstreams) {
      const state = membership?.state ?? 'none'
      counts[state] = (counts[state] ?? 0) + 1
    }
    return counts
  }
}
