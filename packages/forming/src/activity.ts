/**
 * Tracks which domains need to be planned now. Planning a fleet of 20 domains costs about 6 ms of a core, most of it in
 * domains without any change. When changes of single engines arrive 20 times a second, a planner would spend its time
 * on these domains. Owns the changes in each domain since it was last planned. No decision depends on it: planning a
 * domain without need only costs time.
 */
import { type Clock } from '@eiderwind/clock'

/**
 * Time after which a domain is planned even without a change, in ms. It bounds the delay of effects that depend on time
 * alone, such as a rise of targets with the demand.
 */
const quietInterval = 500

/**
 * Records which domains are quiet, by domain key. A domain is quiet if its last plan left nothing to be done and
 * nothing has changed since.
 */
export class Activity {
  readonly #clock: Clock
  /** When each quiet domain was last planned, on `Clock.now`. A domain without an entry is due. */
  readonly #quietSince = new Map<string, number>()
  /** Sequence numbers of changes: the last in each domain, the last that concerns every domain, and the last of all. */
  readonly #lastChanges = new Map<string, number>()
  #lastFleetChange = 0
  #latestChange = 0
  #sharedFacts = ''

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Records a change in a domain. */
  recordChange (domain: string): void {
    this.#lastChanges.set(domain, ++this.#latestChange)
    this.#quietSince.delete(domain)
  }

  /** Records a change that concerns every domain. */
  recordFleetChange (): void {
    this.#lastFleetChange = ++this.#latestChange
    this.#quietSince.clear()
  }

  /** Sequence number of the last change. Facts that are read now include it and all changes before it. */
  get latestChange (): number {
    return this.#latestChange
  }

  /** Updates the facts that all domains share. If they differ from the last ones, every domain is due. */
  updateSharedFacts (facts: string): void {
    if (facts !== this.#sharedFacts) this.recordFleetChange()
    this.#sharedFacts = facts
  }

  /**
   * Records that a domain was planned.
   * @param quiet whether nothing is left to be done there
   * @param latestChange sequence number of the last change that is included in the facts of the plan
   */
  recordPlanned (domain: string, quiet: boolean, latestChange: number): void {
    const changedSince = Math.max(this.#lastFleetChange, this.#lastChanges.get(domain) ?? 0) > latestChange
    if (quiet && !changedSince) this.#quietSince.set(domain, this.#clock.now())
    else this.#quietSince.delete(domain)
  }

  /** Whether a domain needs to be planned now. */
  isDue (domain: string): boolean {
    const since = this.#quietSince.get(domain)
    return since === undefined || this.#clock.now() - since >= quietInterval
  }
}
