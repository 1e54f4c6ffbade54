/**
 * Engines that the list no longer names and that live all the same: their entries lapsed, since they could not write to the store, or went before
 * an end that they did not announce. Owns what such an engine last said of itself, and the rule how long it is kept. Relies on `Roster` for
 * departures, on `Probes` to ask the engines, and on the reconciler to call `check` at each look.
 *
 * Answers the load in which many engines lose the store at once and go on working: to dissolve their replicas would leave callers with a part of the room.
 */
import { isDeepStrictEqual } from 'node:util'
import { type Clock } from '@eiderwind/clock'
import { withWeightsInUse, type Departure, type Roster, type Upstream } from '@eiderwind/roster'
import { type EngineReport, type Probes } from './probes.js'

/** Dependencies of `Unlisted`. Spans are in ms. */
export interface UnlistedOptions {
  readonly clock: Clock
  readonly roster: Roster
  readonly probes: Probes
  /** How long an engine that answers is kept after its entry went; 0: not at all. */
  readonly keep: number
  /** When this process last ran on after a pause of its own, on `Clock.now`. */
  readonly resumedAt: () => number
  /** Whether an engine was found unreachable. */
  readonly isUnreachable: (id: string) => boolean
  /** Called with an engine that is no longer kept since it left its probes unanswered, so many in a row. */
  readonly silent: (id: string, missed: number) => void
  /** Called when an answer has come. */
  readonly changed: () => void
  /** Called when an engine is kept from now on, and when it is no longer, with what ended that. */
  readonly kept: (upstream: Upstream) => void
  readonly ended: (upstream: Upstream, how: UnlistedEnd) => void
  /** Called with an error that nothing else handles. */
  readonly failed: (error: unknown) => void
}

/** What ends the time in which an engine is kept. */
export type UnlistedEnd = 'listed' | 'silent' | 'leaving' | 'expired'

/** Time between two probes of one engine, in ms: the time-out of a probe (280 ms), rounded up. What the engine says moves the planner on. */
const probeInterval = 300

/**
 * Probes in a row after which an engine counts as silent: a single lost packet delays a new connection far beyond the time-out. One that has not
 * answered since its entry went has most likely died before, and its replica stands still.
 */
const missedProbes = 2
const missedUnheard = 1

/** Answers in a row that hint at an end after which an engine counts as leaving: single ones come from engines that stay. */
const leavingHints = 2

/**
 * Age of what an engine says of itself at the most, in ms. Up to that time after it has left a replica it may still name that one; later it
 * has joined it again, by an order that came late.
 */
const reportAge = 1000

/** An engine that is not listed. */
interface Absentee {
  /** Its last record, with what it said since. */
  upstream: Upstream
  /** When its entry went, on `Clock.now`. */
  readonly at: number
  probedAt: number
  expired: boolean
  /** Whether it has answered since, and how many probes in a row it has not answered. */
  heard: boolean
  missed: number
  /** Answers in a row that hinted at its end. */
  hints: number
  /** The replica that it left last by an order, and when, on `Clock.now`. */
  left: { readonly replica: string, readonly at: number } | undefined
}

/** The engines that are kept although they are not listed. */
export class Unlisted {
  readonly #options: UnlistedOptions
  readonly #absentees = new Map<string, Absentee>()
  /** When the entries of engines went that are not kept any more, on `Clock.now`. */
  readonly #over = new Map<string, number>()

  constructor (options: UnlistedOptions) {
    this.#options = options
  }

