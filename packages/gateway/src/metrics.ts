/**
 * Metrics of a gateway in Prometheus' text format, served over HTTP. Operators' tools read the names and labels, so
 * they do not change (docs/operators/metrics.md). Owns the counters, the histograms and the listener; gauges are read
 * on request.
 */
import { createServer, type Server } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { type InFlight, type Rests } from '@eiderwind/detect'
import { type Queue } from '@eiderwind/dispatch'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { type CallerRequest, type Deliveries } from '@eiderwind/forward'
import { type TaskFailures } from '@eiderwind/life'
import { type Roster } from '@eiderwind/roster'
import { closeIdleConnections, listen, type Connections } from '@eiderwind/wire'
import { type Bodies } from './bodies.js'
import { type Budgets } from './budgets.js'
import { type EvacuationController } from './evacuationcontroller.js'
import { type UpstreamLimits } from './upstreamlimits.js'
import { type Rooms } from './rooms.js'
import { revisionInForce, type GatewayBoard } from './facts.js'
import { type UpstreamList } from './upstreamlist.js'

/** The parts that the gauges read. */
export interface MetricsOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly bodies: Bodies
  readonly deliveries: Deliveries
  readonly upstreamList: UpstreamList
  /** Whether new callers are sent to other gateways. */
  readonly away: () => boolean
  readonly roster: Roster
  readonly inFlight: InFlight
  readonly queue: Queue
  readonly connections: Connections
  readonly budgets: Budgets
  readonly rests: Rests
  readonly upstreamLimits: UpstreamLimits
  readonly evacuationController: EvacuationController
  /** Absent if each gateway searches for room alone. */
  readonly rooms: Rooms | undefined
  readonly failures: TaskFailures
}

const path = '/metrics'
const notFound = 404

/**
 * Bounds of the latency histogram, in s: around the objectives (0.2 to 0.5 s) and deadlines (1 to 8 s) of both sites.
 */
const buckets = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8]

/** Bounds of the error histogram, in s: from one step of an engine up to an objective. */
const errorBuckets = [0.005, 0.01, 0.015, 0.03, 0.06, 0.1, 0.15, 0.3, 0.6, 1.2]

/** Bounds of the histogram of the event loop's delays, in s: from a tenth of the time between two events to a pause. */
const loopDelayBuckets = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8]

/** Bounds of the histogram of the list's age, in s: from a round trip to above the usual bounds on leaving upstreams. */
const listAgeBuckets = [0.05, 0.1, 0.3, 0.6, 0.9, 1.2, 1.5, 2, 3, 6]

/** When this process started, in Unix s. */
const startTime = performance.timeOrigin / 1000

/** Counters, histograms and gauges. Labels are kinds, services and outcomes, of which there are few. */
export class Metrics {
  readonly #registry = new Registry()
  readonly #server: Server
  readonly #options: MetricsOptions
  readonly #requests: Counter<'kind' | 'service' | 'outcome'>
  readonly #refusals: Counter<'code'>
  readonly #shortages: Counter<'rule'>
  readonly #latencies: Histogram<'kind'>
  readonly #errors: Histogram
  readonly #loopDelays: Histogram
  readonly #listAges: Histogram
  readonly #attempts: Counter<'kind' | 'ending'>
  readonly #suspicions: Counter
  readonly #resumptions: Counter
  readonly #orders: Counter<'kind' | 'result'>
  readonly #rests: Counter
  readonly #connectionsClosed: Counter
  readonly #unlisted: Counter<'how'>
  readonly #invalidObjects: Counter<'kind'>

