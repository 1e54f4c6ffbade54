/**
 * Takes the list of upstreams and its changes from another gateway. In a large fleet that gateway watches the store for
 * all. In any fleet this is also done while the store cannot be reached from here, even right after the start, so that
 * a new process serves within a second by what the others know.
 * Each answer says up to which time it is complete. If the newest answer is older than the deployment allows, this
 * gateway watches the store itself. The source may have lost the store unnoticed, and requests must not continue to go
 * to upstreams that leave.
 * Owns which gateway is followed, and the last change taken from it. Relies on `Leadership` for the possible sources,
 * on `Peers` for which gateways are live, and on the platform to pause its own watch while this gateway follows
 * another.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type PeerAddress } from '@eiderwind/peers'
import { type GatewayBoard } from './facts.js'
import { type UpstreamChanges } from './messages.js'
import { type Platform } from './platform.js'
import { type UpstreamsCall } from './upstreamcalls.js'
import { type UpstreamList } from './upstreamlist.js'

/** Dependencies of `UpstreamFeed`. */
export interface UpstreamFeedOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly upstreamList: UpstreamList
  readonly platform: Pick<Platform, 'setFollowing'>
  readonly call: UpstreamsCall
  /** The gateways to follow, the best first; empty if this gateway should watch the store itself. */
  readonly sources: () => readonly PeerAddress[]
  /** Age of the newest answer above which this gateway watches the store itself, if it can, in ms. */
  readonly maxListAge: number
  /** Called with an error that nothing else handles. */
  readonly failed: (error: unknown) => void
}

/** Pause before the sources are tried again, in ms: a start should take well under a second. */
const retryPause = 100

/** Interval between checks of the newest answer's age, in ms: short compared with the age that is accepted. */
const checkInterval = 50

/**
 * Pause after an answer, in ms, so that several changes come in one answer. It bounds what a gateway with many
 * followers has to send. A watch of the store collects changes for as long or longer (platform/src/platform.ts).
 */
const batchDelay = 150

/** How long an answer may take, in ms, including the time for which the other gateway may wait for a change. */
const answerTimeout = 1500

/** How long the first answer of a source may take, in ms. It does not wait for a change. */
const firstAnswerTimeout = 500

/** Follows the lists of upstreams of other gateways. */
export class UpstreamFeed {
  readonly #options: UpstreamFeedOptions
  #timer: Subscription | undefined
  #stopped = false
  /** Whether the last request to a source was answered. */
  #isSourceAnswering = false
  /** By the answers of sources, the list is complete up to this time, on `Clock.bootNow`. */
  #completeAt = -Infinity

  constructor (options: UpstreamFeedOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.every(checkInterval, () => this.#check())
    this.#run().catch(this.#options.failed)
  }

  stop (): void {
    this.#timer?.cancel()
    this.#stopped = true
  }

  async #run (): Promise<void> {
    const { clock, failed } = this.#options
    while (!this.#stopped) {
      await this.#followSources().catch(failed)
      await clock.wait(retryPause)
    }
  }

  /** Follows each source in turn until none answers. Rejects if the list or a part that reads it throws. */
  async #followSources (): Promise<void> {
    try {
      for (const source of this.#options.sources()) await this.#follow(source)
    } finally {
      this.#isSourceAnswering = false
      this.#check()
    }
  }

  /**
   * Makes the platform watch the store, unless a source is followed and its newest answer is recent. This also holds
   * while the store counts as lost: without a call that belief would not end, and the sources may have lost the store too.
   */
  #check (): void {
    const { platform, sources } = this.#options
    platform.setFollowing(this.#isSourceAnswering && this.#isRecent(this.#completeAt) && sources().length > 0)
  }

  #isRecent (completeAt: number): boolean {
    const { clock, maxListAge } = this.#options
    return clock.bootNow() - completeAt <= maxListAge
  }

  /**
   * Whether a list that is complete up to `completeAt` is acceptable: it is recent enough, or the store is unreachable
   * and there is no better list.
   */
  #isAcceptable (completeAt: number): boolean {
    return !this.#options.board.read('store') || this.#isRecent(completeAt)
  }

  /** Follows one gateway as long as it is a source, answers, and its answers are acceptable. */
  async #follow ({ id, address }: PeerAddress): Promise<void> {
    const { clock, board, sources, upstreamList, call } = this.#options
    let last: UpstreamChanges | undefined
    while (!this.#stopped && sources().some(each => each.id === id)) {
      const askedAt = clock.bootNow()
      // If a gateway does not answer, the next source or the store itself is tried.
      const request = { life: last?.life ?? '', after: last?.newest ?? 0, revision: board.read('upstreamsRevision') }
      const answer = await call(address, request, last === undefined ? firstAnswerTimeout : answerTimeout).catch(() => undefined)
      if (answer === undefined || this.#stopped) return
      if (!sources().some(each => each.id === id)) return
      const completeAt = askedAt - (answer.age ?? Infinity)
      if (!this.#isAcceptable(completeAt)) return
      this.#isSourceAnswering = true
      this.#completeAt = completeAt
      upstreamList.follow(id, answer, completeAt)
      this.#check()
      last = answer
      await clock.wait(batchDelay)
    }
  }
}
