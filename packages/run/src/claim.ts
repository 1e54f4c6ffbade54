/**
 * The claim of one worker to be the home of one slot: its lease, and the book while there is one. After a lapse of the
 * lease it decides whether the book may be continued. Owns the book and the state of the lapse. Relies on the marks of
 * the voters (`@eiderwind/lease`) and on `inheritance.ts` to compare them.
 */
import { type Lease, type Mark } from '@eiderwind/lease'
import { type Book } from './book.js'
import { hasHeldThroughout, isMajority } from './inheritance.js'

/** How a home got the book of a slot: a new one, the one of the previous home, or its own from before a lapse. */
export type BookOrigin = 'new' | 'inherited' | 'continued'

/** A lapse of the lease of a claim that has a book. */
interface Lapse {
  readonly voters: readonly string[]
  /** The marks under which the book was in use. */
  readonly marks: ReadonlyMap<string, Mark>
  /** Voters that have granted the slot under another term since. */
  readonly lostVoters: Set<string>
  /** When the claim gives way to other claims, on `Clock.now`. */
  readonly until: number
}

/** The claim of one worker to one slot. */
export class SlotClaim {
  readonly lease: Lease
  /** When the book was opened, on `Clock.now`. Infinity until then. */
  openedAt = Infinity
  /** Whether the book is being offered to another worker. No request of the slot runs meanwhile. */
  isOffered = false
  #book: Book | undefined
  /** The voters by whose marks the book is in use. */
  #voters: readonly string[] = []
  #lapse: Lapse | undefined

  constructor (lease: Lease) {
    this.lease = lease
  }

  /** The book, if this worker is the home of the slot now. */
  get book (): Book | undefined {
    return this.lease.valid && this.#lapse === undefined && !this.isOffered ? this.#book : undefined
  }

  /** The book with the marks under which it was in use, even if the lease has lapsed. */
  get record (): { readonly book: Book, readonly marks: ReadonlyMap<string, Mark> } | undefined {
    return this.#book === undefined ? undefined : { book: this.#book, marks: this.#lapse?.marks ?? this.lease.marks }
  }

  /** Puts a book into use. */
  open (book: Book, voters: readonly string[], now: number): void {
    this.#book = book
    this.#voters = voters
    this.#lapse = undefined
    this.openedAt = now
  }

  /**
   * Puts the book of before a lapse into use again, if no other home can have held the slot since. Returns whether it
   * did.
   */
  continue (voters: readonly string[]): boolean {
    const lapse = this.#lapse
    if (lapse === undefined || !hasHeldThroughout(lapse, { voters, marks: this.lease.currentMarks })) return false
    this.#lapse = undefined
    return true
  }

  /** Records that the lease has lapsed. The claim keeps its term and gives way to others only after `until`. */
  suspend (until: number): void {
    if (this.#book === undefined || this.#lapse !== undefined) return
    this.#lapse = { voters: this.#voters, marks: this.lease.marks, lostVoters: new Set(), until }
  }

  /**
   * Records that the lease has other voters now. A book of before a lapse is dropped, since marks prove something only
   * while the voters stay the same. After two changes the list may have the same voters again.
   */
  changeVoters (voters: readonly string[]): void {
    this.#voters = voters
    if (this.#lapse === undefined) return
    this.#book = undefined
    this.#lapse = undefined
  }

  /**
   * Records that a voter has granted the slot under another term, and returns whether the book of before the lapse may
   * still be continued.
   */
  mayContinue (refusedBy: string, now: number): boolean {
    const lapse = this.#lapse
    if (lapse === undefined || now >= lapse.until) return false
    lapse.lostVoters.add(refusedBy)
    return isMajority(lapse.voters.filter(voter => !lapse.lostVoters.has(voter)), lapse.voters)
  }
}
