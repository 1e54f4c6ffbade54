/**
 * Renews one claim: sends it to the granters at each interval and reports when the quorum is reached or lost. It owns
 * the timers and the current `Holding`. It relies on a `Channel` for messages, which may lose, delay and duplicate
 * them.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Answer, type Claim, type Mark } from './granter.js'
import { Holding, type Quorum } from './holding.js'

/** Sends messages from a lease to its granters. A message may be lost, delayed or duplicated, and a call may reject. */
export abstract class Channel {
  abstract request (granter: string, claim: Claim): Promise<Answer>
  abstract release (granter: string, claim: Claim): Promise<void>
}

/** Called when the state of a lease changes. */
export interface LeaseListener {
  /** The quorum was reached. */
  held? (): void
  /** The quorum ended by expiry or by release. `missing`: the granters without a current grant. */
  lapsed? (missing: readonly string[]): void
  /** A granter refused the claim. The lease continues to send it. */
  refused? (granter: string, answer: Answer): void
}

/** Options of a lease. */
export interface LeaseOptions {
  readonly clock: Clock
  readonly channel: Channel
  readonly claim: Claim
  readonly granters: readonly string[]
  readonly quorum: Quorum
  /** Time between two requests to a granter, in ms. It is a fraction of the period. */
  readonly interval: number
  readonly listener?: LeaseListener
}

/** Renews one claim at its granters and tells whether the claim is held. A lease serves one term only. */
export class Lease {
  readonly #options: LeaseOptions
  #holding: Holding
  #timer: Subscription | undefined
  #expiry: Subscription | undefined
  #released = false
  #reportedValid = false

  constructor (options: LeaseOptions) {
    this.#options = options
    this.#holding = Holding.empty(options.claim, options.granters, options.quorum)
  }

  /** Sends the claim to every granter, now and at each interval. */
  start (): void {
    this.#timer = this.#options.clock.every(this.#options.interval, () => this.#renew())
    this.#renew()
  }

  /** Whether there is a quorum now. Cheap enough to check before each forwarded chunk. */
  get valid (): boolean {
    return !this.#released && this.#holding.valid(this.#options.clock.bootNow())
  }

  /** When the quorum ends without further renewal, on `Clock.bootNow`. */
  get until (): number {
    return this.#released ? -Infinity : this.#holding.until
  }

  /** The granters without a current grant. */
  get missing (): string[] {
    return this.#holding.missing(this.#options.clock.bootNow())
  }

  /** The term of this lease. */
  get term (): string {
    return this.#options.claim.term
  }

  /** The latest mark of each granter. It remains after the grant or the lease has ended. */
  get marks (): ReadonlyMap<string, Mark> {
    return this.#holding.marks
  }

  /** The marks of the grants that are current now. Until one of them ends, its granter grants no other term. */
  get currentMarks (): ReadonlyMap<string, Mark> {
    return this.#holding.currentMarks(this.#options.clock.bootNow())
  }

  /**
   * Replaces the list of granters. This is safe only if every quorum of the old list overlaps every quorum of the new
   * list. For a majority, the lists may differ by one granter.
   */
  setGranters (granters: readonly string[]): void {
    this.#updateState()
    this.#holding = this.#holding.withGranters(granters, this.#options.quorum)
    this.#renew()
  }

  /** Ends the lease permanently and releases its grants, so that the granters need not wait until they expire. */
  async release (): Promise<void> {
    if (this.#released) return
    this.stop()
    const { channel, claim } = this.#options
    await Promise.allSettled(this.#holding.granters.map(granter => channel.release(granter, claim)))
  }

  /** Ends the lease permanently. The grants at the granters last until they expire. */
  stop (): void {
    this.#released = true
    this.#timer?.cancel()
    this.#expiry?.cancel()
    this.#updateState()
  }

  #renew (): void {
    this.#updateState()
    for (const granter of this.#holding.granters) this.#requestGrant(granter)
  }

  async #requestGrant (granter: string): Promise<void> {
    const { channel, claim, clock, listener } = this.#options
    const sent = clock.bootNow()
    // A missing answer needs no handling. The next interval sends the claim again; if the grant expires, `lapsed`
    // reports it.
    const answer = await channel.request(granter, claim).catch(() => undefined)
    if (this.#released || answer === undefined) return
    if (!answer.granted) {
      listener?.refused?.(granter, answer)
      return
    }
    // A quorum that ended while this process was paused is reported before the new grant can restore it.
    this.#updateState()
    this.#holding = this.#holding.withGrant(granter, sent, answer.mark)
    this.#updateState()
  }

  #updateState (): void {
    const { clock, listener } = this.#options
    const valid = this.valid
    if (valid !== this.#reportedValid) {
      this.#reportedValid = valid
      if (valid) listener?.held?.()
      else listener?.lapsed?.(this.missing)
    }
    this.#expiry?.cancel()
    if (valid) this.#expiry = clock.after(this.until - clock.bootNow(), () => this.#updateState())
  }
}
