/**
 * The homes of keys of one worker: it owns the lease and the book of each slot that it holds or claims, and hands books on at
 * planned stops. It relies on leases by a majority of the voters; docs/design/runs.md has the proof in words.
 */
import { type Clock } from '@eiderwind/clock'
import { Lease, type Answer, type Channel, type Claim } from '@eiderwind/lease'
import { type Handover } from '@eiderwind/schema'
import { Book, type BookOptions } from './book.js'
import { follows, sameVoters, type Inheritance } from './inheritance.js'
import { slotCount } from './key.js'

/** Called when this worker becomes, or stops being, the home of a slot. */
export interface HomeListener {
  held? (slot: number): void
  lost? (slot: number): void
}

/** Gives a slot's book to another voter, and says whether that voter took it. It may reject. */
export type Give = (voter: string, handover: Handover) => Promise<boolean>

/** Most bytes of answers that are handed over with one slot; with Base64 and the rest they fit into one call. */
const handedBytes = 4 * 2 ** 20

/** How long a slot stays, unless said otherwise, in ms. */
const usualStay = 30_000

/** Periods for which a book that was handed over waits for its slot. */
const waitPeriods = 5

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
  /** Counts the stretches of being a home, over all that this process ever makes: an entry's word names one of them. */
  readonly tenure: () => number
  /** The order in which voters are preferred as home of a slot. */
  readonly preferred: (slot: number, voters: readonly string[]) => readonly string[]
  readonly book?: BookOptions
  /** How long a slot stays before it is offered to the voter that is preferred for it, and again after a refusal, in ms. Default: 30,000. */
  readonly stay?: number
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
  /** When the book was opened, on `Clock.now`. */
  openedAt: number
}

/** A slot whose home is not the voter that is preferred for it. */
interface Misplaced {
  readonly slot: number
  readonly lease: Lease
  readonly book: Book
  readonly voter: string
}

/**
 * The slots of keys that one worker is, or tries to be, the home of. Each slot is a lease by a majority of the
 * voters. The preferred voter claims its slots at once; the others claim a slot only after it has been vacant for
 * `rank` periods, so that claims seldom split the vote. Each time a lease comes to stand, an empty book is opened;
 * the lease and the book end together, and a new try uses a new term.
 *
 * A home that goes away as planned hands its book to the next one, which then need not refuse the keys of before. The
 * next home may go by that book only if nobody held the slot in between. It can tell from the marks of the voters: a
 * home in between would have had a majority, so at least one voter of any other majority would have given it a turn.
 */
export class Homes {
  readonly #options: HomesOptions
  readonly #slots = new Map<number, Slot>()
  readonly #vacantSince = new Map<number, number>()
  readonly #inheritances = new Map<number, Inheritance>()
  #voters: readonly string[]
  #stopped = false
  #yieldAt = -Infinity

  constructor (options: HomesOptions) {
    this.#options = options
    this.#voters = options.voters
    const now = options.clock.now()
    for (let slot = 0; slot < slotCount; slot++) this.#vacantSince.set(slot, now)
  }

