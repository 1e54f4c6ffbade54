/**
 * Takes an entry out of service whose configuration is older than one that it has heard of. Owns the time since when it knows;
 * relies on the revisions in workers' reports.
 */
import { Controller } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { type Current } from '@eiderwind/config'
import { type Log } from '@eiderwind/log'
import { type Reports } from '@eiderwind/spread'
import { type EntryBoard } from './facts.js'

/**
 * How long an entry goes on with a configuration that it knows is not the present one, in ms: longer than fetching the
 * present one takes, and short enough that with the second after which workers tell of it 6 s are kept.
 */
const maxBehindTime = 3000

/** What the fence stands on. */
export interface FenceOptions {
  readonly board: EntryBoard
  readonly clock: Clock
  readonly current: Current
  readonly reports: Reports
  readonly log: Log
}

/**
 * Takes an entry out of service that is cut off from the platform and from other entries while the configuration
 * moves on. Workers name the revision that they go by in each report, so an entry that still hears workers learns from
 * them that a later one is in force; when it cannot get that one, it refuses new requests rather than go by the old.
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

  /** The latest revision that any worker has told of. */
  #newestRevision (): number {
    let newest = 0
    for (const { report } of this.#options.reports.all) newest = Math.max(newest, report.revision)
    return newest
  }
}
