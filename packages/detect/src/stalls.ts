import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { type Roster } from '@eiderwind/roster'
import { type InFlight } from './inflight.js'
import { type Pauses } from './pauses.js'
import { type Suspects } from './suspects.js'

/** What the watch stands on. */
export interface StallsOptions {
  readonly clock: Clock
  readonly log: Log
  readonly roster: Roster
  readonly inFlight: InFlight
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
    const { clock, log, roster, inFlight, suspects, silence, pauses, suspected } = this.#options
    // What came while this process stood still waits in its own sockets.
    if (clock.now() - pauses.wokeAt < silence) return
    for (const id of inFlight.quiet(upstream => this.#isHead(upstream) ? silence : Infinity)) {
      if (suspects.add(id)) {
        log.write('upstream-suspected', { upstream: id, flights: inFlight.count(id), listed: roster.find(id) !== undefined })
        suspected()
      }
      for (const flight of inFlight.at(id)) flight.stalled?.()
    }
  }

  #isHead (id: string): boolean {
    const { roster } = this.#options
    return (roster.find(id) ?? roster.departure(id)?.upstream)?.membership !== undefined
  }
}
