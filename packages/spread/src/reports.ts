/**
 * The latest report of each worker that this process has received. Owns these reports with their ages. Each hop adds
 * to the age of a report, so that no clocks are compared. Relies on incarnations and sequence numbers to drop older
 * reports.
 */
import { type Clock } from '@eiderwind/clock'
import { digest } from '@eiderwind/hash'
import { type Report } from '@eiderwind/schema'
import { type Beat } from './beat.js'

/** Sender of a report: the worker itself, an entry of this data centre, or an entry of another data centre. */
export type Source = 'worker' | 'near' | 'far'

/** A received report with its age and its sender. */
export interface ReceivedReport {
  readonly report: Report
  /** Digest of the parts of the report that seldom change. A beat carries the digest in place of these parts. */
  readonly stamp: number
  /** When the worker made the report, on this process's `Clock.now`: the time of receipt less the age. */
  readonly madeAt: number
  /** When this process received the report, on `Clock.now`. */
  readonly receivedAt: number
  readonly source: Source
  /** When another entry last sent a report or beat of this worker, newer or not, on `Clock.now`; -Infinity if never. */
  readonly relayedAt: number
}

/** A report as entries send it to each other. */
export interface AgedReport {
  readonly report: Report
  /** Time since the worker made the report, in ms. Each sender adds the time for which it held the report. */
  readonly age: number
}

/**
 * The result of a beat. `taken`: its counts are stored. `old`: the known report is as new or newer. `lacking`: this
 * process does not have the report that the beat refers to.
 */
export type BeatResult = 'taken' | 'old' | 'lacking'

/** Stores the latest report of each worker. Older reports and those of earlier incarnations are dropped. */
export class Reports {
  readonly #clock: Clock
  readonly #latest = new Map<string, ReceivedReport>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Stores a report if it is newer than the known one. Returns whether it was. */
  accept ({ report, age }: AgedReport, source: Source): boolean {
    const known = this.#latest.get(report.worker)
    if (known !== undefined && source !== 'worker') this.#latest.set(report.worker, { ...known, relayedAt: this.#clock.now() })
    if (known !== undefined && !isNewer(report, known.report)) return false
    this.#store(report, stampOf(report), age, source)
    return true
  }

  /** Stores the counts of a beat if this process has the other parts of the report. */
  beat ({ worker, stamp, sequence, running, queued, age }: Beat, source: Source): BeatResult {
    const known = this.#latest.get(worker)
    if (known === undefined || known.stamp !== stamp) return 'lacking'
    this.#latest.set(worker, { ...known, relayedAt: this.#clock.now() })
    if (sequence <= known.report.sequence) return 'old'
    this.#store({ ...known.report, sequence, running, queued }, stamp, age, source)
    return 'taken'
  }

  /** The latest report of a worker. */
  of (worker: string): ReceivedReport | undefined {
    return this.#latest.get(worker)
  }

  /** The latest reports of all workers. */
  get all (): IterableIterator<ReceivedReport> {
    return this.#latest.values()
  }

  /** Time since a worker made its latest report, in ms; undefined if no report was received. */
  age (worker: string): number | undefined {
    const latest = this.#latest.get(worker)
    return latest === undefined ? undefined : this.#clock.now() - latest.madeAt
  }

  /** The latest reports that were received at `since` or later and that `matches` accepts. */
  receivedSince (since: number, matches: (latest: ReceivedReport) => boolean): ReceivedReport[] {
    const found: ReceivedReport[] = []
    for (const latest of this.#latest.values()) {
      if (latest.receivedAt >= since && matches(latest)) found.push(latest)
    }
    return found
  }

  /** Drops the reports that were made more than `maxAge` ms ago. */
  forget (maxAge: number): void {
    const oldest = this.#clock.now() - maxAge
    for (const [worker, { madeAt }] of this.#latest) if (madeAt < oldest) this.#latest.delete(worker)
  }

  #store (report: Report, stamp: number, age: number, source: Source): void {
    const now = this.#clock.now()
    const relayedAt = source === 'worker' ? this.#latest.get(report.worker)?.relayedAt ?? -Infinity : now
    this.#latest.set(report.worker, { report, stamp, madeAt: now - age, receivedAt: now, source, relayedAt })
  }
}

function stampOf (report: Report): number {
  return digest(JSON.stringify({ ...report, sequence: 0, running: 0, queued: 0 }))
}

/** Incarnations are UUIDs of version 7, so that a later start compares greater. */
function isNewer (report: Report, known: Report): boolean {
  if (report.incarnation === known.incarnation) return report.sequence > known.sequence
  return report.incarnation > known.incarnation
}
