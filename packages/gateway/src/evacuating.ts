/**
 * Data centres that the operator evacuates, at this gateway: from the moment at which it knows, no request goes to an upstream there (`Roster.evacuate`), requests that wait
 * for a connection are withdrawn, and streams that run there for long go on elsewhere where another upstream has room.
 * What is known lies on the board, with the store's revision: the later word holds, be it the store's or that of another gateway. Owns when each evacuation
 * became known here, and the timer by which streams move.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type InFlight, type InFlightRequest } from '@eiderwind/detect'
import { streamsToMove } from '@eiderwind/dispatch'
import { type Log } from '@eiderwind/log'
import { type Evacuation, type Heartbeat } from '@eiderwind/peers'
import { type Roster } from '@eiderwind/roster'
import { type GatewayBoard } from './facts.js'

/** Dependencies of `Evacuating`. */
export interface EvacuatingOptions {
  readonly clock: Clock
  readonly log: Log
  readonly board: GatewayBoard
  readonly roster: Roster
  readonly inFlight: InFlight
  /** Time within which streams leave a data centre, in ms; undefined where evacuations are not looked for. */
  readonly span: number | undefined
}

/** Time between two times that streams are moved, in ms: small beside the span over which they are spread. */
const moveInterval = 100

/**
 * How long the other gateways are told that no data centre is evacuated any more, in ms: far above the time for which one that still believes otherwise
 * can be without the store and without their heartbeats, and still serve.
 */
const toldTime = 60_000

/** Why what runs in an evacuated data centre ends there, for the log. */
const reason = 'its data centre is evacuated'

/** Empties the data centres that are evacuated. */
export class Evacuating {
  readonly #options: EvacuatingOptions
  /** When the evacuation of each data centre became known here, on `Clock.now`. */
  readonly #since = new Map<string, number>()
  /** When the set last changed here, on `Clock.now`. */
  #changedAt = -Infinity
  #moved = 0
  #timer: Subscription | undefined

  constructor (options: EvacuatingOptions) {
    this.#options = options
  }

  start (): void {
    const { clock, span } = this.#options
    if (span !== undefined) this.#timer = clock.every(moveInterval, () => this.#move(span))
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** Data centres that are evacuated, by what is known here. */
  get dataCentres (): readonly string[] {
    return this.#options.board.read('evacuation')?.dataCentres ?? []
  }

  /** Streams that were moved out of evacuated data centres. */
  get moved (): number {
    return this.#moved
  }

  /** Requests in flight at upstreams of evacuated data centres. */
  get running (): number {
    return this.dataCentres.reduce((sum, each) => sum + this.#runningIn(each).length, 0)
  }

  /** Takes which data centres are evacuated, unless something as new is known. @param from the gateway that says so; by default it is the store */
  take (evacuation: Evacuation, from?: string): void {
    const { board, clock, span, roster } = this.#options
    const known = board.read('evacuation')
    if (span === undefined || (known !== undefined && evacuation.revision <= known.revision)) return
    board.write('evacuation', evacuation)
    const now = new Set(evacuation.dataCentres)
    const begun = [...now].filter(each => !this.#since.has(each))
    const ended = [...this.#since.keys()].filter(each => !now.has(each))
    if (begun.length === 0 && ended.length === 0) return
    this.#changedAt = clock.now()
    roster.evacuate(now)
    for (const each of begun) this.#begin(each, from)
    for (const each of ended) this.#end(each, from)
  }

  /** Takes what the heartbeat of another gateway says. */
  hear ({ id: from, evacuation }: Heartbeat): void {
    if (evacuation !== undefined) this.take(evacuation, from)
  }

  /** What the heartbeats to other gateways say. */
  get news (): Pick<Heartbeat, 'evacuation'> {
    const evacuation = this.#options.board.read('evacuation')
    const isNews = this.#since.size > 0 || this.#options.clock.now() - this.#changedAt < toldTime
    return evacuation !== undefined && isNews ? { evacuation } : {}
  }

  #begin (dataCentre: string, from: string | undefined): void {
    const { clock, log, inFlight, roster } = this.#options
    this.#since.set(dataCentre, clock.now())
    log.write('evacuation-begun', { dataCentre, ...from === undefined ? {} : { from } })
    for (const { id } of roster.upstreams) if (roster.isEvacuated(id)) inFlight.withdraw(id, reason)
  }

  #end (dataCentre: string, from: string | undefined): void {
    this.#since.delete(dataCentre)
    this.#options.log.write('evacuation-ended', { dataCentre, ...from === undefined ? {} : { from } })
  }

  /** Moves as many streams as are due, the oldest first; those that may not go elsewhere, or find no room there, stay. */
  #move (span: number): void {
    const now = this.#options.clock.now()
    for (const [dataCentre, since] of this.#since) {
      const running = this.#runningIn(dataCentre)
      let due = streamsToMove({ running: running.length, time: now - since, span, interval: moveInterval })
      for (const { handlers } of running) {
        if (due <= 0) break
        if (handlers.moved?.(reason) !== true) continue
        due--
        this.#moved++
      }
    }
  }

  /** Requests in flight at the upstreams of a data centre, in the order in which they were sent. */
  #runningIn (dataCentre: string): InFlightRequest[] {
    const { inFlight, roster } = this.#options
    const ids = Object.keys(inFlight.counts).filter(id => (roster.find(id) ?? roster.departure(id)?.upstream)?.dataCentre === dataCentre)
    return ids.flatMap(id => inFlight.at(id)).sort((a, b) => a.sentAt - b.sentAt)
  }
}
