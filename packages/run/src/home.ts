/**
 * The slots of keys of which one worker is the home. It owns the lease and the book of each slot that the worker holds
 * or claims. At planned stops it hands the books over to other workers. It relies on leases by a majority of the
 * voters. docs/design/runs.md gives the proof.
 */
import { type Clock } from '@eiderwind/clock'
import { Lease, type Answer, type Channel, type Claim } from '@eiderwind/lease'
import { type Handover } from '@eiderwind/schema'
import { Book, type BookOptions } from './book.js'
import { SlotClaim, type BookOrigin } from './claim.js'
import { isDirectSuccessor, sameVoters, type Inheritance } from './inheritance.js'
import { slotCount } from './key.js'
import { Vacancies } from './vacancies.js'

/** How a worker has become the home of a slot. */
export interface Opening {
  readonly slot: number
  readonly origin: BookOrigin
  /** The book cannot decide on keys minted up to this wall time, unless it contains them. */
  readonly floor: number
}

/** Called when this worker becomes the home of a slot (`held`) or is no longer its home (`lost`). */
export interface HomeListener {
  held? (opening: Opening): void
  /** `missing`: the voters without a current grant. */
  lost? (slot: number, missing: readonly string[]): void
}

/** Sends the book of a slot to a voter. Resolves with whether the voter accepted it, and may reject. */
export type HandoverSender = (voter: string, handover: Handover) => Promise<boolean>

/**
 * Maximum size of the answers that are handed over with one slot, in bytes. In Base64 and with the other fields they
 * fit into one call.
 */
const maxHandoverBytes = 4 * 2 ** 20

/** Default for the minimum time before a slot is offered to its preferred voter. */
const defaultStayMs = 30_000

/** Number of lease periods for which a book waits for its slot: one that was handed over, or one whose lease lapsed. */
const bookWaitPeriods = 5

/** Options of `Homes`. */
export interface HomesOptions {
  readonly clock: Clock
  readonly channel: Channel
  readonly service: string
  /** The name of this worker. */
  readonly worker: string
  /** The workers that vote on the leases, including this one. */
  readonly voters: readonly string[]
  /** Lease period, in ms. */
  readonly period: number
  /** Interval of renewal, in ms. */
  readonly interval: number
  /** Returns a unique name for the term of a lease. */
  readonly nonce: () => string
  /**
   * Returns the number of the next tenure. It must be unique in this process: an entry refers to a tenure by its
   * number.
   */
  readonly tenure: () => number
  /** Returns the voters in order of preference as home of the slot. */
  readonly preferred: (slot: number, voters: readonly string[]) => readonly string[]
  readonly book?: BookOptions
  /**
   * Minimum time, in ms, before a slot is offered to its preferred voter: since this worker became its home, or since
   * the voter refused it. Default: 30,000.
   */
  readonly minStay?: number
  readonly listener?: HomeListener
}

/** A slot of which a worker is the home. */
export interface HeldSlot {
  readonly slot: number
  /** The number of the worker's tenure. */
  readonly tenure: number
}

/** A slot whose home is not its preferred voter. */
interface MisplacedSlot {
  readonly slot: number
  readonly claim: SlotClaim
  /** The preferred voter. */
  readonly voter: string
}

/**
 * The slots of which one worker is the home or claims to be. Each slot is a resource with a lease by a majority of the
 * voters. The preferred voter claims its slots after two renewal intervals of vacancy. Each other voter claims a slot
 * only after the slot has been vacant for two lease periods times its rank of preference, so that claims rarely split
 * the votes. When the quorum of a lease is reached, a book is opened.
 *
 * If a lease lapses, for example because the voters or this process were paused, the claim continues under the same
 * term. Once the quorum is back, the book is continued if the marks of the voters show that no other home held the slot
 * meanwhile. Requests that ran during the lapse are recorded in it. Otherwise a new book is opened.
 *
 * At a planned stop a home hands its book over to the next home, which then need not refuse earlier keys. The next home
 * may use the book only if no other worker held the slot in between. The marks of the voters show this (`Mark` in
 * `@eiderwind/lease`): a home in between would have had a majority, so at least one voter of any other majority would
 * have given it a turn.
 */
export class Homes {
  readonly #options: HomesOptions
  readonly #claims = new Map<number, SlotClaim>()
  readonly #vacancies: Vacancies
  readonly #inheritances = new Map<number, Inheritance>()
  #voters: readonly string[]
  #stopped = false
  #nextYieldAt = -Infinity

