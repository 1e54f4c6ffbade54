/**
 * Sends the engine beside this worker the orders to load what the placement asks for. Owns the order in progress.
 * Relies on the grant of this node, which makes orders safe even for an engine that does not check them.
 */
import { Controller } from '@eiderwind/board'
import { type Log } from '@eiderwind/log'
import { type ModelAssignment } from '@eiderwind/schema'
import { type WorkerBoard } from './facts.js'
import { replicaHolder, type Grants } from './grants.js'
import { type EngineUpstream } from './upstream.js'

/**
 * Sends orders to the engine. An order is sent only while this node is granted to the head of the order's generation.
 * This worker is the engine's only sender. It sends one order at a time, and reads what the engine has loaded before
 * each order. Orders are therefore safe even if the engine does not check generations.
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
    if (assignment?.kind !== 'model' || !this.#needsLoad(assignment)) return
    const { version, adapters, generation, replica } = assignment
    this.#board.write('upstream', await this.#engine.readState())
    if (!this.#needsLoad(assignment)) return
    try {
      const status = await this.#engine.load({ version, adapters, generation })
      this.#log.write(status === 200 ? 'engine-ordered' : 'order-failed', { replica, generation, version, status })
    } catch (error) {
      this.#log.write('order-failed', { replica, generation, version, cause: (error as Error).message })
    }
    this.#board.write('upstream', await this.#engine.readState())
  }

  /**
   * Whether an order is needed and allowed: the engine answers but has not loaded what the assignment asks for, and
   * this node is granted to the assignment's head.
   */
  #needsLoad ({ replica, generation, version, adapters }: ModelAssignment): boolean {
    const { healthy, loaded } = this.#board.read('upstream')
    if (!healthy || loaded === undefined) return false
    if (loaded.generation === generation && loaded.version === version && loaded.adapters.join() === adapters.join()) return false
    return this.#grants.nodeHolder === replicaHolder(replica, generation)
  }
}
