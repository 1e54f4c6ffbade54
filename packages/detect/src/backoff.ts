/**
 * Computes how long an upstream is left out after it refused a request without naming a time to wait. Owns the number
 * of consecutive refusals by upstream; the caller passes the time. Only a request can show whether an upstream has
 * room, so pauses start short and grow while every request is refused.
 */

/**
 * Consecutive refusals after which an upstream is still used. A full replica refuses one request and accepts the next
 * as soon as one of its own has ended. With a pause after the first refusal, a model with one or two heads would be
 * refused for 100 ms each time.
 */
const toleratedRefusals = 1

/**
 * First pause, in ms. A full replica has room again after about this time: it has about twenty requests of one to three
 * seconds each, and one of them ends within it.
 */
const minPause = 100

/** Longest pause, in ms. An upstream that refuses everything costs each gateway one attempt in this time. */
const maxPause = 800

/** Time without a refusal after which the count starts again, in ms: well above the longest pause. */
const resetTime = 15_000

/** The consecutive refusals of one upstream. */
interface Refusals {
  /** Refusals in a row, of requests that were sent one pause after another. */
  readonly count: number
  /** Time of the last counted refusal, on `Clock.now`. A request that was sent before it gives no new information. */
  readonly at: number
}

/**
 * Exponential back-off. The pause doubles with each consecutive refusal and starts anew once the upstream accepts a
 * request. Without pauses, an upstream that refuses everything would be chosen before all others, since it has the
 * fewest requests in flight. docs/design/overload.md compares the alternatives and their results.
 */
export class Backoff {
  readonly #refusals = new Map<string, Refusals>()

  /**
   * Records that an upstream refused at `now` a request that was sent at `sentAt`, both on `Clock.now`. Returns the
   * pause from now on, in ms. Returns 0 for a tolerated refusal, and for a request that was sent before the last
   * counted refusal, which has already set the pause.
   */
  recordRefusal (id: string, sentAt: number, now: number): number {
    this.#forget(now)
    const before = this.#refusals.get(id)
    if (before !== undefined && sentAt < before.at) return 0
    const count = (before?.count ?? 0) + 1
    this.#refusals.set(id, { count, at: now })
    return count <= toleratedRefusals ? 0 : Math.min(maxPause, minPause * 2 ** (count - 1 - toleratedRefusals))
  }

  /** Resets the count of an upstream that has accepted a request. */
  recordAcceptance (id: string): void {
    this.#refusals.delete(id)
  }

  #forget (now: number): void {
    for (const [id, { at }] of this.#refusals) if (now - at > resetTime) this.#refusals.delete(id)
  }
}
