/**
 * Which domains need a look now. A look at a fleet of 20 domains costs some 6 ms of a core, most of it in domains in which nothing
 * happens; with changes of single engines coming 20 times a second that is what a planner spends its time on.
 * Owns what has happened in each domain since it was planned last. Pure bookkeeping: a domain that is looked at in vain costs time only.
 */
import { type Clock } from '@eiderwind/clock'

/**
 * Time after which a domain is looked at whatever has happened, in ms: what changes with time alone waits this long at the most, such as the
 * demand by which targets rise.
 */
const quietInterval = 500

/** Domains by key, and whether they are quiet. */
export class Activity {
  readonly #clock: Clock
  /** When each quiet domain was planned last, on `Clock.now`; one that is not here is due. */
  readonly #quietSince = new Map<string, number>()
  /** Number of what happened last in each domain, and anywhere. */
  readonly #happened = new Map<string, number>()
  #everywhere = 0
  #newest = 0
  #fleet = ''

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Something happened in a domain. */
  happened (domain: string): void {
    this.#happened.set(domain, ++this.#newest)
    this.#quietSince.delete(domain)
  }

  /** Something happened that concerns every domain. */
  happenedEverywhere (): void {
    this.#everywhere = ++this.#newest
    this.#quietSince.clear()
  }

  /** Number of what happened last: facts that are read now hold all of it. */
  get newest (): number {
    return this.#newest
  }

  /** Takes what all domains share; each is due once it differs. */
  shared (facts: string): void {
    if (facts !== this.#fleet) this.happenedEverywhere()
    this.#fleet = facts
  }

  /**
   * Records that a domain was planned.
   * @param quiet whether nothing is left to be done there
   * @param newest number of the last that the facts hold from which it was planned
   */
  planned (domain: string, quiet: boolean, newest: number): void {
    const later = Math.max(this.#everywhere, this.#happened.get(domain) ?? 0) > newest
    if (quiet && !later) this.#quietSince.set(domain, this.#clock.now())
    else this.#quietSince.delete(domain)
  }

  /** Whether a domain needs to be planned now. */
  isDue (domain: string): boolean {
    const since = this.#quietSince.get(domain)
    return since === undefined || this.#clock.now() - since >= quietInterval
  }
}
