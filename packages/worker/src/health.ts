/**
 * Reads the state of the upstream beside this worker. Owns the last reading, which goes to the board.
 */
import { Controller } from '@eiderwind/board'
import { type Log } from '@eiderwind/log'
import { type WorkerBoard } from './facts.js'
import { type Upstream } from './upstream.js'

/** Reads the state of the upstream again and again. */
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
    const after = await this.#upstream.state()
    if (JSON.stringify(before) === JSON.stringify(after)) return
    this.#board.write('upstream', after)
    if (before.healthy !== after.healthy) this.#log.write(after.healthy ? 'engine-back' : 'engine-down')
  }
}
