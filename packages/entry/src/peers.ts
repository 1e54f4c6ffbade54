/**
 * Liveness of the other entries. Owns the time of the last contact with each. The result may be wrong. It only decides
 * which entries exchange state with each other, and which entry is responsible for a task, such as planning a domain.
 */
import { type Clock } from '@eiderwind/clock'
import { type EntryAddress } from '@eiderwind/schema'

/** Time without contact after which an entry of the same data centre no longer counts as live, in ms. */
const goneAfter = 4000

/**
 * Liveness of the other entries. An entry counts as live from the time it becomes known until it is silent for too
 * long.
 */
export class Peers {
  readonly #clock: Clock
  readonly #self: EntryAddress
  readonly #lastContact = new Map<string, number>()

  constructor (clock: Clock, self: EntryAddress) {
    this.#clock = clock
    this.#self = self
  }

  /** Records a direct contact with an entry. */
  recordContact (id: string): void {
    this.#lastContact.set(id, this.#clock.now())
  }

  /**
   * The entries among `entries` that count as live: this entry, all entries of other data centres, and the entries of
   * this data centre that are not silent.
   */
  live (entries: readonly EntryAddress[]): EntryAddress[] {
    return entries.filter(entry => entry.id === this.#self.id || entry.dataCentre !== this.#self.dataCentre || this.#isRecent(entry.id))
  }

  /** Time since the last contact with an entry, in ms. The first call for an entry counts as a contact. */
  silence (id: string): number {
    const lastContact = this.#lastContact.get(id)
    if (lastContact === undefined) this.recordContact(id)
    return lastContact === undefined ? 0 : this.#clock.now() - lastContact
  }

  #isRecent (id: string): boolean {
    return this.silence(id) < goneAfter
  }
}
