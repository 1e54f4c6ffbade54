/**
 * How long a worker has seen slots vacant, and how long a slot must be vacant before the worker claims it. Owns the
 * observed times. They count only while this process runs: during a pause of its own, it sees nothing, and the home may
 * have been paused for the same time.
 */

/** Times of the leases, in ms. */
export interface VacanciesOptions {
  readonly period: number
  readonly interval: number
}

/**
 * Number of renewal intervals for which a slot must be vacant before its preferred voter claims it. A home that resumes
 * from a pause renews its claim within one interval.
 */
const minVacantIntervals = 2

/** Number of lease periods by which each voter waits longer than the one that is preferred before it. */
const periodsPerRank = 2

/** The observed vacancies of the slots. */
export class Vacancies {
  readonly #options: VacanciesOptions
  /** Observed vacancy in ms, by slot. */
  readonly #vacancies = new Map<number, number>()
  #observedAt: number
  /** Time that counts for each slot in this round, in ms. */
  #passed = 0

  /** @param now the present time on `Clock.now` */
  constructor (now: number, options: VacanciesOptions) {
    this.#options = options
    this.#observedAt = now
  }

  /** Begins a round in which each vacant slot is observed once. */
  beginRound (now: number): void {
    this.#passed = Math.min(now - this.#observedAt, this.#options.interval)
    this.#observedAt = now
  }

  /** Records that a slot is vacant in this round. Returns whether a voter of this rank of preference may claim it. */
  observe (slot: number, rank: number): boolean {
    const { interval, period } = this.#options
    const vacantFor = (this.#vacancies.get(slot) ?? 0) + this.#passed
    this.#vacancies.set(slot, vacantFor)
    return vacantFor >= (rank === 0 ? minVacantIntervals * interval : rank * periodsPerRank * period)
  }

  /** Records that a slot has a holder, or that a claim was withdrawn. */
  reset (slot: number): void {
    this.#vacancies.set(slot, 0)
  }
}
