/**
 * Takes the list of upstreams and its changes from another gateway while the store cannot be reached from here, also from the start of
 * the process: it then serves within a second by what the others know.
 * Owns which gateway is followed and the last change taken from it. Relies on `Leadership` for whom to follow, on `Peers` for who
 * lives, and on the platform to pause its own watch while this one follows.
 */
import { type Clock } from '@eiderwind/clock'
import { type PeerAddress } from '@eiderwind/peers'
import { type Roster } from '@eiderwind/roster'
import { ask, type Connections } from '@eiderwind/wire'
import { type GatewayBoard } from './facts.js'
import { decodeUpstreamChanges, upstreamsTarget, type UpstreamChanges } from './messages.js'
import { type Platform } from './platform.js'

/** Dependencies of `UpstreamFeed`. */
export interface UpstreamFeedOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly roster: Roster
  readonly platform: Platform
  readonly connections: Connections
  /** The gateways to follow, the best first; none where this one should watch the store itself. */
  readonly sources: () => readonly PeerAddress[]
  /** Called with an error that nothing else handles. */
  readonly failed: (error: unknown) => void
}

/** Pause before sources are looked for again, in ms. Chosen, not measured: a start should take well under a second. */
const lookInterval = 100

/** How long an answer may take beyond the second for which the other gateway may wait for a change, in ms. Chosen, not measured. */
const answerTime = 1500

/** How long the first answer of a source may take, which does not wait for a change, in ms. Chosen, not measured. */
const firstAnswerTime = 500

/** Follows other gateways' lists of upstreams. */
export class UpstreamFeed {
  readonly #options: UpstreamFeedOptions
  #stopped = false

  constructor (options: UpstreamFeedOptions) {
    this.#options = options
  }

  start (): void {
    this.#run().catch(this.#options.failed)
  }

  stop (): void {
    this.#stopped = true
  }

  async #run (): Promise<void> {
    const { clock, platform, sources } = this.#options
    while (!this.#stopped) {
      for (const source of sources()) await this.#follow(source)
      platform.setFollowing(false)
      await clock.wait(lookInterval)
    }
  }

  /** Follows one gateway as long as it answers and is a source. */
  async #follow ({ id, address }: PeerAddress): Promise<void> {
    const { platform, sources } = this.#options
    let last: UpstreamChanges | undefined
    while (!this.#stopped && sources().some(each => each.id === id)) {
      // A gateway that does not answer is left for the next source, or for the store itself.
      const answer = await this.#ask(address, last).catch(() => undefined)
      if (answer === undefined || this.#stopped) return
      if (!sources().some(each => each.id === id)) return
      platform.setFollowing(true)
      this.#take(answer)
      last = answer
    }
  }

  async #ask (address: string, last: UpstreamChanges | undefined): Promise<UpstreamChanges> {
    const { clock, connections } = this.#options
    const path = upstreamsTarget({ life: last?.life ?? '', after: last?.newest ?? 0 })
    const call = { origin: `http://${address}`, path, method: 'GET', headers: {}, body: undefined }
    const { body } = await ask(connections, clock, call, last === undefined ? firstAnswerTime : answerTime)
    return decodeUpstreamChanges(body.toString())
  }

  #take ({ upstreams, changes }: UpstreamChanges): void {
    const { board, roster } = this.#options
    if (board.read('upstreamsFrom') !== 'peer') board.write('upstreamsFrom', 'peer')
    // The gateway that watches the store has judged already whether what is missing has lapsed or is gone.
    if (upstreams !== undefined) roster.replace(upstreams, 'certain')
    if (changes !== undefined && changes.length > 0) roster.apply(changes, 'certain')
  }
}
