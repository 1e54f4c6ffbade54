/**
 * What upstreams say of themselves in their answers, and what follows from it: one that asks for rest gets nothing until its end, one that only refuses is
 * left out for a while, one that names a limit gets no more than that, one that is leaving gets no new request in this life, whatever the store's list says. Owns the rests and the upstreams that told
 * this gateway itself that they are leaving; the other gateways hear of those by heartbeat. A rest is asked of one gateway and told to no other;
 * a limit is for all together (`limiting.ts`).
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
  /** Called when the other gateways should hear at once that an upstream is leaving. */
  readonly tell: () => void
  /** Takes the limit that an upstream's answer to this gateway names. */
  readonly limited: (id: string, rate: number) => void
  /** Takes that an upstream is cold for so many ms by its answer to this gateway. */
  readonly cold: (id: string, remaining: number) => void
  /** Called when an upstream has asked for rest. */
  readonly rested: () => void
}

/** The conditions of upstreams by their own word. */
export class Conditions {
  readonly rests: Rests
  readonly #options: ConditionsOptions
  readonly #backoff = new Backoff()
  /** Ids of the upstreams that said in an answer to this gateway that they are leaving. */
  readonly #leaving = new Set<string>()

  constructor (options: ConditionsOptions) {
    const { clock, queue } = options
    this.#options = options
    this.rests = new Rests({ clock, begun: id => this.#rest(id), ended: () => queue.wake() })
  }

  /** Takes the condition of an upstream by any of its answers. */
  take (id: string, { leaving, rest, limit, cold }: Condition): void {
    if (rest > 0) this.#asked(id, rest)
    if (limit !== undefined) this.#options.limited(id, limit)
    if (cold !== undefined) this.#options.cold(id, cold)
    if (leaving) this.#leave(id)
  }

  /**
   * Takes an upstream's answer to a request. A refusal for a time that the upstream names itself needs no other pause. Plain upstreams have none either: averages that
   * learn from refusals already lead requests elsewhere (`Observations`), and where there is no other, one that refused twice may take the next request.
   */
  answered ({ id, membership }: Upstream, { refused, sentAt }: AnswerHead, condition: Condition): void {
    this.take(id, condition)
    if (membership === undefined) return
    if (!refused) this.#backoff.accepted(id)
    else if (condition.rest === 0) this.rests.pause(id, this.#backoff.refused(id, sentAt, this.#options.clock.now()))
  }

  /** What the heartbeats to other gateways say. */
  get news (): Pick<Heartbeat, 'leaving'> {
    const { roster } = this.#options
    for (const id of this.#leaving) if (!roster.remembers(id)) this.#leaving.delete(id)
    return { leaving: [...this.#leaving] }
  }

  /** Takes what the heartbeat of another gateway says. It is said again with each, so one that came before the list of upstreams is not lost. */
  hear ({ id: from, leaving = [] }: Heartbeat): void {
    const { log, roster } = this.#options
    for (const id of leaving) if (roster.leave(id)) log.write('upstream-leaving', { upstream: id, from })
  }

  #asked (id: string, rest: number): void {
    const { log, rested } = this.#options
    if (!this.rests.ask(id, rest)) return
    rested()
    log.write('upstream-resting', { upstream: id, rest: Math.round(rest) })
  }

  #leave (id: string): void {
    const { log, roster, tell } = this.#options
    if (this.#leaving.has(id)) return
    this.#leaving.add(id)
    if (roster.leave(id)) log.write('upstream-leaving', { upstream: id })
    tell()
  }

  /** What has not left yet is withdrawn, and who waits looks again, since it may wait in vain now. */
  #rest (id: string): void {
    const { inFlight, queue } = this.#options
    inFlight.withdraw(id, 'the upstream asked for rest')
    queue.wake()
  }
}
