/**
 * The stall detector: a replica that lost a member keeps its connections open and sends nothing. A head all of whose
 * streams are silent for `silence` ms is suspected, and other gateways hear of it at once; where most of those that have streams there
 * suspect it too, each request in flight there is given the chance to move. So is a single
 * stream that is silent for longer while its head serves others: its connection may have gone silent for good.
 * Owns only its timer. Relies on `InFlight` for silence, `Suspects` to remember, `Pauses` to distrust its own clock, and on the heartbeats
 * of other gateways for what they see (`agreement.ts`).
 */
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { type Roster } from '@eiderwind/roster'
import { isAgreed, type Witness } from './agreement.js'
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
  readonly silence: number
  /** What the other gateways that are live see. */
  readonly witnesses: () => readonly Witness[]
  /** Called after a head that was trusted has become suspected. */
  readonly suspected: () => void
}

/** Time between two checks, in ms: an eighth of the silence that is looked for. */
const checkInterval = 50

/**
 * How long a single stream may be silent before it may move, in ms: well above what a first event takes at a full replica, and early
 * enough that the stream goes on elsewhere before its caller leaves, after 2,000 ms or more.
 */
const streamSilence = 1200

/**
 * How long all streams of a head may be silent before that counts without the word of other gateways, in ms: a first event takes 0.1 s, and
 * 0.3 s where the head reads long prompts for others; at a full head it may take longer than `silence`.
 */
const loneSilence = 1000

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
    const { clock, inFlight, silence, pauses, witnesses } = this.#options
    // What arrived while this process was paused still waits unread in its own sockets.
    if (clock.now() - pauses.resumedAt < silence) return
    const silent = inFlight.silent(upstream => this.#isHead(upstream) ? silence : Infinity)
    if (silent.length > 0) this.#judge(silent, witnesses())
    for (const { upstream, handlers } of inFlight.silentRequests(streamSilence)) if (this.#isHead(upstream)) handlers.stalled?.()
  }

  /** Suspects silent heads, and has their streams move where that is no view of this gateway alone. */
  #judge (silent: readonly string[], others: readonly Witness[]): void {
    const { inFlight } = this.#options
    const long = new Set(inFlight.silent(() => loneSilence))
    for (const id of silent) {
      const own = { inFlight: {}, suspects: [id] }
      const agreed = long.has(id) || isAgreed(id, [own, ...others])
      // A head that has sent this gateway nothing yet, and serves others, may only be slow to begin.
      if (!agreed && !inFlight.hasBegun(id)) continue
      this.#suspect(id)
      if (!agreed) continue
      // Also when it was suspected before: a stream that could not move then may find room now.
      for (const request of inFlight.at(id)) request.handlers.stalled?.()
    }
  }

  #suspect (id: string): void {
    const { log, roster, inFlight, suspects, suspected } = this.#options
    if (!suspects.add(id)) return
    log.write('upstream-suspected', { upstream: id, flights: inFlight.count(id), listed: roster.find(id) !== undefined })
    suspected()
  }

  /** Only heads owe events at a steady pace. A head that has left the list is still one for its streams. */
  #isHead (id: string): boolean {
    const { roster } = this.#options
    return (roster.find(id) ?? roster.departure(id)?.upstream)?.membership !== undefined
  }
}
