/**
 * Reads the state of the upstream beside this worker at an interval and writes it to the board. Owns nothing.
 */
import { Controller } from '@eiderwind/board'
import { type Log } from '@eiderwind/log'
import { type WorkerBoard } from './facts.js'
import { type Upstream } from './upstream.js'

/** Keeps the state of the upstream on the board up to date, and logs when the upstream goes down or comes back. */
export class Health extends Controller {
  readonly name = 'health'
  readonly interval = 400
  readonly #board: WorkerBoard
  readonly #upstream: Upstream
  readonly #log: Log

  constructor (board: WorkerBoard, upstream: Upstream, log: Log) {
    super()
    this.#board = board
    this.#upstream = upstream
    this.#log = log
  }

  async update (): Promise<void> {
    const before = this.#board.read('upstream')
    const after = await this.#upstream.readState()
    if (JSON.stringify(before) === JSON.stringify(after)) return
    this.#board.write('upstream', after)
    if (before.healthy !== after.healthy) this.#log.write(after.healthy ? 'engine-back' : 'engine-down')
  }
}