  /** The engines that are kept or expired, as they last described themselves, in the order in which their entries went. */
  get engines (): Upstream[] {
    return [...this.#absentees.values()].map(each => each.upstream)
  }

  /** Ids of the engines that are kept or expired. */
  get ids (): ReadonlySet<string> {
    return new Set(this.#absentees.keys())
  }

  /**
   * Ids of the engines that are no longer kept and still answer: they can't be counted on, but one that leads an open replica must be seen to, since its
   * members are not free.
   */
  get expired (): string[] {
    return [...this.#absentees.values()].filter(each => each.expired).map(each => each.upstream.id)
  }

  /** Ids of the engines that are kept and have not answered since their entries went. */
  get unheard (): string[] {
    return [...this.#absentees.values()].filter(each => !each.heard).map(each => each.upstream.id)
  }

  has (id: string): boolean {
    return this.#absentees.has(id)
  }

  /** Takes up engines whose entries went, asks those that are kept how they are, and drops those that are kept no longer. */
  check (): void {
    if (this.#options.keep === 0) return
    this.#drop()
    for (const departure of this.#options.roster.gone) this.#take(departure)
    for (const each of this.#absentees.values()) this.#probe(each)
  }

  /** Records that an engine has left a replica. */
  left (id: string, replica: string): void {
    const absentee = this.#absentees.get(id)
    if (absentee === undefined) return
    absentee.left = { replica, at: this.#options.clock.now() }
    absentee.upstream = this.#withoutLeft(absentee, absentee.upstream)
  }

  #take ({ upstream, at }: Departure): void {
    const { clock, keep, roster, isUnreachable, kept } = this.#options
    const { id } = upstream
    if (this.#absentees.has(id) || this.#over.get(id) === at) return
    if (upstream.domain === undefined || upstream.leaving || clock.now() - at >= keep || isUnreachable(id) || roster.hasEnded(id)) return
    this.#absentees.set(id, { upstream, at, probedAt: -Infinity, expired: false, heard: false, missed: 0, hints: 0, left: undefined })
    kept(upstream)
  }

  #drop (): void {
    const { clock, keep, roster, isUnreachable } = this.#options
    const listed = this.#absentees.size === 0 ? new Set() : new Set(roster.upstreams.map(each => each.address))
    for (const absentee of [...this.#absentees.values()]) {
      const { id, address } = absentee.upstream
      if (roster.find(id) !== undefined) this.#end(absentee, 'listed')
      // Its address has been given to another one, whose answers would count for it.
      else if (isUnreachable(id) || listed.has(address)) this.#end(absentee, 'silent')
      else if (roster.hasEnded(id) || !roster.remembers(id)) this.#end(absentee, 'expired')
      else if (!absentee.expired && clock.now() - absentee.at >= keep) this.#expire(absentee)
    }
    for (const id of [...this.#over.keys()]) if (!roster.remembers(id)) this.#over.delete(id)
  }

  #expire (absentee: Absentee): void {
    absentee.expired = true
    this.#options.ended(absentee.upstream, 'expired')
  }

  #end (absentee: Absentee, how: UnlistedEnd): void {
    const { id } = absentee.upstream
    this.#absentees.delete(id)
    if (how !== 'listed') this.#over.set(id, absentee.at)
    if (!absentee.expired) this.#options.ended(absentee.upstream, how)
    if (how === 'silent') this.#options.silent(id, absentee.missed)
  }

  #probe (absentee: Absentee): void {
    const { clock, probes, resumedAt, changed, failed } = this.#options
    const probedAt = clock.now()
    if (probedAt - absentee.probedAt < probeInterval) return
    absentee.probedAt = probedAt
    const { id, address } = absentee.upstream
    probes.report({ id, address }).then(report => {
      if (this.#absentees.get(id) !== absentee) return
      const { upstream, heard } = absentee
      if (report !== undefined) this.#answered(absentee, report)
      // A time-out that ran out during a pause of this process says nothing about the engine.
      else if (resumedAt() < probedAt) this.#missed(absentee)
      if (!heard || !this.#absentees.has(id) || !isDeepStrictEqual(upstream, absentee.upstream)) changed()
    }).catch(failed)
  }

  #answered (absentee: Absentee, { loaded, staged, membership, leaving }: EngineReport): void {
    absentee.heard = true
    absentee.missed = 0
    absentee.upstream = this.#withoutLeft(absentee, { ...absentee.upstream, loaded, staged, membership })
    absentee.hints = leaving ? absentee.hints + 1 : 0
    if (absentee.hints >= leavingHints) this.#end(absentee, 'leaving')
  }

  #withoutLeft ({ left, upstream: before }: Absentee, upstream: Upstream): Upstream {
    if (left === undefined) return upstream
    if (upstream.membership === undefined) return withWeightsInUse(upstream, before)
    if (left.replica !== upstream.membership?.replica || this.#options.clock.now() - left.at >= reportAge) return upstream
    return { ...upstream, membership: undefined }
  }

  #missed (absentee: Absentee): void {
    absentee.missed++
    if (absentee.missed >= (absentee.heard ? missedProbes : missedUnheard)) this.#end(absentee, 'silent')
    // It is asked again at the next check.
    else absentee.probedAt = -Infinity
  }
}
