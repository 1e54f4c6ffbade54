/**
 * The charge of one request's retries to the retry budget of its service. A retry is taken from the budget when there is
 * an upstream for it, and counted as sent when its connection is ready. This module owns the retry that was taken and
 * not sent yet. It relies on `RetryBudget` for the grants.
 */
import { type Clock } from '@eiderwind/clock'
import { type RetryBudget } from '@eiderwind/dispatch'

/** Charges the retries of one request, one after the other. */
export class RetryCharge {
  readonly #clock: Clock
  readonly #budget: () => RetryBudget
  #isRequired = false
  /** When the retry was taken, on `Clock.bootNow`. Undefined if none is taken. */
  #takenAt: number | undefined

  constructor (clock: Clock, budget: () => RetryBudget) {
    this.#clock = clock
    this.#budget = budget
  }

  /** Records that the next attempt is a retry that the budget has to grant. */
  require (): void {
    this.#isRequired = true
  }

  /** Takes a retry, unless one is taken that was not sent. Returns false if none is left. */
  take (): boolean {
    if (this.#takenAt !== undefined) return true
    const isGranted = this.#budget().take()
    if (isGranted) this.#takenAt = this.#clock.bootNow()
    return isGranted
  }

  /**
   * Whether the next attempt is a retry that the budget does not grant. Takes the retry only when there is an upstream,
   * since it has to be sent at once.
   */
  isDenied (hasUpstream: boolean): boolean {
    if (!this.#isRequired || this.#takenAt !== undefined) return false
    return hasUpstream ? !this.take() : this.#budget().left < 1 && !this.#budget().mayTake()
  }

  /** Whether the attempt may be sent now. It may not if its grant is too old and can't be renewed. */
  maySend (): boolean {
    if (!this.#isRequired) return true
    const maySend = this.#budget().send(this.#takenAt ?? -Infinity)
    this.#takenAt = undefined
    if (maySend) this.#isRequired = false
    return maySend
  }
}
