import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { type Roster } from '@eiderwind/roster'
import { type Flights } from './flights.js'
import { type Pauses } from './pauses.js'
import { type Suspects } from './suspects.js'

/** What the watch stands on. */
export interface StallsOptions {
  readonly clock: Clock
  readonly log: Log
  readonly roster: Roster
  readonly flights: Flights
  readonly suspects: Suspects
  /** Silence of all streams of a head after which it is suspected, in ms. */
  readonly silence: number
  readonly pauses: Pauses
  /** Told of a new suspicion. */
  readonly suspected: () => void
}

/** Time between two looks, in ms. */
const interval = 50

/** Watches for heads whose streams all stand still, and has those streams look for another one. */
export class Stalls {
  readonly #options: StallsOptions
  #timer: Subscription | undefined

  constructor (options: StallsOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.every(interval, () => this.look())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  look (): void {
    const { clock, log, roster, flights, suspects, silence, pauses, suspected } = this.#options
    // What came while this process stood still waits in its own sockets.
    if (clock.now() - pauses.wokeAt < silence) return
    for (const id of flights.quiet(upstream => this.#isHead(upstream) ? silence : Infinity)) {
      if (suspects.add(id)) {
        log.write('upstream-suspected', { upstream: id, flights: flights.count(id), listed: roster.find(id) !== undefined })
        suspected()
      }
      for (const flight of flights.at(id)) flight.stalled?.()
    }
  }

  #isHead (id: string): boolean {
    const { roster } = this.#options
    return (roster.find(id) ?? roster.departure(id)?.upstream)?.membership !== undefined
  }
}
