/**
 * Gateways with streams at the heads of emulated replicas. Each has the real detection of stalls, and its suspicions
 * reach the other gateways as on the platform. Owns the streams. Relies on the engines to tell whether a replica makes
 * progress.
 */
import { type Random } from '@eiderwind/clock'
import { InFlight, Pauses, Stalls, Suspects, majoritySuspects, type GatewayView, type InFlightRequest } from '@eiderwind/detect'
import { Log } from '@eiderwind/log'
import { type SilentWorld } from './silentworld.js'

/** How long all streams of a head may be silent before it is suspected, in ms. */
const maxSilence = 400

/** Time between two events of a stream, in ms. */
export const eventInterval = 50

/** Time between two heartbeats of a gateway to the others, and until a suspicion reaches them, in ms. */
const viewInterval = 250
const suspicionDelay = 10

/** Time after which the view of a gateway that sends none no longer counts, in ms. */
const viewLifetime = 1000

/** Least and greatest number of events of a stream. */
const minEvents = 20
const maxEvents = 120

/** Share of the streams that may not be resumed elsewhere. */
const fixedShare = 0.4

/** How a stream left its head early. */
export type Departure = 'moved' | 'cut' | 'reset' | 'broken'

/** A stream at a head. */
export interface Stream {
  readonly gateway: Gateway
  readonly head: string
  readonly replica: string
  readonly model: string
  readonly request: InFlightRequest
  /** Whether it may go on at another head. */
  readonly resumable: boolean
  /** Events until its end. */
  remaining: number
}

/** A gateway: what it knows of its streams, and the suspicions that follow. */
export class Gateway {
  readonly inFlight: InFlight
  readonly suspects: Suspects
  readonly pauses: Pauses
  readonly stalls: Stalls
  /** Until when its process is paused, on the clock, in ms. */
  pausedUntil = -Infinity
  /** What it last sent to the others, and when. */
  sent: { readonly view: GatewayView, readonly at: number } | undefined
  /** Heads whose events do not reach this gateway. */
  readonly cut = new Set<string>()
  readonly #world: SilentWorld

  constructor (world: SilentWorld, others: () => readonly GatewayView[]) {
    const { clock, roster } = world
    this.#world = world
    this.inFlight = new InFlight(clock, () => {})
    this.suspects = new Suspects(clock, roster)
    this.pauses = new Pauses(clock)
    this.stalls = new Stalls({ clock, log: new Log({ sink: () => {} }), roster, inFlight: this.inFlight, suspects: this.suspects, pauses: this.pauses, maxSilence, peerViews: others, suspected: () => { clock.after(suspicionDelay, () => this.sendView()) } })
  }

  get isPaused (): boolean {
    return this.#world.clock.now() < this.pausedUntil
  }

  /** When its process last resumed, on the clock; Infinity while it is paused. */
  get resumedAt (): number {
    return this.isPaused ? Infinity : this.pauses.resumedAt
  }

  get view (): GatewayView {
    return { inFlight: this.inFlight.counts, suspects: this.suspects.all }
  }

  sendView (): void {
    if (!this.isPaused) this.sent = { view: this.view, at: this.#world.clock.now() }
  }
}

/** Options of the gateways. */
export interface GatewaysOptions {
  readonly random: Random
  /** Number of gateways, and of streams of all gateways together. */
  readonly gateways: number
  readonly streams: number
  /** Called when a stream leaves its head before its end. */
  readonly left: (stream: Stream, how: Departure) => void
}

/** All gateways, and their streams. */
export class Gateways {
  readonly all: Gateway[]
  readonly streams = new Set<Stream>()
  readonly #world: SilentWorld
  readonly #options: GatewaysOptions

