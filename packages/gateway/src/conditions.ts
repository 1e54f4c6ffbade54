/**
 * Handles what upstreams report about themselves in their answers. An upstream that asks for rest gets no request until
 * the rest ends. One that only refuses is skipped for a while. One that names a limit gets no more requests than that.
 * One that is leaving gets no new request in this incarnation, whatever the store's list says.
 * Owns the rests, and the set of upstreams that announced to this gateway that they are leaving. Heartbeats carry that
 * set to the other gateways. A rest is asked of one gateway and is not forwarded; a limit is for all gateways together
 * (`upstreamlimits.ts`).
 */
import { type Clock } from '@eiderwind/clock'
import { Backoff, Rests, type InFlight } from '@eiderwind/detect'
import { type Queue } from '@eiderwind/dispatch'
import { type AnswerHead } from '@eiderwind/forward'
import { type Log } from '@eiderwind/log'
import { type Heartbeat } from '@eiderwind/peers'
import { type Condition, type Roster, type Upstream } from '@eiderwind/roster'

/** Dependencies of `Conditions`. */
export interface ConditionsOptions {
  readonly clock: Clock
  readonly log: Log
  readonly roster: Roster
  readonly inFlight: InFlight
  readonly queue: Queue
  /** Called when a heartbeat should be sent at once, because an upstream is leaving. */
  readonly announce: () => void
  /** Takes the limit named in an upstream's answer to this gateway. */
  readonly limited: (id: string, rate: number) => void
  /** Takes the time for which an upstream is still cold, in ms, from its answer to this gateway. */
  readonly cold: (id: string, remaining: number) => void
  /** Called when an upstream has asked for rest. */
  readonly rested: () => void
}

/** The conditions that upstreams report about themselves. */
export class Conditions {
  readonly rests: Rests
  readonly #options: ConditionsOptions
  readonly #backoff = new Backoff()
  /** Ids of the upstreams that announced in an answer to this gateway that they are leaving. */
  readonly #leaving = new Set<string>()

  constructor (options: ConditionsOptions) {
    const { clock, queue } = options
    this.#options = options
    this.rests = new Rests({ clock, begun: id => this.#restStarted(id), ended: () => queue.wake() })
  }

  /** Takes the condition of an upstream from any of its answers. */
  take (id: string, { leaving, rest, limit, cold }: Condition): void {
    if (rest > 0) this.#startRest(id, rest)
    if (limit !== undefined) this.#options.limited(id, limit)
    if (cold !== undefined) this.#options.cold(id, cold)
    if (leaving) this.#markLeaving(id)
  }

  /**
   * Takes an upstream's answer to a request. A refusal that names a rest needs no other pause. Plain upstreams get no
   * pause either: averages that learn from refusals already direct requests elsewhere (`Observations`), and if there is
   * no other upstream, one that refused twice may accept the next request.
   */
  answered ({ id, membership }: Upstream, { refused, sentAt }: AnswerHead, condition: Condition): void {
    this.take(id, condition)
    if (membership === undefined) return
    if (!refused) this.#backoff.recordAcceptance(id)
    else if (condition.rest === 0) this.rests.pause(id, this.#backoff.recordRefusal(id, sentAt, this.#options.clock.now()))
  }

  /** This module's fields of the heartbeats to other gateways. */
  get heartbeatFields (): Pick<Heartbeat, 'leaving'> {
    const { roster } = this.#options
    for (const id of this.#leaving) if (!roster.isKnown(id)) this.#leaving.delete(id)
    return { leaving: [...this.#leaving] }
  }

  /**
   * Takes the leaving upstreams from another gateway's heartbeat. Every heartbeat repeats them, so an announcement that
   * arrives before the list of upstreams is not lost.
   */
  receiveHeartbeat ({ id: from, leaving = [] }: Heartbeat): void {
    const { log, roster } = this.#options
    for (const id of leaving) if (roster.markLeaving(id)) log.write('upstream-leaving', { upstream: id, from })
  }

  #startRest (id: string, rest: number): void {
    const { log, rested } = this.#options
    if (!this.rests.recordRestRequest(id, rest)) return
    rested()
    log.write('upstream-resting', { upstream: id, rest: Math.round(rest) })
  }

  #markLeaving (id: string): void {
    const { log, roster, announce } = this.#options
    if (this.#leaving.has(id)) return
    this.#leaving.add(id)
    if (roster.markLeaving(id)) log.write('upstream-leaving', { upstream: id })
    announce()
  }

  /**
   * Withdraws requests that have not been sent yet. Waiting requests search again, since they might otherwise wait in
   * vain.
   */
  #restStarted (id: string): void {
    const { inFlight, queue } = this.#options
    inFlight.withdraw(id, 'the upstream asked for rest')
    queue.wake()
  }
}