  get #stay (): number {
    return this.#options.stay ?? usualStay
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
      if (this.#awaits(slot, now) || vacant >= rank * 2 * this.#options.period) this.#claim(slot)
    }
  }

  /** Gives every slot up and tells the voters. */
  async stop (): Promise<void> {
    this.#stopped = true
    const leases = [...this.#slots.values()].map(({ lease }) => lease)
    await Promise.all(leases.map(lease => lease.release()))
    this.#slots.clear()
  }

  /**
   * Gives every slot up as planned, each with its book to the first of the other voters that takes it. What still runs
   * is unknown to the next home, so this is best called when nothing does.
   */
  async hand (give: Give): Promise<void> {
    this.#stopped = true
    const slots = [...this.#slots]
    this.#slots.clear()
    await Promise.all(slots.map(async ([slot, { lease, book }]) => {
      if (book !== undefined && lease.valid) await this.#give(this.#handover(slot, lease, book), give)
      await lease.release()
    }))
  }

  /**
   * Hands one slot to the voter that is preferred for it, where that voter answers, no key of the slot runs, and the slot
   * has been here for a while, so that slots spread again after restarts. Where the voter refuses, the slot stays. Where
   * it may have taken the book, this worker runs nothing under its lease any more: the next home goes by the book as it
   * was then.
   */
  async yield (give: Give): Promise<void> {
    const { clock } = this.#options
    const due = this.#stopped || clock.now() < this.#yieldAt ? undefined : this.#misplaced()
    if (due === undefined) return
    const { slot, lease, book, voter } = due
    this.#slots.delete(slot)
    this.#vacantSince.set(slot, clock.now())
    // After an error the voter may have the book or not; `undefined` has the slot released, as if it had.
    const taken = await give(voter, this.#handover(slot, lease, book)).catch(() => undefined)
    if (taken !== false || this.#stopped || !lease.valid) return await lease.release()
    this.#slots.set(slot, { lease, book, openedAt: clock.now() })
    this.#yieldAt = clock.now() + this.#stay
  }

  /** A slot that another voter, which answers, is preferred for. */
  #misplaced (): Misplaced | undefined {
    const { preferred, worker } = this.#options
    const latest = this.#options.clock.now() - this.#stay
    for (const [slot, { lease, book, openedAt }] of this.#slots) {
      if (openedAt > latest) continue
      const [voter] = preferred(slot, this.#voters)
      if (book === undefined || voter === worker || !lease.valid || lease.missing.includes(voter) || !book.idle) continue
      return { slot, lease, book, voter }
    }
    return undefined
  }

  /** Keeps a book that another home hands over, until this worker holds the slot. Says whether it does. */
  inherit (handover: Handover): boolean {
    const { clock, service, period } = this.#options
    if (this.#stopped || handover.service !== service || !sameVoters(handover.voters, this.#voters)) return false
    this.#inheritances.set(handover.slot, { handover, until: clock.now() + waitPeriods * period })
    return true
  }

  /** Whether a book waits for the slot, so that this worker claims it out of turn. */
  #awaits (slot: number, now: number): boolean {
    const until = this.#inheritances.get(slot)?.until ?? -Infinity
    if (until <= now) this.#inheritances.delete(slot)
    return until > now
  }

  #handover (slot: number, lease: Lease, book: Book): Handover {
    const { clock, service } = this.#options
    const marks = [...lease.marks].map(([voter, mark]) => ({ voter, mark }))
    return { service, slot, voters: [...this.#voters], marks, book: book.kept(clock.wall(), handedBytes) }
  }

  async #give (handover: Handover, give: Give): Promise<void> {
    const { preferred, worker } = this.#options
    for (const voter of preferred(handover.slot, this.#voters)) {
      // After an error the next voter is tried: a second copy does no harm, only the next holder of the lease can use one.
      if (voter !== worker && await give(voter, handover).catch(() => false)) return
    }
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
    this.#slots.set(slot, { lease, book: undefined, openedAt: Infinity })
    lease.start()
  }

  #open (slot: number): void {
    const { clock, book, listener, tenure: count } = this.#options
    const held = this.#slots.get(slot)
    if (held === undefined) return
    const handover = this.#inheritances.get(slot)?.handover
    this.#inheritances.delete(slot)
    const tenure = count()
    held.openedAt = clock.now()
    held.book = handover !== undefined && follows(handover, held.lease.marks, this.#voters)
      ? Book.inherited(handover.book, tenure, book)
      : new Book(clock.wall(), tenure, book)
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

  /**
   * A claim that did not win goes away again, so that its minority of votes does not bar the others for long. One for
   * which a book waits goes on: the voters hear of the old home's release one after the other, and a second claim
   * would take a second turn of those that had heard, so that the book would no longer fit.
   */
  #refused (slot: number, answer: Answer): void {
    const held = this.#slots.get(slot)
    if (held === undefined || held.lease.valid || answer.granted || answer.reason !== 'held') return
    const now = this.#options.clock.now()
    if (this.#awaits(slot, now)) return
    this.#slots.delete(slot)
    this.#vacantSince.set(slot, now)
    held.lease.release()
  }
}