  constructor (world: SilentWorld, options: GatewaysOptions) {
    this.#world = world
    this.#options = options
    this.all = Array.from({ length: options.gateways }, (_each, index) => new Gateway(world, () => this.#viewsBeside(index)))
    world.clock.every(eventInterval, () => this.#tick())
    world.clock.every(viewInterval, () => { for (const each of this.all) each.sendView() })
  }

  /** Heads that a majority of the concerned gateways suspects, as the gateway with this index knows it. */
  suspectsKnownBy (index: number): Set<string> {
    return majoritySuspects([this.all[index].view, ...this.#viewsBeside(index)])
  }

  /** The streams at a head. */
  at (head: string): Stream[] {
    return [...this.streams].filter(each => each.head === head)
  }

  /** Ends the streams of a head early. */
  end (head: string, how: Departure): void {
    for (const each of this.at(head)) this.#leave(each, how)
  }

  /** Ends the streams of a head whose replica completes its requests and then closes. */
  finish (head: string): void {
    for (const each of this.at(head)) this.#remove(each)
  }

  #viewsBeside (index: number): GatewayView[] {
    const now = this.#world.clock.now()
    return this.all.flatMap(({ sent }, other) => other === index || sent === undefined || now - sent.at > viewLifetime ? [] : [sent.view])
  }

  /** One event of each stream that makes progress, the checks of the gateways, and new streams. */
  #tick (): void {
    const open = this.#world.openReplicas
    const going = new Set(open.filter(({ members }) => this.#world.progresses(members)).map(each => each.head))
    for (const stream of [...this.streams]) this.#advance(stream, going)
    for (const each of this.all) if (!each.isPaused) each.stalls.check()
    const missing = this.#options.streams - this.streams.size
    for (let index = 0; index < missing; index++) this.#begin(this.all[Math.floor(this.#options.random() * this.all.length)], open)
  }

  #advance (stream: Stream, going: ReadonlySet<string>): void {
    const { head, replica, gateway } = stream
    const { membership } = this.#world.upstream(head)
    const death = this.#world.deathOf(head)
    if (death === 'process' || (death === 'machine' && this.#world.roster.find(head) === undefined)) return this.#leave(stream, 'reset')
    if (membership?.replica === replica && membership.state === 'broken') return this.#leave(stream, 'broken')
    if (!going.has(head) || gateway.cut.has(head) || gateway.isPaused) return
    gateway.inFlight.received(stream.request)
    gateway.suspects.received(head)
    if (--stream.remaining <= 0) this.#remove(stream)
  }

  #begin (gateway: Gateway, open: SilentWorld['openReplicas'], model?: string, remaining?: number): boolean {
    const { random } = this.#options
    if (gateway.isPaused) return false
    const choices = open.filter(each => (model === undefined || each.model === model) && this.#mayServe(gateway, each.head))
    if (choices.length === 0) return false
    const { head, model: served } = choices[Math.floor(random() * choices.length)]
    const resumable = random() >= fixedShare
    gateway.suspects.recordTry(head)
    const stream: Stream = {
      gateway,
      head,
      replica: this.#world.upstream(head).membership?.replica ?? '',
      model: served,
      request: gateway.inFlight.begin(head, served, { stalled: () => { if (resumable) this.#move(stream) } }),
      resumable,
      remaining: remaining ?? minEvents + Math.floor(random() * (maxEvents - minEvents))
    }
    this.streams.add(stream)
    return true
  }

  #mayServe (gateway: Gateway, head: string): boolean {
    const listed = this.#world.roster.find(head)
    return listed !== undefined && !listed.leaving && listed.membership?.state === 'open' && gateway.suspects.mayTry(head)
  }

  /** Moves a stream to another head of its model, if there is one. */
  #move (stream: Stream): void {
    const { gateway, model, remaining, head } = stream
    if (!this.streams.has(stream)) return
    if (this.#begin(gateway, this.#world.openReplicas.filter(each => each.head !== head), model, remaining)) this.#leave(stream, 'moved')
  }

  #leave (stream: Stream, how: Departure): void {
    this.#remove(stream)
    this.#options.left(stream, how)
  }

  #remove (stream: Stream): void {
    this.streams.delete(stream)
    stream.gateway.inFlight.end(stream.request)
  }
}
