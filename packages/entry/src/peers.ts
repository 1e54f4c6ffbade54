/**
 * Which other entries are believed live. Owns when each was last heard; it only steers who is told and asked first.
 */
import { type Clock } from '@eiderwind/clock'
import { type EntryAddress } from '@eiderwind/schema'

/** Silence after which an entry of the same data centre counts as gone, in ms. */
const goneAfter = 4000

/** Which other entries are believed live. An entry counts as live from when it was first known until it is silent for too long. */
export class Peers {
  readonly #clock: Clock
  readonly #self: EntryAddress
  readonly #lastContact = new Map<string, number>()

  constructor (clock: Clock, self: EntryAddress) {
    this.#clock = clock
    this.#self = self
  }

  /** Notes that an entry was heard of directly. */
  recordContact (id: string): void {
    this.#lastContact.set(id, this.#clock.now())
  }

  /** The entries believed live among `entries`: all far ones, and those of the same data centre that are not silent. */
  live (entries: readonly EntryAddress[]): EntryAddress[] {
    return entries.filter(entry => entry.id === this.#self.id || entry.dataCentre !== this.#self.dataCentre || this.#isRecent(entry.id))
  }

  /** Time since an entry was heard of, in ms. One first asked about now was heard of now. */
  silence (id: string): number {
    const lastContact = this.#lastContact.get(id)
    if (lastContact === undefined) this.recordContact(id)
    return lastContact === undefined ? 0 : this.#clock.now() - lastContact
  }

  #isRecent (id: string): boolean {
    return this.silence(id) < goneAfter
  }
}
