/**
 * Decides whether a plain worker takes new requests. Owns nothing; writes the answer to the board.
 */
import { Controller } from '@eiderwind/board'
import { type Queue } from '@eiderwind/admit'
import { type WorkerBoard } from './facts.js'

/** Says whether a plain worker takes new requests: it knows its service, its upstream is up, and nobody told it to leave. */
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
    const leaving = this.#board.read('told') || this.#board.read('stopping')
    const assigned = this.#board.read('assignment')?.kind === 'plain'
    const serving = assigned && this.#board.read('upstream').healthy && !leaving
    if (serving === this.#board.read('serving')) return
    this.#board.write('serving', serving)
    if (serving) this.#queue.open()
    else this.#queue.close(leaving ? 'leaving' : 'not-serving')
  }
}
