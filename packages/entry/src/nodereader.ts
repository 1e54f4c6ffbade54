/**
 * Reads the platform's node list on behalf of the entries of a data centre. Owns no lasting state. Relies on `spread`
 * for which entries read it.
 */
import { Controller } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { type EntryAddress } from '@eiderwind/schema'
import { type Store } from '@eiderwind/store'
import { watchers } from '@eiderwind/spread'
import { mergeNodes, type EntryBoard } from './facts.js'

/** Reads the platform's node list if this entry is one of the few of its data centre that do. */
export class NodeReader extends Controller {
  readonly name = 'nodes'
  readonly interval = 1000
  readonly #board: EntryBoard
  readonly #store: Store
  readonly #clock: Clock
  readonly #self: EntryAddress

  constructor (board: EntryBoard, store: Store, clock: Clock, self: EntryAddress) {
    super()
    this.#board = board
    this.#store = store
    this.#clock = clock
    this.#self = self
  }

  async update (): Promise<void> {
    const local = this.#board.read('live').filter(each => each.dataCentre === this.#self.dataCentre)
    if (!watchers('nodes', local).some(each => each.id === this.#self.id)) return
    const found = await this.#store.nodes()
    this.#board.write('platformAnswers', found.isOk())
    if (found.isErr()) return
    const known = this.#board.read('nodes')?.nodes
    if (JSON.stringify(known) === JSON.stringify(found.value)) return
    mergeNodes(this.#board, { seen: Math.max(this.#clock.wall(), (this.#board.read('nodes')?.seen ?? 0) + 1), nodes: found.value })
  }
}
