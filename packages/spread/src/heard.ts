/**
 * What this process has heard of each worker. It owns the latest report of each, with its age summed over the hops so that no
 * clocks are compared, and relies on incarnations and sequence numbers to drop what is older.
 */
import { type Clock } from '@eiderwind/clock'
import { digest } from '@eiderwind/hash'
import { type Report } from '@eiderwind/schema'
import { type Beat } from './beat.js'

/** Where a report came from: the worker itself, an entry of the own data centre, or one of another. */
export type Source = 'worker' | 'near' | 'far'

/** A report with what this process knows about its age. */
export interface Heard {
  readonly report: Report
  /** Digest of all in the report that seldom changes; a beat names it in place of that. */
  readonly stamp: number
  /** When the worker made it, on this process's `Clock.now`, by the ages summed over the hops. */
  readonly madeAt: number
  /** When it came to this process, on `Clock.now`. */
  readonly cameAt: number
  readonly source: Source
  /** When another entry last sent anything about this worker, newer or not, on `Clock.now`. */
  readonly relayedAt: number
}

/** A report on its way between entries. Ages add up over the hops, so no clocks are compared. */
export interface AgedReport {
  readonly report: Report
  readonly age: number
}

/** What became of a beat: `lacking` where the report that it refers to is not known here. */
export type BeatResult = 'taken' | 'old' | 'lacking'

/** The latest report of each worker. Older reports and those of earlier incarnations are dropped. */
export class Reports {
  readonly #clock: Clock
  readonly #heard = new Map<string, Heard>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Takes a report if it is newer, and says whether it was. */
  accept ({ report, age }: AgedReport, source: Source): boolean {
    const known = this.#heard.get(report.worker)
    if (known !== undefined && source !== 'worker') this.#heard.set(report.worker, { ...known, relayedAt: this.#clock.now() })
    if (known !== undefined && !newer(report, known.report)) return false
    this.#take(report, stampOf(report), age, source)
    return true
  }

  /** Takes a beat: the counts of a report whose other parts are known here. */
  beat ({ worker, stamp, sequence, running, queued, age }: Beat, source: Source): BeatResult {
    const known = this.#heard.get(worker)
    if (known === undefined || known.stamp !== stamp) return 'lacking'
    this.#heard.set(worker, { ...known, relayedAt: this.#clock.now() })
    if (sequence <= known.report.sequence) return 'old'
    this.#take({ ...known.report, sequence, running, queued }, stamp, age, source)
    return 'taken'
  }

  /** The latest of a worker. */
  of (worker: string): Heard | undefined {
    return this.#heard.get(worker)
  }

  /** All that is known. */
  get all (): IterableIterator<Heard> {
    return this.#heard.values()
  }

  /** Time since a worker made its latest report, in ms; undefined for one never heard of. */
  age (worker: string): number | undefined {
    const heard = this.#heard.get(worker)
    return heard === undefined ? undefined : this.#clock.now() - heard.madeAt
  }

  /** The latest reports that came at `since` or later and that `chosen` picks. */
  after (since: number, chosen: (heard: Heard) => boolean): Heard[] {
    const found: Heard[] = []
    for (const heard of this.#heard.values()) {
      if (heard.cameAt >= since && chosen(heard)) found.push(heard)
    }
    return found
  }

  /** Forgets workers that were silent for `span` ms. */
  forget (span: number): void {
    const oldest = this.#clock.now() - span
    for (const [worker, { madeAt }] of this.#heard) if (madeAt < oldest) this.#heard.delete(worker)
  }

  #take (report: Report, stamp: number, age: number, source: Source): void {
    const now = this.#clock.now()
    const relayedAt = source === 'worker' ? this.#heard.get(report.worker)?.relayedAt ?? -Infinity : now
    this.#heard.set(report.worker, { report, stamp, madeAt: now - age, cameAt: now, source, relayedAt })
  }
}

function stampOf (report: Report): number {
  return digest(JSON.stringify({ ...report, sequence: 0, running: 0, queued: 0 }))
}

/** Incarnations are UUIDs of version 7, so that a later start compares greater. */
function newer (report: Report, known: Report): boolean {
  if (report.incarnation === known.incarnation) return report.sequence > known.sequence
  return report.incarnation > known.incarnation
}
