/**
 * Keeps one claim renewed: it asks the granters at each interval and reports when the quorum comes and goes. It owns the
 * timers and the current `Holding`; it relies on a `Channel` for messages, which may lose, delay and double them.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Answer, type Claim, type Mark } from './granter.js'
import { Holding, type Quorum } from './holding.js'

/** How a lease reaches its granters. A message may be lost, late or doubled; a call may reject. */
export abstract class Channel {
  abstract request (granter: string, claim: Claim): Promise<Answer>
  abstract release (granter: string, claim: Claim): Promise<void>
}

/** Called when the state of a lease changes. */
export interface LeaseListener {
  /** The quorum came to stand. */
  held? (): void
  /** The quorum ended, by time or by release. */
  lapsed? (missing: readonly string[]): void
  /** A granter refused the claim. The lease goes on asking. */
  refused? (granter: string, answer: Answer): void
}

/** Options of a lease. */
export interface LeaseOptions {
  readonly clock: Clock
  readonly channel: Channel
  readonly claim: Claim
  readonly granters: readonly string[]
  readonly quorum: Quorum
  /** Time between two requests to a granter, in ms; several fit into a period. */
  readonly interval: number
  readonly listener?: LeaseListener
}

/** Keeps one claim renewed at its granters, and says at any moment whether it is held. It can be used for one term only. */
export class Lease {
  readonly #options: LeaseOptions
  readonly #marks = new Map<string, Mark>()
  #holding: Holding
  #timer: Subscription | undefined
  #expiry: Subscription | undefined
  #released = false
  #held = false

  constructor (options: LeaseOptions) {
    this.#options = options
    this.#holding = Holding.empty(options.claim, options.granters, options.quorum)
  }

  /** Asks every granter now and then at each interval. */
  start (): void {
    this.#timer = this.#options.clock.every(this.#options.interval, () => this.#renew())
    this.#renew()
  }

  /** Whether the quorum stands at this very moment. Cheap enough to ask before each chunk that is forwarded. */
  get valid (): boolean {
    return !this.#released && this.#holding.valid(this.#options.clock.bootNow())
  }

  /** When the quorum ends unless renewed, on `Clock.bootNow`. */
  get until (): number {
    return this.#released ? -Infinity : this.#holding.until
  }

  /** The granters whose grant is missing now. */
  get missing (): string[] {
    return this.#holding.missing(this.#options.clock.bootNow())
  }

  /** The term of this lease. */
  get term (): string {
    return this.#options.claim.term
  }

  /** The mark that each granter gave last, also after the lease has ended. */
  get marks (): ReadonlyMap<string, Mark> {
    return this.#marks
  }

  /**
   * Goes on with other granters. Safe only where every quorum of the old list meets every quorum of the new one: for
   * a majority, a list that differs by one.
   */
  move (granters: readonly string[]): void {
    this.#holding = this.#holding.moved(granters, this.#options.quorum)
    this.#renew()
  }

  /** Ends the lease for good and releases its grants, so that the granters need not wait for their expiry. */
  async release (): Promise<void> {
    if (this.#released) return
    this.stop()
    const { channel, claim } = this.#options
    await Promise.allSettled(this.#holding.granters.map(granter => channel.release(granter, claim)))
  }

  /** Ends the lease for good. The granters' grants run until they expire. */
  stop (): void {
    this.#released = true
    this.#timer?.cancel()
    this.#expiry?.cancel()
    this.#note()
  }

  #renew (): void {
    this.#note()
    for (const granter of this.#holding.granters) this.#ask(granter)
  }

  async #ask (granter: string): Promise<void> {
    const { channel, claim, clock, listener } = this.#options
    const sent = clock.bootNow()
    // No answer needs no handling: the grant expires by itself, `lapsed` reports it, and the next interval asks again.
    const answer = await channel.request(granter, claim).catch(() => undefined)
    if (this.#released || answer === undefined) return
    if (!answer.granted) {
      listener?.refused?.(granter, answer)
      return
    }
    this.#marks.set(granter, answer.mark)
    this.#holding = this.#holding.granted(granter, sent)
    this.#note()
  }

  #note (): void {
    const { clock, listener } = this.#options
    const valid = this.valid
    if (valid !== this.#held) {
      this.#held = valid
      if (valid) listener?.held?.()
      else listener?.lapsed?.(this.missing)
    }
    this.#expiry?.cancel()
    if (valid) this.#expiry = clock.after(this.until - clock.bootNow(), () => this.#note())
  }
}