  constructor (options: MetricsOptions) {
    this.#options = options
    const registers = [this.#registry]
    this.#requests = new Counter({
      name: 'eiderwind_requests_total',
      help: 'Requests that ended, by how.',
      labelNames: ['kind', 'service', 'outcome'],
      registers
    })
    this.#refusals = new Counter({
      name: 'eiderwind_refusals_total',
      help: 'Requests refused before any upstream was chosen, by code.',
      labelNames: ['code'],
      registers
    })
    this.#shortages = new Counter({
      name: 'eiderwind_shortages_total',
      help: 'Requests refused for lack of room, by the rule that put others before them; none where room is not shared out fairly.',
      labelNames: ['rule'],
      registers
    })
    this.#latencies = new Histogram({
      name: 'eiderwind_request_seconds',
      help: 'Time from a request to its end.',
      labelNames: ['kind'],
      buckets,
      registers
    })
    this.#errors = new Histogram({
      name: 'eiderwind_first_event_error_seconds',
      help: 'Time by which the first event of a stream came earlier or later than expected.',
      buckets: errorBuckets,
      registers
    })
    this.#loopDelays = new Histogram({
      name: 'eiderwind_loop_delay_seconds',
      help: 'Delay of the event loop of this process, measured 20 times a second.',
      buckets: loopDelayBuckets,
      registers
    })
    this.#listAges = new Histogram({
      name: 'eiderwind_upstreams_age_at_send_seconds',
      help: 'Age of the list of upstreams when a request was written to one of them.',
      buckets: listAgeBuckets,
      registers
    })
    this.#attempts = new Counter({
      name: 'eiderwind_attempts_total',
      help: 'Sends to upstreams, by how they ended.',
      labelNames: ['kind', 'ending'],
      registers
    })
    this.#suspicions = new Counter({ name: 'eiderwind_suspicions_total', help: 'Heads suspected of having stalled.', registers })
    this.#resumptions = new Counter({
      name: 'eiderwind_resumptions_total',
      help: 'Streams that were resumed at another replica.',
      registers
    })
    this.#orders = new Counter({
      name: 'eiderwind_orders_total',
      help: 'Orders to engines, by answer.',
      labelNames: ['kind', 'result'],
      registers
    })
    this.#unlisted = new Counter({
      name: 'eiderwind_unlisted_total',
      help: 'Engines that were kept without an entry and no longer are, by how that ended.',
      labelNames: ['how'],
      registers
    })
    this.#invalidObjects = new Counter({
      name: 'eiderwind_invalid_objects_total',
      help: 'Objects of other writers that are not used, or of which a part is not used: each object and reason once.',
      labelNames: ['kind'],
      registers
    })
    this.#rests = new Counter({ name: 'eiderwind_rests_total', help: 'Rests that upstreams have asked this gateway for.', registers })
    this.#connectionsClosed = new Counter({ name: 'eiderwind_connections_closed_total', help: 'New connections of callers that were closed unread under overload.', registers })
    this.#registerGauges(registers)
    this.#server = createServer((request, response) => {
      if (request.url !== path) {
        response.statusCode = notFound
        response.end()
        return
      }
      this.text().then(text => {
        response.setHeader('content-type', this.#registry.contentType)
        response.end(text)
      }).catch(error => {
        options.failures.record('metrics', error)
        response.destroy()
      })
    })
    closeIdleConnections(this.#server)
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

  ended ({ route: { kind }, service, attempts, tried, shortage, listAge, timing: { error } }: CallerRequest, outcome: string, seconds: number): void {
    this.#requests.inc({ kind, service, outcome })
    this.#latencies.observe({ kind }, seconds)
    if (shortage !== undefined && outcome.startsWith('busy')) this.#shortages.inc({ rule: shortage })
    if (listAge !== undefined) this.#listAges.observe(listAge / 1000)
    if (error !== undefined) this.#errors.observe(Math.abs(error) / 1000)
    for (const each of attempts) this.#attempts.inc({ kind, ending: each.split(' ')[1] })
    const [first] = tried
    const isResumed = attempts.length > 1 && attempts[attempts.length - 1].split(' ')[0] !== first
    if (kind === 'stream' && isResumed && outcome.startsWith('answered 2')) this.#resumptions.inc()
  }

  /** Counts a connection that was closed unread under overload. */
  connectionClosed (): void {
    this.#connectionsClosed.inc()
  }

  /** @param delay in ms */
  loopDelayed (delay: number): void {
    this.#loopDelays.observe(delay / 1000)
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

  invalidObject (kind: string): void {
    this.#invalidObjects.inc({ kind })
  }

  rested (): void {
    this.#rests.inc()
  }

  #registerGauges (registers: Registry[]): void {
    const { clock, board, bodies, deliveries, upstreamList, away, inFlight, queue, connections, budgets, rests, upstreamLimits: { limits, tokens, cold }, evacuationController, failures } = this.#options
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
    single('eiderwind_upstreams_age_seconds', 'Age of the list of upstreams: time since the moment up to which it is complete.', () => upstreamList.age / 1000)
    single('eiderwind_flights', 'Requests in flight at upstreams.', () => inFlight.total)
    single('eiderwind_waiting', 'Requests queued for an upstream.', () => queue.count)
    single('eiderwind_teams_above_share', 'Teams that were served more than their share lately.', () => queue.teamsAboveShare)
    single('eiderwind_away', 'Whether this gateway runs short and has the balancer send new callers to others: 1 or 0.', () => Number(away()))
    single('eiderwind_slow_callers', 'Callers for whom a part of an answer is kept, since they have not read it.', () => deliveries.waiting)
    single('eiderwind_unread_bytes', 'Bytes of answers that are kept for them.', () => deliveries.bytes)
    single('eiderwind_body_bytes', 'Bytes of requests that are held until these have ended.', () => bodies.held)
    single('eiderwind_bodies_refused_total', 'Requests that were refused since their bodies found no room.', () => bodies.refused)
    single('eiderwind_callers_stalled_total', 'Callers whose connections were closed since they read nothing of what was kept for them.', () => deliveries.closed)
    single('eiderwind_connections_opened_total', 'Connections opened to upstreams.', () => connections.opened)
    single('eiderwind_resting', 'Upstreams that rest now, or are left out for a moment since they refuse.', () => rests.count)
    single('eiderwind_limited', 'Upstreams that name the requests a second that they take from all gateways together.', () => limits.namedIds.length)
    single('eiderwind_cold', 'Upstreams that are cold now, each with a limit for all gateways together.', () => cold.ids.length)
    single('eiderwind_limit_tokens_received_total', 'Tokens for limited upstreams that requests of this gateway asked for and got.', () => tokens.received)
    single('eiderwind_limit_tokens_used_total', 'Of those, tokens with which a request was sent; the others lapsed.', () => tokens.used)
    single('eiderwind_evacuated_data_centres', 'Data centres that the operator has evacuated, by what this gateway knows.', () => evacuationController.dataCentres.length)
    single('eiderwind_evacuated_flights', 'Requests in flight at upstreams of evacuated data centres.', () => evacuationController.running)
    single('eiderwind_evacuated_streams_moved_total', 'Streams that were resumed elsewhere since their data centre is evacuated.', () => evacuationController.moved)
    this.#registerRoomGauges(single)
    single('eiderwind_task_failures_total', 'Tasks of this program that ended by an error, each alone.', () => failures.count)
    single('eiderwind_start_time_seconds', 'When this process started, in Unix s. A change of it shows a restart.', () => startTime)
    single('eiderwind_memory_bytes', 'Resident memory of the process.', () => process.memoryUsage.rss())
    labelled('eiderwind_engines', 'Engines by the state of their membership.', 'state', () => this.#engines())
    labelled('eiderwind_retries_granted_total', 'Retries that the retry budget granted.', 'service', () => budgets.counts('granted'))
    labelled('eiderwind_retries_denied_total', 'Retries that were not made because the retry budget was used up.', 'service', () => budgets.counts('denied'))
    labelled('eiderwind_retries_sent_total', 'Retries that the retry budget granted and that were sent.', 'service', () => budgets.counts('sent'))
    labelled('eiderwind_retries_borrowed_total', 'Retries that other gateways lent to this one.', 'service', () => budgets.counts('borrowed'))
    labelled('eiderwind_retries_lent_total', 'Retries that this gateway lent to others.', 'service', () => budgets.counts('lent'))
    labelled('eiderwind_repeats_left', 'Retries left in the running window.', 'service', () => budgets.left)
  }

  #registerRoomGauges (single: (name: string, help: string, read: () => number) => void): void {
    const { rooms } = this.#options
    if (rooms === undefined) return
    const { placeClient, issuer, contention } = rooms
    single('eiderwind_rooms_contended', 'Models whose places are issued, since room at their heads is scarce.', () => contention.count)
    single('eiderwind_places_asked_total', 'Places that requests of this gateway asked for.', () => placeClient.requested)
    single('eiderwind_places_received_total', 'Of those, places that they got.', () => placeClient.received)
    single('eiderwind_places_refused_total', 'Of those, asks that were refused: no place in time.', () => placeClient.refused)
    single('eiderwind_places_alone_total', 'Requests that looked for room alone although it was contended: the issuer did not answer, or its places could not be used.', () => placeClient.alone)
    single('eiderwind_places_issued_total', 'Places that this gateway gave to requests of any gateway.', () => issuer.granted)
    single('eiderwind_places_waiting', 'Requests of any gateway that wait here for a place.', () => issuer.waiting)
  }

  /** Number of listed upstreams by the state of their membership; `none` for those in no replica. */
  #engines (): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { membership } of this.#options.roster.upstreams) {
      const state = membership?.state ?? 'none'
      counts[state] = (counts[state] ?? 0) + 1
    }
    return counts
  }
}
