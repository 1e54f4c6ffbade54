import { type Clock } from '@eiderwind/clock'
import { Lease, type Answer, type Channel, type Claim } from '@eiderwind/lease'
import { Book, type BookOptions } from './book.js'
import { slotCount } from './key.js'

/** What a home tells about itself. */
export interface HomeListener {
  held? (slot: number): void
  lost? (slot: number): void
}

/** Options of the homes of one worker. */
export interface HomesOptions {
  readonly clock: Clock
  readonly channel: Channel
  readonly service: string
  /** This worker. */
  readonly worker: string
  /** The workers that vote, this one among them. */
  readonly voters: readonly string[]
  /** Lease period and renewal interval, in ms. */
  readonly period: number
  readonly interval: number
  /** Makes names that are never used twice. */
  readonly nonce: () => string
  /** The order in which voters are preferred as home of a slot. */
  readonly preferred: (slot: number, voters: readonly string[]) => readonly string[]
  readonly book?: BookOptions
  readonly listener?: HomeListener
}

/** A slot that a worker is the home of. */
export interface HeldSlot {
  readonly slot: number
  /** The stretch of being its home, as the worker counts them. */
  readonly tenure: number
}

interface Slot {
  readonly lease: Lease
  book: Book | undefined
}

/**
 * The slots of keys that one worker is, or tries to be, the home of. Each slot is a lease by a majority of the
 * voters. The preferred voter claims its slots at once; the others claim a slot only after it has been vacant for
 * `rank` periods, so that claims seldom split the vote. Each time a lease comes to stand, an empty book is opened;
 * the lease and the book end together, and a new try uses a new term.
 */
export class Homes {
  readonly #options: HomesOptions
  readonly #slots = new Map<number, Slot>()
  readonly #vacantSince = new Map<number, number>()
  #voters: readonly string[]
  #tenures = 0
  #stopped = false

  constructor (options: HomesOptions) {
    this.#options = options
    this.#voters = options.voters
    const now = options.clock.now()
    for (let slot = 0; slot < slotCount; slot++) this.#vacantSince.set(slot, now)
  }

  /** The slots that this worker is the home of now. */
  get held (): HeldSlot[] {
    const held: HeldSlot[] = []
    for (const [slot, { lease, book }] of this.#slots) {
      if (book !== undefined && lease.valid) held.push({ slot, tenure: book.tenure })
    }
    return held
  }

  /** The book of a slot, while this worker is its home. */
  book (slot: number): Book | undefined {
    const held = this.#slots.get(slot)
    return held?.lease.valid === true ? held.book : undefined
  }

  /** Notes that some worker holds the slot, so that this one does not claim it. */
  seen (slot: number, holder: string): void {
    if (holder !== this.#options.worker) this.#vacantSince.set(slot, this.#options.clock.now())
  }

  /** Goes on with a list of voters that differs from the present one by one voter. */
  move (voters: readonly string[]): void {
    this.#voters = voters
    for (const { lease } of this.#slots.values()) lease.move(voters)
  }

  /** Claims what is due. Called at each interval. */
  update (): void {
    if (this.#stopped) return
    const now = this.#options.clock.now()
    for (let slot = 0; slot < slotCount; slot++) {
      if (this.#slots.has(slot)) continue
      const rank = this.#options.preferred(slot, this.#voters).indexOf(this.#options.worker)
      if (rank < 0) continue
      const vacant = now - (this.#vacantSince.get(slot) ?? now)
      if (vacant >= rank * 2 * this.#options.period) this.#claim(slot)
    }
  }

  /** Gives every slot up and tells the voters. */
  async stop (): Promise<void> {
    this.#stopped = true
    const leases = [...this.#slots.values()].map(({ lease }) => lease)
    await Promise.all(leases.map(lease => lease.release()))
    this.#slots.clear()
  }

  #claim (slot: number): void {
    const { clock, channel, service, worker, period, interval, nonce } = this.#options
    const claim: Claim = { resource: `home/${service}/${slot}`, holder: worker, term: nonce(), period }
    const lease = new Lease({
      clock,
      channel,
      claim,
      granters: this.#voters,
      quorum: 'majority',
      interval,
      listener: {
        held: () => this.#open(slot),
        lapsed: () => this.#drop(slot),
        refused: (_granter, answer) => this.#refused(slot, answer)
      }
    })
    this.#slots.set(slot, { lease, book: undefined })
    lease.start()
  }

  #open (slot: number): void {
    const { clock, book, listener } = this.#options
    const held = this.#slots.get(slot)
    if (held === undefined) return
    held.book = new Book(clock.wall(), ++this.#tenures, book)
    listener?.held?.(slot)
  }

  #drop (slot: number): void {
    const held = this.#slots.get(slot)
    if (held === undefined) return
    this.#slots.delete(slot)
    held.lease.stop()
    this.#vacantSince.set(slot, this.#options.clock.now())
    this.#options.listener?.lost?.(slot)
  }

  /** A claim that did not win goes away again, so that its minority of votes does not bar the others for long. */
  #refused (slot: number, answer: Answer): void {
    const held = this.#slots.get(slot)
    if (held === undefined || held.lease.valid || answer.granted || answer.reason !== 'held') return
    this.#slots.delete(slot)
    this.#vacantSince.set(slot, this.#options.clock.now())
    held.lease.release()
  }
}
