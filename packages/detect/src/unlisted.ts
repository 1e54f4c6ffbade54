/**
 * Retains unlisted engines: engines that the list no longer names although they still run. Their entries lapsed because
 * they could not write to the store, or were removed because the engines are ending without having announced it. A
 * retained engine counts as a member of its replica as if it were listed. Owns the last report of each such engine and
 * the rule for how long it is retained. Relies on `Roster` for departures, on `Probes` for reports, and on the
 * reconciler to call `check` at each of its passes.
 *
 * Many engines may lose the store at once and continue to work. Dissolving their replicas would leave callers only part
 * of the capacity.
 */
import { isDeepStrictEqual } from 'node:util'
import { type Clock } from '@eiderwind/clock'
import { withWeightsInUse, type Departure, type Roster, type Upstream } from '@eiderwind/roster'
import { type EngineReport, type Probes } from './probes.js'
import { Silences } from './silences.js'

/** Dependencies of `Unlisted`. Times are in ms. */
export interface UnlistedOptions {
  readonly clock: Clock
  readonly roster: Roster
  readonly probes: Probes
  /** How long an engine that answers is retained after its entry was removed. With 0 none is retained. */
  readonly retentionTime: number
  /** When this process last resumed after a pause of its own, on `Clock.now`. */
  readonly resumedAt: () => number
  /** Whether an engine certainly cannot go on. */
  readonly isLost: (id: string) => boolean
  /** Called with an engine that is no longer retained because it left `missed` consecutive probes unanswered. */
  readonly silent: (id: string, missed: number) => void
  /** Called after a report or a missed probe has changed what is known about an engine. */
  readonly changed: () => void
  /** Called when an engine begins to be retained, and when it is no longer retained, with the cause. */
  readonly retained: (upstream: Upstream) => void
  readonly ended: (upstream: Upstream, how: UnlistedEnd) => void
  /** Called with an error that nothing else handles. */
  readonly failed: (error: unknown) => void
}

/**
 * Why an engine is no longer retained. `listed`: it is listed again. `silent`: it left its probes unanswered, or its
 * address is listed for another upstream. `leaving`: several answers in a row hinted at its end. `expired`: it was
 * retained for `retentionTime`, its end became certain, or the roster no longer knows it.
 */
export type UnlistedEnd = 'listed' | 'silent' | 'leaving' | 'expired'

/**
 * Time between two probes of one engine, in ms: the time-out of a probe (280 ms), rounded up. The planner acts on the
 * reports.
 */
const probeInterval = 300

/**
 * Consecutive answers that hint at an end after which an engine counts as leaving. Single hints also come from engines
 * that stay.
 */
const leavingHintsLimit = 2

/**
 * Maximum age of a report, in ms. For this long after an engine has left a replica, its report may still name that
 * replica. A later report that names it means that the engine has joined again, by an order that arrived late.
 */
const maxReportAge = 1000

/** An engine that is not listed, and is retained or expired. */
interface UnlistedEngine {
  /** Its last record, updated from its reports. */
  upstream: Upstream
  /** When its entry was removed, on `Clock.now`. */
  readonly at: number
  probedAt: number
  isExpired: boolean
  /** Whether it has answered since its entry was removed, and how many consecutive probes it has missed. */
  hasAnswered: boolean
  missed: number
  /** Consecutive answers that hinted at its end. */
  hints: number
  /** The replica that it last left by an order, and when, on `Clock.now`. */
  left: { readonly replica: string, readonly at: number } | undefined
}

/** The engines that are retained although they are not listed. */
export class Unlisted {
  readonly #options: UnlistedOptions
  readonly #engines = new Map<string, UnlistedEngine>()
  readonly #silences = new Silences()
  /** When the entries of the engines that are no longer retained were removed, on `Clock.now`, by engine id. */
  readonly #endedDepartures = new Map<string, number>()

  constructor (options: UnlistedOptions) {
    this.#options = options
  }

