/**
 * Decides whether a plain worker takes new requests, and writes the decision to the board. Owns nothing.
 */
import { Controller } from '@eiderwind/board'
import { type Queue } from '@eiderwind/admit'
import { type WorkerBoard } from './facts.js'

/**
 * Opens and closes the queue of a plain worker. The worker takes requests while it has a service assigned, its upstream
 * is healthy, and it neither stops nor must leave.
 */
export class PlainState extends Controller {
  readonly name = 'plain-state'
  readonly interval = 100
  readonly #board: WorkerBoard
  readonly #queue: Queue

  constructor (board: WorkerBoard, queue: Queue) {
    super()
    this.#board = board
    this.#queue = queue
  }

  async update (): Promise<void> {
    const leaving = this.#board.read('mustLeave') || this.#board.read('stopping')
    const assigned = this.#board.read('assignment')?.kind === 'plain'
    const serving = assigned && this.#board.read('upstream').healthy && !leaving
    if (serving === this.#board.read('serving')) return
    this.#board.write('serving', serving)
    if (serving) this.#queue.open()
    else this.#queue.close(leaving ? 'leaving' : 'not-serving')
  }
}
