/**
 * Gives the engine beside this worker the orders that the placement asks for. Owns the order under way; relies on the grants of
 * the head, so that an engine which does not check its orders is safe too.
 */
import { Controller } from '@eiderwind/board'
import { type Log } from '@eiderwind/log'
import { type ModelAssignment } from '@eiderwind/schema'
import { type WorkerBoard } from './facts.js'
import { replicaHolder, type Grants } from './grants.js'
import { type EngineUpstream } from './upstream.js'

/**
 * Gives the engine the orders that the placement asks for. An order is given only while this node is granted to the
 * head of that very generation, so that an engine which does not check its orders is safe too: this worker is its
 * only sender, gives one order at a time, and always reads what the engine has loaded before it gives the next.
 */
export class Orders extends Controller {
  readonly name = 'orders'
  readonly interval = 200
  readonly #board: WorkerBoard
  readonly #engine: EngineUpstream
  readonly #grants: Grants
  readonly #log: Log

  constructor (board: WorkerBoard, engine: EngineUpstream, grants: Grants, log: Log) {
    super()
    this.#board = board
    this.#engine = engine
    this.#grants = grants
    this.#log = log
  }

  async update (): Promise<void> {
    const assignment = this.#board.read('assignment')
    if (assignment?.kind !== 'model' || !this.#due(assignment)) return
    const { version, adapters, generation, replica } = assignment
    this.#board.write('upstream', await this.#engine.state())
    if (!this.#due(assignment)) return
    try {
      const status = await this.#engine.load({ version, adapters, generation })
      this.#log.write(status === 200 ? 'engine-ordered' : 'order-failed', { replica, generation, version, status })
    } catch (error) {
      this.#log.write('order-failed', { replica, generation, version, cause: (error as Error).message })
    }
    this.#board.write('upstream', await this.#engine.state())
  }

  /** Whether the engine lacks what the assignment asks for, and this node is granted for it. */
  #due ({ replica, generation, version, adapters }: ModelAssignment): boolean {
    const { healthy, loaded } = this.#board.read('upstream')
    if (!healthy || loaded === undefined) return false
    if (loaded.generation === generation && loaded.version === version && loaded.adapters.join() === adapters.join()) return false
    return this.#grants.node === replicaHolder(replica, generation)
  }
}