  /** The engines that are retained or expired, as last reported, in the order in which their entries were removed. */
  get engines (): Upstream[] {
    return [...this.#engines.values()].map(each => each.upstream)
  }

  /** Ids of the engines that are retained or expired. */
  get ids (): ReadonlySet<string> {
    return new Set(this.#engines.keys())
  }

  /**
   * Ids of the engines that are no longer retained and still answer. They do not count as available. One that leads an
   * open replica must still be dealt with, since its members are not free.
   */
  get expired (): string[] {
    return [...this.#engines.values()].filter(each => each.isExpired).map(each => each.upstream.id)
  }

  /** Ids of the engines that are retained and have not answered since their entries were removed. */
  get unresponsive (): string[] {
    return [...this.#engines.values()].filter(each => !each.hasAnswered).map(each => each.upstream.id)
  }

  has (id: string): boolean {
    return this.#engines.has(id)
  }

  /**
   * Adds engines whose entries were removed, probes the engines that are retained, and drops those that are no
   * longer retained.
   */
  check (): void {
    if (this.#options.retentionTime === 0) return
    this.#drop()
    for (const departure of this.#options.roster.gone) this.#retain(departure)
    for (const each of this.#engines.values()) this.#probe(each)
  }

  /** Records that an engine has left a replica. */
  recordLeft (id: string, replica: string): void {
    const engine = this.#engines.get(id)
    if (engine === undefined) return
    engine.left = { replica, at: this.#options.clock.now() }
    engine.upstream = this.#withoutLeftReplica(engine, engine.upstream)
  }

  #retain ({ upstream, at }: Departure): void {
    const { clock, retentionTime, roster, isLost, retained } = this.#options
    const { id } = upstream
    if (this.#engines.has(id) || this.#endedDepartures.get(id) === at) return
    if (upstream.domain === undefined || upstream.leaving || clock.now() - at >= retentionTime || isLost(id) || roster.hasEnded(id)) return
    this.#engines.set(id, { upstream, at, probedAt: -Infinity, isExpired: false, hasAnswered: false, missed: 0, hints: 0, left: undefined })
    retained(upstream)
  }

  #drop (): void {
    const { clock, retentionTime, roster, isLost } = this.#options
    const listed = this.#engines.size === 0 ? new Set() : new Set(roster.upstreams.map(each => each.address))
    for (const engine of [...this.#engines.values()]) {
      const { id, address } = engine.upstream
      if (roster.find(id) !== undefined) this.#end(engine, 'listed')
      // If its address is listed for another upstream, answers from there would be taken for its own.
      else if (isLost(id) || listed.has(address)) this.#end(engine, 'silent')
      else if (roster.hasEnded(id) || !roster.isKnown(id)) this.#end(engine, 'expired')
      else if (!engine.isExpired && clock.now() - engine.at >= retentionTime) this.#expire(engine)
    }
    for (const id of [...this.#endedDepartures.keys()]) if (!roster.isKnown(id)) this.#endedDepartures.delete(id)
  }

  #expire (engine: UnlistedEngine): void {
    engine.isExpired = true
    this.#options.ended(engine.upstream, 'expired')
  }

  #end (engine: UnlistedEngine, how: UnlistedEnd): void {
    const { id } = engine.upstream
    this.#engines.delete(id)
    this.#silences.forget(id)
    if (how !== 'listed') this.#endedDepartures.set(id, engine.at)
    if (!engine.isExpired) this.#options.ended(engine.upstream, how)
    if (how === 'silent') this.#options.silent(id, engine.missed)
  }

  #probe (engine: UnlistedEngine): void {
    const { clock, probes, resumedAt, changed, failed } = this.#options
    const probedAt = clock.now()
    if (probedAt - engine.probedAt < probeInterval) return
    engine.probedAt = probedAt
    const { id, address } = engine.upstream
    probes.report({ id, address }).then(report => {
      if (this.#engines.get(id) !== engine) return
      const { upstream, hasAnswered } = engine
      if (report !== undefined) this.#answered(engine, report)
      // A time-out that elapsed during a pause of this process says nothing about the engine.
      else if (resumedAt() < probedAt) this.#recordMissed(engine)
      if (!hasAnswered || !this.#engines.has(id) || !isDeepStrictEqual(upstream, engine.upstream)) changed()
    }).catch(failed)
  }

  #answered (engine: UnlistedEngine, { loaded, staged, membership, leaving }: EngineReport): void {
    engine.hasAnswered = true
    engine.missed = 0
    this.#silences.forget(engine.upstream.id)
    engine.upstream = this.#withoutLeftReplica(engine, { ...engine.upstream, loaded, staged, membership })
    engine.hints = leaving ? engine.hints + 1 : 0
    if (engine.hints >= leavingHintsLimit) this.#end(engine, 'leaving')
  }

  #withoutLeftReplica ({ left, upstream: before }: UnlistedEngine, upstream: Upstream): Upstream {
    if (left === undefined) return upstream
    if (upstream.membership === undefined) return withWeightsInUse(upstream, before)
    if (left.replica !== upstream.membership?.replica || this.#options.clock.now() - left.at >= maxReportAge) return upstream
    return { ...upstream, membership: undefined }
  }

  /**
   * An engine that has not answered since its entry was removed has most likely died before, and its replica does not
   * serve: one missed probe is enough. Any other one may be silent for a while and go on.
   */
  #recordMissed (engine: UnlistedEngine): void {
    engine.missed++
    if (!engine.hasAnswered) this.#end(engine, 'silent')
    else this.#checkListening(engine).catch(this.#options.failed)
  }

  /** Checks whether any process listens at the address of an engine that did not report. */
  async #checkListening (engine: UnlistedEngine): Promise<void> {
    const { clock, probes, resumedAt, changed } = this.#options
    const { id, address } = engine.upstream
    const sentAt = clock.now()
    const result = await probes.probe(address)
    if (this.#engines.get(id) !== engine || (result === 'silent' && resumedAt() >= sentAt)) return
    this.#silences.record(id, result, { sentAt, endedAt: clock.now(), resumedAt: resumedAt() })
    if (this.#silences.hasRefused(id) || this.#silences.isLong(id)) {
      this.#end(engine, 'silent')
      changed()
    } else engine.probedAt = -Infinity
  }
}
