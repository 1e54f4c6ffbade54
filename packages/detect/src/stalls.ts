/**
 * Detects stalled replicas: a replica that lost a member keeps its connections open and sends nothing. A head whose
 * streams have all been silent for `maxSilence` ms is suspected, and other gateways are notified at once. If most
 * gateways with streams there suspect it too, each request in flight there may move. A single stream that is silent for
 * longer may also move while its head serves others, since its connection may have failed unnoticed.
 *
 * Owns only its timer. Relies on `InFlight` for silence, `Suspects` to store suspicions, `Pauses` to discard silence
 * that was measured while this process was paused, and on the heartbeats of other gateways for their views
 * (`agreement.ts`).
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { type Roster } from '@eiderwind/roster'
import { isMajoritySuspect, type GatewayView } from './agreement.js'
import { type InFlight } from './inflight.js'
import { type Pauses } from './pauses.js'
import { type Suspects } from './suspects.js'

/** Dependencies of `Stalls`. */
export interface StallsOptions {
  readonly clock: Clock
  readonly log: Log
  readonly roster: Roster
  readonly inFlight: InFlight
  readonly suspects: Suspects
  readonly pauses: Pauses
  /** How long all streams of a head may be silent before it is suspected, in ms. */
  readonly maxSilence: number
  /** The views of the other gateways that are live. */
  readonly peerViews: () => readonly GatewayView[]
  /** Called after a head has become suspected. */
  readonly suspected: () => void
}

/** Time between two checks, in ms: an eighth of the silence that is detected. */
const checkInterval = 50

/**
 * How long a single stream may be silent before it may move, in ms. This is well above the time of a first event at a
 * full replica. It is early enough that the stream continues elsewhere before its caller leaves, after 2,000 ms or
 * more.
 */
const streamSilence = 1200

/**
 * How long all streams of a head may be silent before that counts without confirmation by other gateways, in ms. A
 * first event takes 0.1 s, and 0.3 s while the head reads long prompts of other requests. At a full head it may take
 * longer than `maxSilence`.
 */
const unconfirmedSilence = 1000

/** Suspects heads whose streams have all stalled, and lets those streams move. */
export class Stalls {
  readonly #options: StallsOptions
  #timer: Subscription | undefined

  constructor (options: StallsOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.every(checkInterval, () => this.check())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  check (): void {
    const { clock, inFlight, maxSilence, pauses, peerViews } = this.#options
    // Data that arrived while this process was paused is still unread in its sockets.
    if (clock.now() - pauses.resumedAt < maxSilence) return
    const silent = inFlight.silentUpstreams(upstream => this.#isHead(upstream) ? maxSilence : Infinity)
    if (silent.length > 0) this.#checkHeads(silent, peerViews())
    for (const { upstream, handlers } of inFlight.silentRequests(streamSilence)) if (this.#isHead(upstream)) handlers.stalled?.()
  }

  /** Suspects silent heads. Lets their streams move if other gateways or a longer silence confirm the suspicion. */
  #checkHeads (silent: readonly string[], others: readonly GatewayView[]): void {
    const { inFlight } = this.#options
    const longSilent = new Set(inFlight.silentUpstreams(() => unconfirmedSilence))
    for (const id of silent) {
      const ownView = { inFlight: {}, suspects: [id] }
      const isConfirmed = longSilent.has(id) || isMajoritySuspect(id, [ownView, ...others])
      // A head that has sent this gateway nothing yet, but serves others, may only be slow to begin.
      if (!isConfirmed && !inFlight.hasReceivedFrom(id)) continue
      this.#suspect(id)
      if (!isConfirmed) continue
      // Also if it was suspected before: a stream that could not move then may find room now.
      for (const request of inFlight.requestsAt(id)) request.handlers.stalled?.()
    }
  }

  #suspect (id: string): void {
    const { log, roster, inFlight, suspects, suspected } = this.#options
    if (!suspects.add(id)) return
    log.write('upstream-suspected', { upstream: id, flights: inFlight.count(id), listed: roster.find(id) !== undefined })
    suspected()
  }

  /**
   * Whether an upstream is a head: only heads send events at a steady pace. A head that has left the list still counts
   * as one for its open streams.
   */
  #isHead (id: string): boolean {
    const { roster } = this.#options
    return (roster.find(id) ?? roster.departure(id)?.upstream)?.membership !== undefined
  }
}
