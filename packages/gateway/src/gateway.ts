import { type Clock, type Subscription } from '@eiderwind/clock'
import { InFlight, Pauses, Stalls, Suspects } from '@eiderwind/detect'
import { Choice, Queue, RetryBudget } from '@eiderwind/dispatch'
import { Forming } from '@eiderwind/forming'
import { type CallerRequest, type Context } from '@eiderwind/forward'
import { ranked } from '@eiderwind/hash'
import { type Log } from '@eiderwind/log'
import { Peers, type Beat } from '@eiderwind/peers'
import { Outage, Roster } from '@eiderwind/roster'
import { type Service } from '@eiderwind/traffic'
import { Connections } from '@eiderwind/wire'
import { Callers } from './callers.js'
import { Confirmations } from './confirmations.js'
import { Work } from './demand.js'
import { gatewayBoard, type GatewayBoard } from './facts.js'
import { Metrics, type Reading } from './metrics.js'
import { Health } from './health.js'
import { following } from './following.js'
import { type Platform } from './platform.js'
import { RelayedOrders } from './relayed.js'

/** Settings of a direct entry. Spans are in ms. */
export interface GatewaySettings {
  readonly id: string
  readonly dataCentre: string
  /** Whether the whole system starts for the first time, so that no caller can have been served yet. */
  readonly first: boolean
  /** `host:port` for callers, for the balancer's question, and for other entries. */
  readonly callers: string
  readonly health: string
  readonly peers: string
  /** `host:port` on which the figures are told; nowhere where it is empty. */
  readonly metrics: string
  /** How old the newest confirmation of the configuration may be for requests with keys. */
  readonly freshness: number
  /** Repeats for each request of callers, beyond which `retrySlack` more are allowed in `retryWindow`, over all entries. */
  readonly retryRatio: number
  readonly retrySlack: number
  readonly retryWindow: number
  /** Silence of all streams of a head after which it is suspected. */
  readonly silence: number
  /** Time between two heartbeats of an upstream. */
  readonly pulse: number
  /** Time from the word to stop until the balancer has noticed, until new requests are refused, and until the end. */
  readonly notice: number
  readonly refuseAfter: number
  readonly grace: number
}

/** What a direct entry is made from. */
export interface GatewayOptions {
  readonly clock: Clock
  readonly log: Log
  readonly platform: Platform
  readonly settings: GatewaySettings
}

/** Time between two beats, and silence after which another entry counts as gone, in ms. */
const beatInterval = 250
const beatPatience = 1000

/** An entry that starts, or wakes from standing still, acts for nobody before it has had the time to hear the others, in ms. */
const settleTime = 1100

/** Time between two samples of the work, in ms. */
const sampleInterval = 500

/** Entries that are reckoned with as long as nothing is known of them. */
const unknownEntries = 8

/** Time within which a connection to an upstream has to come up, in ms: over many times the way to it and back. */
const connectTime = 350

/** Entries that ask the store for confirmations often; the others hear them from these. */
const confirmers = 2
const confirmersKey = 'confirmers'

/** Of ordinary successes one in this many is logged. */
const sampling = 50

/** An entry that calls its upstreams directly: it serves callers and acts for the replicas of its services. */
export class Gateway {
  readonly #options: GatewayOptions
  readonly #board: GatewayBoard = gatewayBoard()
  readonly #outage: Outage
  readonly #roster: Roster
  readonly #peers: Peers
  readonly #inFlight: InFlight
  readonly #suspects: Suspects
  readonly #connections = new Connections({ connectTime })
  readonly #pauses: Pauses
  readonly #callers: Callers
  readonly #confirmations: Confirmations
  readonly #health: Health
  readonly #stalls: Stalls
  readonly #forming: Forming
  readonly #metrics = new Metrics(() => this.#reading())
  readonly #work = new Work()
  readonly #repeats = new Map<string, RetryBudget>()
  readonly #queue: Queue
  readonly #acting = new Set<string>()
  readonly #startedAt: number
  #timer: Subscription | undefined
  #successes = 0
  #unconfirmed = false

