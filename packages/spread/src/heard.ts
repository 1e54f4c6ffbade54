import { type Clock } from '@eiderwind/clock'
import { type Report } from '@eiderwind/schema'

/** A report with what this process knows about its age. */
export interface Heard {
  readonly report: Report
  /** When the worker made it, on this process's `Clock.now`, as far as the hops told. */
  readonly madeAt: number
  /** When it came to this process, on `Clock.now`. */
  readonly cameAt: number
  /** Whether the worker told this process itself. */
  readonly direct: boolean
}

/** A report on its way between entries. Ages add up over the hops, so no clocks are compared. */
export interface AgedReport {
  readonly report: Report
  readonly age: number
}

/** The latest report of each worker. Older reports and those of earlier incarnations are dropped. */
export class Reports {
  readonly #clock: Clock
  readonly #heard = new Map<string, Heard>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Takes a report if it is newer, and says whether it was. */
  accept ({ report, age }: AgedReport, direct: boolean): boolean {
    const known = this.#heard.get(report.worker)?.report
    if (known !== undefined && !newer(report, known)) return false
    const now = this.#clock.now()
    this.#heard.set(report.worker, { report, madeAt: now - age, cameAt: now, direct })
    return true
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

  /** The reports that came at `since` or later that `chosen` picks, as they are told on. */
  after (since: number, chosen: (heard: Heard) => boolean): AgedReport[] {
    const now = this.#clock.now()
    const found: AgedReport[] = []
    for (const heard of this.#heard.values()) {
      if (heard.cameAt >= since && chosen(heard)) found.push({ report: heard.report, age: now - heard.madeAt })
    }
    return found
  }

  /** Forgets workers that were silent for `span` ms. */
  forget (span: number): void {
    const oldest = this.#clock.now() - span
    for (const [worker, { madeAt }] of this.#heard) if (madeAt < oldest) this.#heard.delete(worker)
  }
}

/** Incarnations are UUIDs of version 7, so that a later start compares greater. */
function newer (report: Report, known: Report): boolean {
  if (report.incarnation === known.incarnation) return report.sequence > known.sequence
  return report.incarnation > known.incarnation
}