  constructor (options: HomesOptions) {
    this.#options = options
    this.#voters = options.voters
    this.#vacancies = new Vacancies(options.clock.now(), options)
  }

  get #minStay (): number {
    return this.#options.minStay ?? defaultStayMs
  }

  /** The slots of which this worker is the home now. */
  get held (): HeldSlot[] {
    const held: HeldSlot[] = []
    for (const [slot, { book }] of this.#claims) {
      if (book !== undefined) held.push({ slot, tenure: book.tenure })
    }
    return held
  }

  /** The book of a slot, or undefined if this worker is not its home. */
  book (slot: number): Book | undefined {
    return this.#claims.get(slot)?.book
  }

  /** Records that a worker holds the slot, so that this worker does not claim it. */
  recordHolder (slot: number, holder: string): void {
    if (holder !== this.#options.worker) this.#vacancies.reset(slot)
  }

  /** Replaces the list of voters. The new list may differ from the current one by one voter only. */
  setVoters (voters: readonly string[]): void {
    const isChange = !sameVoters(voters, this.#voters)
    this.#voters = voters
    for (const claim of this.#claims.values()) {
      claim.lease.setGranters(voters)
      if (isChange) claim.changeVoters(voters)
    }
    if (isChange) this.#inheritances.clear()
  }

  /**
   * Claims vacant slots. Called at each interval. A voter of lower preference waits longer, so that the preferred
   * voters claim first. A slot for which a book waits is claimed at once.
   */
  update (): void {
    if (this.#stopped) return
    const { clock, preferred, worker } = this.#options
    const now = clock.now()
    this.#vacancies.beginRound(now)
    for (let slot = 0; slot < slotCount; slot++) {
      if (this.#claims.has(slot)) continue
      const rank = preferred(slot, this.#voters).indexOf(worker)
      if (rank < 0) continue
      const isVacantLongEnough = this.#vacancies.observe(slot, rank)
      if (isVacantLongEnough || this.#awaitsInheritance(slot, now)) this.#claim(slot)
    }
  }

  /** Releases all leases without handing books over. */
  async stop (): Promise<void> {
    this.#stopped = true
    const leases = [...this.#claims.values()].map(({ lease }) => lease)
    await Promise.all(leases.map(lease => lease.release()))
    this.#claims.clear()
  }

  /**
   * Releases all leases at a planned stop, and hands each book over to the first other voter that accepts it. The next
   * home cannot tell how requests that still run will end, so this is best called when no request runs.
   *
   * A book whose lease has lapsed is handed over too. The marks show the next home whether it may use it.
   */
  async handOver (send: HandoverSender): Promise<void> {
    this.#stopped = true
    const claims = [...this.#claims]
    this.#claims.clear()
    await Promise.all(claims.map(async ([slot, claim]) => {
      const handover = this.#makeHandover(slot, claim)
      if (handover !== undefined) await this.#sendHandover(handover, send)
      await claim.lease.release()
    }))
  }

  /**
   * Hands one slot over to its preferred voter, so that slots spread again after restarts. This requires that the lease
   * has a current grant of this voter, which shows that the voter answers, that no request of the slot runs, and that
   * this worker has held the slot for the minimum time.
   *
   * If the voter refuses, this worker keeps the slot. If the voter may have accepted the book, this worker runs no
   * further request of the slot: the next home decides with the book as it was sent.
   */
  async yieldSlot (send: HandoverSender): Promise<void> {
    const { clock } = this.#options
    const misplaced = this.#stopped || clock.now() < this.#nextYieldAt ? undefined : this.#misplaced()
    if (misplaced === undefined) return
    const { slot, claim, voter } = misplaced
    const handover = this.#makeHandover(slot, claim)
    if (handover === undefined) return
    claim.isOffered = true
    // After an error the voter may have the book. `undefined` makes this worker release the slot, as after an
    // acceptance.
    const taken = await send(voter, handover).catch(() => undefined)
    claim.isOffered = false
    if (this.#claims.get(slot) !== claim) return
    if (taken !== false) return await this.#withdraw(slot, claim)
    claim.openedAt = clock.now()
    this.#nextYieldAt = clock.now() + this.#minStay
  }

  /** Finds a slot whose preferred voter is another worker, and whose lease has a current grant of this voter. */
  #misplaced (): MisplacedSlot | undefined {
    const { preferred, worker } = this.#options
    const latestOpening = this.#options.clock.now() - this.#minStay
    for (const [slot, claim] of this.#claims) {
      if (claim.openedAt > latestOpening) continue
      const [voter] = preferred(slot, this.#voters)
      if (voter === worker || claim.lease.missing.includes(voter) || claim.book?.idle !== true) continue
      return { slot, claim, voter }
    }
    return undefined
  }

  /**
   * Accepts a book that another home hands over, for use when this worker holds the slot. Returns whether it was
   * accepted.
   */
  inherit (handover: Handover): boolean {
    const { clock, service, period } = this.#options
    if (this.#stopped || handover.service !== service || !sameVoters(handover.voters, this.#voters)) return false
    this.#inheritances.set(handover.slot, { handover, until: clock.now() + bookWaitPeriods * period })
    return true
  }

  /** Whether a book that was handed over waits for the slot. */
  #awaitsInheritance (slot: number, now: number): boolean {
    const until = this.#inheritances.get(slot)?.until ?? -Infinity
    if (until <= now) this.#inheritances.delete(slot)
    return until > now
  }

  #makeHandover (slot: number, claim: SlotClaim): Handover | undefined {
    const { clock, service } = this.#options
    const { record } = claim
    if (record === undefined) return undefined
    const marks = [...record.marks].map(([voter, mark]) => ({ voter, mark }))
    return { service, slot, voters: [...this.#voters], marks, book: record.book.snapshot(clock.wall(), maxHandoverBytes) }
  }

  async #sendHandover (handover: Handover, send: HandoverSender): Promise<void> {
    const { preferred, worker } = this.#options
    for (const voter of preferred(handover.slot, this.#voters)) {
      // After an error the next voter is tried. A second copy is harmless: only the next holder of the lease can use
      // its copy.
      if (voter !== worker && await send(voter, handover).catch(() => false)) return
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
        lapsed: missing => this.#suspend(slot, missing),
        refused: (voter, answer) => this.#refused(slot, voter, answer)
      }
    })
    this.#claims.set(slot, new SlotClaim(lease))
    lease.start()
  }

  #open (slot: number): void {
    const claim = this.#claims.get(slot)
    if (claim === undefined) return
    const { clock, listener } = this.#options
    const origin = claim.continue(this.#voters) ? 'continued' : this.#openBook(slot, claim)
    this.#inheritances.delete(slot)
    listener?.held?.({ slot, origin, floor: claim.record?.book.floor(clock.wall()) ?? -Infinity })
  }

  /** Opens the book that was handed over if this home directly succeeds its previous home, else a new one. */
  #openBook (slot: number, claim: SlotClaim): BookOrigin {
    const { clock, book, tenure: nextTenure } = this.#options
    const handover = this.#inheritances.get(slot)?.handover
    const successor = { voters: this.#voters, marks: claim.lease.currentMarks }
    const inherited = handover !== undefined && isDirectSuccessor(handover, successor) ? handover.book : undefined
    const tenure = nextTenure()
    claim.open(inherited === undefined ? new Book(clock.wall(), tenure, book) : Book.inherited(inherited, tenure, book), this.#voters, clock.now())
    return inherited === undefined ? 'new' : 'inherited'
  }

  /** Keeps the claim and its book when the lease has lapsed. */
  #suspend (slot: number, missing: readonly string[]): void {
    const claim = this.#claims.get(slot)
    if (claim === undefined) return
    const { clock, period, listener } = this.#options
    claim.suspend(clock.now() + bookWaitPeriods * period)
    listener?.lost?.(slot, missing)
  }

  /**
   * Withdraws a claim that did not win, so that its minority of grants does not block other claims for long.
   *
   * A claim for which a book waits continues. The release of the old home reaches the voters at different times. A
   * second claim would get a second turn from the voters that have processed the release, and the book could no longer
   * be used.
   */
  #refused (slot: number, voter: string, answer: Answer): void {
    const claim = this.#claims.get(slot)
    if (claim === undefined || claim.lease.valid || answer.granted || answer.reason !== 'held') return
    const now = this.#options.clock.now()
    if (this.#awaitsInheritance(slot, now) || claim.mayContinue(voter, now)) return
    this.#withdraw(slot, claim)
  }

  async #withdraw (slot: number, claim: SlotClaim): Promise<void> {
    this.#claims.delete(slot)
    this.#vacancies.reset(slot)
    await claim.lease.release()
  }
}