  constructor (options: GatewayOptions) {
    const { clock, log, platform, settings } = options
    this.#options = options
    this.#startedAt = clock.now()
    this.#pauses = new Pauses(clock)
    this.#outage = new Outage(clock)
    this.#roster = new Roster(clock, this.#outage)
    this.#suspects = new Suspects(clock, this.#roster)
    this.#queue = new Queue(clock)
    this.#inFlight = new InFlight(clock, () => this.#queue.wake())
    this.#peers = new Peers({ clock, id: settings.id, address: settings.peers, beat: () => this.#beat(), interval: beatInterval, patience: beatPatience })
    const { names } = platform
    const choice = new Choice({ clock, roster: this.#roster, inFlight: this.#inFlight, peers: this.#peers, suspects: this.#suspects, dataCentre: settings.dataCentre, random: Math.random })
    const context: Context = {
      clock,
      log,
      names,
      roster: this.#roster,
      connections: this.#connections,
      inFlight: this.#inFlight,
      choice,
      suspects: this.#suspects,
      queue: this.#queue,
      retryBudget: service => this.#repeatsOf(service)
    }
    this.#callers = new Callers({ context, board: this.#board, address: settings.callers, freshness: settings.freshness, random: Math.random, refused: code => this.#metrics.refused(code), ended: (exchange, outcome) => this.#ended(exchange, outcome) })
    this.#confirmations = new Confirmations({ clock, board: this.#board, peers: this.#peers, connections: this.#connections, address: settings.peers, orders: platform.orders })
    this.#health = new Health(settings.health, () => this.ready)
    this.#stalls = new Stalls({
      clock,
      log,
      roster: this.#roster,
      inFlight: this.#inFlight,
      suspects: this.#suspects,
      silence: settings.silence,
      pauses: this.#pauses,
      suspected: () => {
        this.#metrics.suspected()
        this.#peers.tell()
      }
    })
    this.#forming = new Forming({
      clock,
      roster: this.#roster,
      orders: new RelayedOrders({ clock, orders: platform.orders, peers: this.#peers, connections: this.#connections }),
      probes: platform.probes,
      pulseTime: settings.pulse,
      wokeAt: () => this.#pauses.wokeAt,
      placements: platform.placements,
      services: () => this.#services,
      acts: service => this.#acts(service),
      suspects: () => new Set([...this.#suspects.all, ...this.#peers.live.flatMap(each => each.suspects)]),
      demand: () => this.#work.demand,
      unserved: () => settings.first && !this.#callers.served && !this.#peers.live.some(each => each.served),
      decided: (domain, note, epoch) => log.write('replica-decided', { domain, note, epoch }),
      ordered: (order, result, took) => {
        const { kind, node: upstream, replica, epoch, model } = order
        this.#metrics.ordered(kind, result)
        log.write('engine-order', { kind, upstream, replica, epoch, model, result, took: Math.round(took) })
      },
      failed: error => log.write('controller-failed', { controller: 'forming', cause: String((error as Error).stack) })
    })
    this.#roster.listen(() => this.#queue.wake())
  }

  /** Whether the balancer should send callers here. */
  get ready (): boolean {
    return this.#board.read('inForce') !== undefined && this.#roster.known && !this.#board.read('stopping') && this.#callers.fresh
  }

  async start (): Promise<void> {
    const { clock, log, platform, settings } = this.#options
    await Promise.all([this.#callers.start(), this.#health.start(), this.#confirmations.start(), this.#peers.start()])
    if (settings.metrics !== '') await this.#metrics.start(settings.metrics)
    platform.follow(following({ clock, log, board: this.#board, roster: this.#roster, outage: this.#outage, peers: this.#peers }))
    platform.enter({ id: settings.id, address: settings.peers })
    this.#pauses.start()
    this.#stalls.start()
    this.#forming.start()
    this.#timer = clock.every(sampleInterval, () => this.#sample())
  }

  /** Has the balancer send callers elsewhere, finishes what is in flight, and ends. */
  async stop (): Promise<void> {
    const { clock, platform, settings } = this.#options
    const begun = clock.now()
    this.#board.write('stopping', true)
    await clock.wait(settings.notice)
    while (this.#callers.open > 0 && clock.now() - begun < settings.grace) {
      if (clock.now() - begun > settings.refuseAfter) this.#callers.refuse()
      await clock.wait(50)
    }
    this.#callers.close()
    this.#timer?.cancel()
    this.#forming.stop()
    this.#stalls.stop()
    this.#pauses.stop()
    this.#confirmations.stop()
    this.#peers.stop()
    this.#health.stop()
    this.#metrics.stop()
    platform.stop()
    this.#connections.close()
  }

  get #services (): readonly Service[] {
    return this.#board.read('inForce')?.traffic.services ?? []
  }

  #acts (service: string): boolean {
    const acts = this.#mayAct && ranked(service, this.#able)[0] === this.#options.settings.id
    if (acts !== this.#acting.has(service)) {
      this.#options.log.write(acts ? 'planner-acts' : 'planner-rests', { service, able: this.#able.length })
      if (acts) this.#acting.add(service)
      else this.#acting.delete(service)
    }
    return acts
  }

  /** Ids of the entries that are able to act, this one included where it is. */
  get #able (): string[] {
    const { id } = this.#options.settings
    return this.#mayAct ? [id, ...this.#peers.able] : this.#peers.able
  }

  get #mayAct (): boolean {
    if (!this.#board.read('store') || !this.#board.read('listed') || this.#board.read('stopping')) return false
    if (!this.#options.settings.first && !this.#outage.whole) return false
    return this.#options.clock.now() - Math.max(this.#startedAt, this.#pauses.wokeAt) > settleTime
  }

  #repeatsOf (service: string): RetryBudget {
    const known = this.#repeats.get(service)
    if (known !== undefined) return known
    const { clock, settings } = this.#options
    const entries = (): number => this.#board.read('listed') ? this.#peers.addresses.length + 1 : unknownEntries
    const made = new RetryBudget(clock, { ratio: settings.retryRatio, slack: settings.retrySlack, window: settings.retryWindow, entries })
    this.#repeats.set(service, made)
    return made
  }

  #beat (): Beat {
    return {
      id: this.#options.settings.id,
      revision: this.#board.read('inForce')?.traffic.revision ?? 0,
      able: this.#mayAct,
      loads: this.#inFlight.counts,
      suspects: this.#suspects.all,
      models: this.#inFlight.models,
      served: this.#callers.served
    }
  }

  #reading (): Reading {
    const { clock } = this.#options
    const replicas: Record<string, number> = {}
    for (const { membership } of this.#roster.all) {
      const state = membership?.state ?? 'none'
      replicas[state] = (replicas[state] ?? 0) + 1
    }
    return {
      revision: this.#board.read('inForce')?.traffic.revision ?? 0,
      confirmationAge: (clock.now() - this.#board.read('confirmedAt')) / 1000,
      replicas,
      flights: Object.values(this.#inFlight.counts).reduce((sum, each) => sum + each, 0),
      waiting: this.#queue.count,
      connections: this.#connections.opened,
      repeatsLeft: Object.fromEntries([...this.#repeats].map(([service, each]) => [service, each.left]))
    }
  }

  #sample (): void {
    this.#work.sample([this.#inFlight.models, ...this.#peers.live.map(each => each.models)])
    const { log, platform, settings } = this.#options
    platform.hurry(this.#acting.size > 0)
    platform.confirms(!this.#mayAct || ranked(confirmersKey, this.#able).slice(0, confirmers).includes(settings.id))
    const unconfirmed = this.#board.read('inForce') !== undefined && !this.#callers.fresh
    if (unconfirmed === this.#unconfirmed) return
    this.#unconfirmed = unconfirmed
    log.write(unconfirmed ? 'configuration-unconfirmed' : 'configuration-confirmed', { revision: this.#board.read('inForce')?.traffic.revision })
  }

  #ended (exchange: CallerRequest, outcome: string): void {
    this.#metrics.ended(exchange, outcome, (this.#options.clock.now() - exchange.arrivedAt) / 1000)
    const good = outcome === 'answered 200' || outcome === 'answered'
    if (good && exchange.story.length < 2 && ++this.#successes % sampling !== 0) return
    const { id, route, service, team, arrivedAt, story, running } = exchange
    const took = Math.round(this.#options.clock.now() - arrivedAt)
    const attempts = [...story, ...running === undefined ? [] : [`${running} under way`]].join('; ')
    this.#options.log.write('request-ended', { request: id, route: route.name, service, team: team?.name, outcome, took, attempts })
  }
}
