/**
 * Connects the reconciler of `forming` to this gateway: the inputs that it reads from other parts, and the logs and
 * metrics of its decisions and orders.
 */
import { majoritySuspects, type InFlight, type Pauses, type Suspects } from '@eiderwind/detect'
import { Reconciler, type Demand, type Order, type OrderResult } from '@eiderwind/forming'
import { type Peers } from '@eiderwind/peers'
import { type Roster } from '@eiderwind/roster'
import { type Connections } from '@eiderwind/wire'
import { type ModelLoad } from './demand.js'
import { type GatewayBoard } from './facts.js'
import { type Leadership } from './leadership.js'
import { type Metrics } from './metrics.js'
import { OrderRelay } from './orderrelay.js'
import { PeerProbes } from './peerprobes.js'
import { RelayCalls } from './relaycalls.js'
import { Relays } from './relays.js'
import { type GatewayOptions } from './settings.js'

/** The parts that planning reads, or to which it reports. */
export interface PlanningOptions extends GatewayOptions {
  readonly board: GatewayBoard
  readonly roster: Roster
  readonly suspects: Suspects
  readonly inFlight: InFlight
  readonly pauses: Pauses
  readonly peers: Peers
  readonly connections: Connections
  readonly leadership: Leadership
  readonly modelLoad: ModelLoad
  readonly metrics: Metrics
  /** Whether this gateway ever got a request from a caller. */
  readonly served: () => boolean
}

/** How long a planner's announced loads still count after its last heartbeat, in ms: the longest load (16 s). */
const loadRetention = 16_000

/** Creates the reconciler of this gateway, without starting it. */
export function makeReconciler (options: PlanningOptions): Reconciler {
  const { clock, log, platform, settings, board, roster, suspects, inFlight, pauses, peers, connections, leadership, modelLoad, metrics, served } = options
  const relayCalls = new RelayCalls({ clock, relays: new Relays(clock, peers), connections })
  return new Reconciler({
    clock,
    roster,
    orders: new OrderRelay(platform.orders, relayCalls),
    probes: platform.probes,
    indirectProbes: new PeerProbes(relayCalls),
    heartbeatInterval: settings.upstreamHeartbeatInterval,
    resumedAt: () => pauses.resumedAt,
    placements: platform.placements,
    services: () => board.read('inForce')?.traffic.services ?? [],
    leads: service => leadership.isPlanning(service),
    contested: service => { leadership.contested(service).catch(() => { /* Never rejects: it returns its errors. */ }) },
    suspects: () => majoritySuspects([{ inFlight: inFlight.counts, suspects: suspects.all }, ...peers.live]),
    demand: () => modelLoad.demand,
    othersLoads: () => new Map(peers.seenWithin(loadRetention).flatMap(each => Object.entries(each.loads))),
    beforeTraffic: () => settings.isFirstStart && !served() && !peers.live.some(each => each.served),
    awaitsAnswers: head => requestsAt(options, head.id) > 0,
    decided: (domain, note, epoch, evidence) => log.write('replica-decided', { domain, note, epoch, evidence, ...sharesField(modelLoad.demand) }),
    keepUnlisted: settings.keepUnlisted,
    warmSpares: settings.warmSpares,
    unlisted: ({ id: upstream, domain, membership }) => log.write('engine-unlisted', {
      upstream,
      domain,
      replica: membership?.replica ?? '',
      rank: membership?.rank
    }),
    unlistedEnded: ({ id: upstream, domain }, how) => {
      metrics.unlistedEnded(how)
      log.write('engine-unlisted-ended', { upstream, domain, how })
    },
    surveyed: (domain, survey) => log.write('engines-surveyed', { domain, ...survey }),
    sending: (order, evidence) => recordOrder(options, order, evidence),
    failed: error => log.write('controller-failed', { controller: 'forming', cause: String((error as Error).stack) })
  })
}

/** Each model's share of the load, on which targets depend, as text. Absent while the configured shares count. */
function sharesField (demand: Demand): { shares?: string } {
  if (demand.size === 0) return {}
  return { shares: [...demand].map(([model, share]) => `${model} ${share.toFixed(2)}`).join(', ') }
}

/** Counts and logs an order to an engine once it has ended. Returns the function to call with its result. */
function recordOrder (options: PlanningOptions, order: Order, evidence: string | undefined): (result: OrderResult) => void {
  const { clock, log, metrics } = options
  const { kind, node: upstream, replica, epoch, model, manner, reason } = order
  const sentAt = clock.now()
  const affected = kind === 'close' ? affectedStreams(options, upstream) : {}
  return result => {
    metrics.ordered(kind, result)
    log.write('engine-order', { kind, upstream, replica, epoch, model, manner, reason, evidence, ...affected, result, took: Math.round(clock.now() - sentAt) })
  }
}

/**
 * What an order to close ends: the requests in flight at the head, from all gateways, and how long ago this gateway
 * received anything from it, in ms.
 */
function affectedStreams (options: PlanningOptions, head: string): { streams: number, silence: number | undefined } {
  const { clock, inFlight } = options
  const receivedAt = inFlight.lastReceivedFrom(head)
  return { streams: requestsAt(options, head), silence: receivedAt === undefined ? undefined : Math.round(clock.now() - receivedAt) }
}

/** Requests in flight at a head, from all gateways. */
function requestsAt ({ inFlight, peers }: PlanningOptions, head: string): number {
  return peers.live.reduce((sum, each) => sum + (each.inFlight[head] ?? 0), inFlight.count(head))
}
