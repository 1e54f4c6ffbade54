/**
 * Takes this entry out of service while its configuration is older than one that is in force elsewhere. Owns the time
 * at which it first learned of the later configuration. Relies on the revisions in the reports of workers.
 */
import { Controller } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { type CurrentConfiguration } from '@eiderwind/config'
import { type Log } from '@eiderwind/log'
import { type Reports } from '@eiderwind/spread'
import { type EntryBoard } from './facts.js'

/**
 * How long an entry keeps serving after it learns of a later configuration, in ms. Fetching that configuration takes
 * less. The entry must stop within 6 s of the change, and workers report the new revision within a second of it.
 */
const maxBehindTime = 3000

/** Dependencies of the fence. */
export interface FenceOptions {
  readonly board: EntryBoard
  readonly clock: Clock
  readonly current: CurrentConfiguration
  readonly reports: Reports
  readonly log: Log
}

/**
 * Takes this entry out of service if it misses a change of the configuration, because it is cut off from the platform
 * and the other entries. Each report of a worker names the configuration revision that the worker uses. An entry that
 * still receives reports therefore learns that a later revision is in force. If it cannot fetch that revision, it
 * refuses new requests instead of serving them under the old one.
 */
export class Fence extends Controller {
  readonly name = 'fence'
  readonly interval = 500
  readonly #options: FenceOptions
  #behindSince = Infinity

  constructor (options: FenceOptions) {
    super()
    this.#options = options
  }

  async update (): Promise<void> {
    const { board, clock, current, log } = this.#options
    const now = clock.now()
    this.#behindSince = this.#newestRevision() > current.revision ? Math.min(this.#behindSince, now) : Infinity
    const behind = now - this.#behindSince >= maxBehindTime
    if (behind === board.read('behind')) return
    board.write('behind', behind)
    log.write(behind ? 'entry-behind' : 'entry-current', { revision: current.revision, newest: this.#newestRevision() })
  }

  /** The latest configuration revision in any worker's report. */
  #newestRevision (): number {
    let newest = 0
    for (const { report } of this.#options.reports.all) newest = Math.max(newest, report.revision)
    return newest
  }
}
