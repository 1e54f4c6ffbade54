/**
 * Registers this entry at the platform, and reads the stored entries, placements and lists of voters. Owns the count of
 * updates since the last full read. Between full reads, changes arrive from other entries.
 */
import { Controller } from '@eiderwind/board'
import { EntryList, VoterList, Placement, type EntryAddress } from '@eiderwind/schema'
import { type Store } from '@eiderwind/store'
import { watchers } from '@eiderwind/spread'
import { mergeVoters, mergeListedEntries, mergePlacement, type EntryBoard } from './facts.js'
import { type Peers } from './peers.js'

/** Silence after which an entry is removed from its data centre's list, in ms. */
const removeAfter = 600_000

/** Number of updates between two full reads. A full read finds changes that did not arrive from other entries. */
const updatesPerRead = 5

/** Registers this entry at the platform, and reads the other entries, the placements and the lists of voters. */
export class Registrar extends Controller {
  readonly name = 'registrar'
  readonly interval = 2000
  readonly #board: EntryBoard
  readonly #store: Store
  readonly #self: EntryAddress
  readonly #peers: Peers
  #registered = false
  #turn = 0

  constructor (board: EntryBoard, store: Store, self: EntryAddress, peers: Peers) {
    super()
    this.#board = board
    this.#store = store
    this.#self = self
    this.#peers = peers
  }

  async update (): Promise<void> {
    if (!this.#registered) this.#registered = await this.#register()
    const isDue = this.#turn++ % updatesPerRead === 0 || this.#board.read('placements').size === 0
    if (!isDue || !this.#isReader()) return
    await this.#read()
  }

  /**
   * Whether this entry reads. A few entries of each data centre read, and the others receive the objects from them. An
   * entry that knows no other entry reads too.
   */
  #isReader (): boolean {
    const local = this.#board.read('live').filter(each => each.dataCentre === this.#self.dataCentre)
    return watchers('objects', local).some(each => each.id === this.#self.id)
  }

  async #register (): Promise<boolean> {
    const key = `entries/${this.#self.dataCentre}`
    const read = await this.#store.read(key)
    if (read.isErr()) return false
    const { version, value } = read.value
    const listed = version === 0 ? [] : EntryList.parse(value).entries
    mergeListedEntries(this.#board, listed)
    const kept = listed.filter(each => each.id !== this.#self.id && this.#peers.silence(each.id) < removeAfter)
    if (listed.length === kept.length + 1 && listed.some(each => each.id === this.#self.id && each.peer === this.#self.peer)) return true
    const list: EntryList = { dataCentre: this.#self.dataCentre, entries: [...kept, this.#self] }
    return (await this.#store.write(key, list, version)).isOk()
  }

  async #read (): Promise<void> {
    const [entries, placements, homes] = await Promise.all(['entries/', 'placement/', 'homes/'].map(prefix => this.#store.list(prefix)))
    this.#board.write('platformAnswers', entries.isOk())
    for (const { value } of entries.unwrapOr([])) mergeListedEntries(this.#board, EntryList.parse(value).entries)
    for (const { value } of placements.unwrapOr([])) mergePlacement(this.#board, Placement.parse(value))
    for (const { value } of homes.unwrapOr([])) mergeVoters(this.#board, VoterList.parse(value))
  }
}
