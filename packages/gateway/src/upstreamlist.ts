/**
 * The list of upstreams of this gateway: applies what the store or another gateway delivers to the roster, and records
 * where it came from and how far it is complete. Logs each departure with its source and the age that the list had, and
 * the requests that are written by an old list.
 * Owns the source of what is being applied and the counts of the running second; the rest is on the board. Relies on
 * `Roster` for the upstreams and on `Outage` to judge missing records.
 */
import { type Clock } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { type Departure, type Outage, type Roster, type RosterChange, type Upstream } from '@eiderwind/roster'
import { recordCompleteness, type GatewayBoard } from './facts.js'
import { type UpstreamChanges } from './messages.js'
import { type Completeness } from './platform.js'

/** Dependencies of `UpstreamList`. */
export interface UpstreamListOptions {
  readonly clock: Clock
  readonly log: Log
  readonly board: GatewayBoard
  readonly roster: Roster
  readonly outage: Outage
  /** Age of the list above which requests written by it are logged, in ms. */
  readonly maxAge: number
}

/** Time for which requests that are written by an old list share a log line, in ms. */
const reportInterval = 1000

/** Requests that were written by an old list. */
interface LateWrites {
  sent: number
  /** The greatest age of the list, in ms. */
  age: number
}

/** The list of upstreams, and how recent it is. */
export class UpstreamList {
  readonly #options: UpstreamListOptions
  /** The source whose delivery is being applied: `store`, or the id of another gateway. */
  #source: string | undefined
  /** The source of the last delivery. */
  #lastSource: string | undefined
  #lateWrites: LateWrites | undefined

  constructor (options: UpstreamListOptions) {
    this.#options = options
    options.roster.listenDepartures(departure => this.#logDeparture(departure))
    options.roster.listenLapses(({ id }, grace) => this.#logLapse(id, grace))
  }

  /** Time since the moment up to which the list is complete, in ms; Infinity before there is a list. */
  get age (): number {
    const { clock, board } = this.#options
    return clock.bootNow() - board.read('upstreamsAt')
  }

  /** Takes the whole list from the store. */
  replace (all: readonly Upstream[], upTo: Completeness): void {
    const { roster } = this.#options
    this.#recordOwnWatch()
    this.#applyFrom('store', () => roster.replace(all))
    this.#recordCompleteness(upTo)
  }

  /** Takes changes from the store. */
  apply (changes: readonly RosterChange[]): void {
    const { roster } = this.#options
    this.#recordOwnWatch()
    this.#applyFrom('store', () => roster.apply(changes))
  }

  /** Records that the store has delivered all changes up to then. */
  complete (upTo: Completeness): void {
    this.#recordOwnWatch()
    this.#recordCompleteness(upTo)
  }

  /**
   * Takes the answer of another gateway that this one follows.
   * @param from the id of that gateway
   * @param completeAt the time up to which the answer is complete, on `Clock.bootNow`
   */
  follow (from: string, answer: UpstreamChanges, completeAt: number): void {
    const { board } = this.#options
    const { upstreams, revision } = answer
    board.write('upstreamsFrom', 'peer')
    if (board.read('store')) board.write('followed', true)
    this.#applyAnswer(from, answer, completeAt)
    board.write('upstreamsAt', completeAt)
    // A source may be behind what this gateway has already read. The revision of a whole list is taken as it is.
    const known = upstreams === undefined ? board.read('upstreamsRevision') : undefined
    board.write('upstreamsRevision', revision === undefined || known === undefined ? revision : Math.max(revision, known))
  }

  /**
   * Takes the answer of another gateway that was asked because this gateway's own watch is late. The watch goes on, so
   * the list still counts as the store's. Does nothing if the answer is not newer than the list.
   * @param completeAt the time up to which the answer is complete, on `Clock.bootNow`
   */
  merge (from: string, answer: UpstreamChanges, completeAt: number): void {
    const { board } = this.#options
    const { revision } = answer
    if (completeAt <= board.read('upstreamsAt')) return
    this.#applyAnswer(from, answer, completeAt)
    board.write('upstreamsAt', completeAt)
    if (revision !== undefined) board.write('upstreamsRevision', Math.max(revision, board.read('upstreamsRevision') ?? revision))
  }

  /** See `PlatformListener.isSuperseded`. */
  isSuperseded ({ at, revision }: Completeness): boolean {
    const { board } = this.#options
    return at < board.read('upstreamsAt') && revision < (board.read('upstreamsRevision') ?? -Infinity)
  }

  /** Counts a request that is written to an upstream now, if the list is old. Returns the age of the list, in ms. */
  recordWrite (): number {
    const { age } = this
    if (age <= this.#options.maxAge) return age
    this.#lateWrites ??= this.#beginReport()
    this.#lateWrites.sent++
    this.#lateWrites.age = Math.max(this.#lateWrites.age, age)
    return age
  }

  #beginReport (): LateWrites {
    this.#options.clock.after(reportInterval, () => this.#reportLateWrites())
    return { sent: 0, age: 0 }
  }

  #reportLateWrites (): void {
    if (this.#lateWrites === undefined) return
    const { sent, age } = this.#lateWrites
    this.#lateWrites = undefined
    this.#options.log.write('upstreams-old', { sent, age: Math.round(age), from: this.#lastSource })
  }

  #recordOwnWatch (): void {
    const { board, outage } = this.#options
    if (board.read('followed')) outage.resume(board.read('upstreamsAt'))
    board.write('followed', false)
    board.write('upstreamsFrom', 'store')
  }

  /** Applies another gateway's answer. That gateway has already decided whether a missing upstream has lapsed or is gone. */
  #applyAnswer (from: string, { upstreams, changes, age = 0, outageAge }: UpstreamChanges, completeAt: number): void {
    const { roster, outage } = this.#options
    if (outageAge !== undefined) outage.recordReading({ from, completeAt, outageEndedAt: completeAt + age - outageAge })
    this.#applyFrom(from, () => {
      if (upstreams !== undefined) roster.replace(upstreams, 'certain')
      if (changes !== undefined && changes.length > 0) roster.apply(changes, 'certain')
    })
  }

  #applyFrom (source: string, apply: () => void): void {
    this.#source = source
    this.#lastSource = source
    try {
      apply()
    } finally {
      this.#source = undefined
    }
  }

  #recordCompleteness (upTo: Completeness): void {
    const { board, outage } = this.#options
    outage.recordList(upTo.at)
    recordCompleteness(board, upTo)
  }

  #logLapse (upstream: string, grace: number): void {
    const { clock, log, outage } = this.#options
    log.write('upstream-retained', {
      upstream,
      grace: Math.round(grace),
      failures: outage.lastFailures,
      ended: Math.round(clock.bootNow() - outage.endedAt),
      by: outage.endedBy,
      age: Number.isFinite(this.age) ? Math.round(this.age) : undefined
    })
  }

  /** Logs a departure, unless the upstream announced it in an answer. `Conditions` logs that. */
  #logDeparture ({ upstream: { id, leaving } }: Departure): void {
    const { log, board } = this.#options
    if (this.#source === undefined && leaving) return
    log.write('upstream-departed', {
      upstream: id,
      leaving,
      from: this.#source ?? 'outage',
      age: Number.isFinite(this.age) ? Math.round(this.age) : undefined,
      revision: board.read('upstreamsRevision')
    })
  }
}
