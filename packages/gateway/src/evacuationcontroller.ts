/**
 * Carries out the operator's evacuations of data centres at this gateway. Once an evacuation is known, no request goes
 * to an upstream there (`Roster.evacuate`), and requests that wait for a connection are withdrawn. Long-running streams
 * are resumed elsewhere, where another upstream has room.
 * The board holds the set of evacuated data centres with the store's revision. The later revision wins, whether it
 * comes from the store or from another gateway. Owns the time at which each evacuation became known here, and the timer
 * that moves streams.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type InFlight, type InFlightRequest } from '@eiderwind/detect'
import { streamsToMove } from '@eiderwind/dispatch'
import { type Log } from '@eiderwind/log'
import { type Evacuation, type Heartbeat } from '@eiderwind/peers'
import { type Roster } from '@eiderwind/roster'
import { type GatewayBoard } from './facts.js'

/** Dependencies of `EvacuationController`. */
export interface EvacuationControllerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly board: GatewayBoard
  readonly roster: Roster
  readonly inFlight: InFlight
  /** Time within which streams leave a data centre, in ms; undefined if evacuations are disabled. */
  readonly evacuationTime: number | undefined
}

/** Interval at which streams are moved, in ms: short compared with the time over which the moves are spread. */
const moveInterval = 100

/**
 * How long heartbeats still announce that no data centre is evacuated any more, in ms. It is far above the time for
 * which another gateway can serve without the store and without heartbeats while it still has the old state.
 */
const endAnnouncementTime = 60_000

/** Reason in the log for withdrawing a request or moving a stream. */
const reason = 'its data centre is evacuated'

/** Empties evacuated data centres. */
export class EvacuationController {
  readonly #options: EvacuationControllerOptions
  /** When the evacuation of each data centre became known here, on `Clock.now`. */
  readonly #since = new Map<string, number>()
  /** When the set last changed here, on `Clock.now`. */
  #changedAt = -Infinity
  #moved = 0
  #timer: Subscription | undefined

  constructor (options: EvacuationControllerOptions) {
    this.#options = options
  }

  start (): void {
    const { clock, evacuationTime } = this.#options
    if (evacuationTime !== undefined) this.#timer = clock.every(moveInterval, () => this.#moveStreams(evacuationTime))
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** Data centres that this gateway knows to be evacuated. */
  get dataCentres (): readonly string[] {
    return this.#options.board.read('evacuation')?.dataCentres ?? []
  }

  /** Number of streams that were moved out of evacuated data centres. */
  get moved (): number {
    return this.#moved
  }

  /** Number of requests in flight at upstreams of evacuated data centres. */
  get running (): number {
    return this.dataCentres.reduce((sum, each) => sum + this.#runningIn(each).length, 0)
  }

  /**
   * Applies the set of evacuated data centres, unless the known set is at least as new. @param from the gateway that
   * sent it; undefined if it comes from the store
   */
  take (evacuation: Evacuation, from?: string): void {
    const { board, clock, evacuationTime, roster } = this.#options
    const known = board.read('evacuation')
    if (evacuationTime === undefined || (known !== undefined && evacuation.revision <= known.revision)) return
    board.write('evacuation', evacuation)
    const current = new Set(evacuation.dataCentres)
    const begun = [...current].filter(each => !this.#since.has(each))
    const ended = [...this.#since.keys()].filter(each => !current.has(each))
    if (begun.length === 0 && ended.length === 0) return
    this.#changedAt = clock.now()
    roster.evacuate(current)
    for (const each of begun) this.#begin(each, from)
    for (const each of ended) this.#end(each, from)
  }

  /** Takes the evacuations from another gateway's heartbeat. */
  receiveHeartbeat ({ id: from, evacuation }: Heartbeat): void {
    if (evacuation !== undefined) this.take(evacuation, from)
  }

  /** This module's fields of the heartbeats to other gateways. */
  get heartbeatFields (): Pick<Heartbeat, 'evacuation'> {
    const evacuation = this.#options.board.read('evacuation')
    const isAnnounced = this.#since.size > 0 || this.#options.clock.now() - this.#changedAt < endAnnouncementTime
    return evacuation !== undefined && isAnnounced ? { evacuation } : {}
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

  /**
   * Moves the number of streams that are due, the oldest first. Streams that may not be resumed, or find no room
   * elsewhere, stay.
   */
  #moveStreams (evacuationTime: number): void {
    const now = this.#options.clock.now()
    for (const [dataCentre, since] of this.#since) {
      const running = this.#runningIn(dataCentre)
      let quota = streamsToMove({ running: running.length, time: now - since, span: evacuationTime, interval: moveInterval })
      for (const { handlers } of running) {
        if (quota <= 0) break
        if (handlers.moved?.(reason) !== true) continue
        quota--
        this.#moved++
      }
    }
  }

  /** Requests in flight at the upstreams of a data centre, in the order in which they were sent. */
  #runningIn (dataCentre: string): InFlightRequest[] {
    const { inFlight, roster } = this.#options
    const ids = Object.keys(inFlight.counts).filter(id => (roster.find(id) ?? roster.departure(id)?.upstream)?.dataCentre === dataCentre)
    return ids.flatMap(id => inFlight.requestsAt(id)).sort((a, b) => a.sentAt - b.sentAt)
  }
}
