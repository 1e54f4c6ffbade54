/**
 * Takes the list of upstreams and its changes from another gateway: in a large fleet from one that watches the store for all, and in any
 * fleet while the store cannot be reached from here, also from the start of the process: it then serves within a second by what the
 * others know.
 * Each answer says up to when it lacks nothing. Where the newest word is older than the deployment allows, this gateway watches the store
 * itself: the one that it follows may have lost its way to the store unnoticed, and requests must not go on to upstreams that leave.
 * Owns which gateway is followed and the last change taken from it. Relies on `Leadership` for whom to follow, on `Peers` for who
 * lives, and on the platform to pause its own watch while this one follows.
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
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
  /** Age of the newest word from which this gateway watches the store itself, if it can, in ms. */
  readonly patience: number
  /** Called with an error that nothing else handles. */
  readonly failed: (error: unknown) => void
}

/** Pause before sources are looked for again, in ms: a start should take well under a second. */
const lookInterval = 100

/** Time between two checks of the age of the newest word, in ms: small beside any `patience`. */
const checkInterval = 50

/**
 * Pause after an answer, in which changes gather, in ms. It bounds what a gateway that is followed by many has to send; a watch of the
 * store gathers as long or longer (platform/src/platform.ts).
 */
const gatherPause = 150

/** How long an answer may take beyond the time for which the other gateway may wait for a change, in ms. */
const answerTime = 1500

/** How long the first answer of a source may take, which does not wait for a change, in ms. */
const firstAnswerTime = 500

/** Follows other gateways' lists of upstreams. */
export class UpstreamFeed {
  readonly #options: UpstreamFeedOptions
  #timer: Subscription | undefined
  #stopped = false
  /** Whether the source that was asked last has answered. */
  #answering = false
  /** The list lacks nothing that happened before this time, by the answers of sources, on `Clock.bootNow`. */
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
    const { clock, sources } = this.#options
    while (!this.#stopped) {
      for (const source of sources()) await this.#follow(source)
      this.#answering = false
      this.#check()
      await clock.wait(lookInterval)
    }
  }

  /** Has the platform watch the store unless the list is followed here, and its newest word is young or the store away. */
  #check (): void {
    const { platform, sources } = this.#options
    platform.setFollowing(this.#answering && this.#counts(this.#completeAt) && sources().length > 0)
  }

  /** Whether a list that lacks nothing from before `completeAt` counts: it is young enough, or the store is away, so that there is no better. */
  #counts (completeAt: number): boolean {
    const { clock, board, patience } = this.#options
    return !board.read('store') || clock.bootNow() - completeAt <= patience
  }

  /** Follows one gateway as long as it is a source, answers, and what it says counts. */
  async #follow ({ id, address }: PeerAddress): Promise<void> {
    const { clock, sources } = this.#options
    let last: UpstreamChanges | undefined
    while (!this.#stopped && sources().some(each => each.id === id)) {
      const askedAt = clock.bootNow()
      // A gateway that does not answer is left for the next source, or for the store itself.
      const answer = await this.#ask(address, last).catch(() => undefined)
      if (answer === undefined || this.#stopped) return
      if (!sources().some(each => each.id === id)) return
      const completeAt = askedAt - (answer.age ?? Infinity)
      if (!this.#counts(completeAt)) return
      this.#take(answer, completeAt)
      this.#check()
      last = answer
      await clock.wait(gatherPause)
    }
  }

  async #ask (address: string, last: UpstreamChanges | undefined): Promise<UpstreamChanges> {
    const { clock, board, connections } = this.#options
    const path = upstreamsTarget({ life: last?.life ?? '', after: last?.newest ?? 0, revision: board.read('upstreamsRevision') })
    const call = { origin: `http://${address}`, path, method: 'GET', headers: {}, body: undefined }
    const { body } = await ask(connections, clock, call, last === undefined ? firstAnswerTime : answerTime)
    return decodeUpstreamChanges(body.toString())
  }

  #take ({ upstreams, changes, revision }: UpstreamChanges, completeAt: number): void {
    const { board, roster } = this.#options
    this.#answering = true
    this.#completeAt = completeAt
    board.write('upstreamsFrom', 'peer')
    if (board.read('store')) board.write('followed', true)
    board.write('upstreamsAt', completeAt)
    // The gateway that watches the store has judged already whether what is missing has lapsed or is gone.
    if (upstreams !== undefined) roster.replace(upstreams, 'certain')
    if (changes !== undefined && changes.length > 0) roster.apply(changes, 'certain')
    // A source may be behind what this gateway has read itself. A whole list counts as it is.
    const known = upstreams === undefined ? board.read('upstreamsRevision') : undefined
    board.write('upstreamsRevision', revision === undefined || known === undefined ? revision : Math.max(revision, known))
  }
}
