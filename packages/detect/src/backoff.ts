/**
 * How long an upstream is left out after it has turned a request away without saying for how long. Owns the count of refusals in a row, by upstream; it decides
 * nothing else and keeps no time of its own. An upstream with room is told from one without only by trying, so the pauses are short at first and long where
 * every try is refused.
 */

/**
 * Refusals in a row before an upstream is left out at all. A replica that is full refuses one request and accepts the next as soon as one of its own has ended; left out
 * after its first refusal, a model with one or two heads would be refused for a tenth of a second each time.
 */
const tolerated = 1

/** First pause, in ms: a replica that is full has room again after about as long, since one of some twenty requests of one to three seconds ends there. */
const firstPause = 100

/** Longest pause, in ms: an upstream that refuses everything costs each gateway one attempt in this time. */
const longestPause = 800

/** Time without a refusal after which the next one counts as the first, in ms: well above the longest pause. */
const memory = 15_000

/** The refusals of one upstream. */
interface Refusals {
  /** In a row, of requests that were sent one pause after another. */
  readonly count: number
  /** When the last one of those came, on `Clock.now`: what was sent before it says nothing new. */
  readonly at: number
}

/**
 * Pauses that double with each refusal in a row, and start anew after an answer that is none. They keep requests from an upstream that refuses all of them: without pauses it is
 * chosen before all others, since it has the fewest requests in flight. docs/design/overload.md has the ways that were compared and what each gave.
 */
export class Backoff {
  readonly #refusals = new Map<string, Refusals>()

  /**
   * Takes that an upstream refused a request at `now` that was sent at `sentAt`, both on `Clock.now`. Returns for how long it is left out from now on, in ms; 0
   * where that was decided before, by another request that was on its way with this one.
   */
  refused (id: string, sentAt: number, now: number): number {
    this.#forget(now)
    const before = this.#refusals.get(id)
    if (before !== undefined && sentAt < before.at) return 0
    const count = (before?.count ?? 0) + 1
    this.#refusals.set(id, { count, at: now })
    return count <= tolerated ? 0 : Math.min(longestPause, firstPause * 2 ** (count - 1 - tolerated))
  }

  /** Takes that an upstream has accepted a request. */
  accepted (id: string): void {
    this.#refusals.delete(id)
  }

  #forget (now: number): void {
    for (const [id, { at }] of this.#refusals) if (now - at > memory) this.#refusals.delete(id)
  }
}
