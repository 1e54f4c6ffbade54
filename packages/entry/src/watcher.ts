/**
 * Watches the configuration at the platform on behalf of the entries of a data centre. Owns no lasting state. Relies on
 * `spread` for which entries watch it.
 */
import { Controller } from '@eiderwind/board'
import { configurationKey, type CurrentConfiguration } from '@eiderwind/config'
import { Configuration, type EntryAddress } from '@eiderwind/schema'
import { type Store } from '@eiderwind/store'
import { watchers } from '@eiderwind/spread'
import { type EntryBoard } from './facts.js'

/** Maximum time that one watch waits for a change, in ms. */
const maxWatchTime = 10_000

/** Watches the configuration at the platform if this entry is one of the few of its data centre that do. */
export class Watcher extends Controller {
  readonly name = 'watcher'
  readonly interval = 500
  readonly #board: EntryBoard
  readonly #current: CurrentConfiguration
  readonly #store: Store
  readonly #self: EntryAddress

  constructor (board: EntryBoard, current: CurrentConfiguration, store: Store, self: EntryAddress) {
    super()
    this.#board = board
    this.#current = current
    this.#store = store
    this.#self = self
  }

  async update (): Promise<void> {
    if (!this.#isWatcher()) return
    const before = this.#current.revision
    const found = await this.#store.watch(configurationKey, before, maxWatchTime)
    this.#board.write('platformAnswers', found.isOk())
    if (found.isErr() || found.value.version === 0) return
    this.#current.accept(Configuration.parse(found.value.value))
  }

  #isWatcher (): boolean {
    const local = this.#board.read('live').filter(each => each.dataCentre === this.#self.dataCentre)
    return watchers('configuration', local).some(each => each.id === this.#self.id)
  }
}
