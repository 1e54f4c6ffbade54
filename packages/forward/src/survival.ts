/**
 * Whether an answer has gone on past its beginning. An upstream that crashes because of a part of a prompt does so as
 * the answer begins, so an answer that goes on shows that none of the parts is harmful. Owns the times of one attempt;
 * the caller passes the time at which bytes are read.
 */

/** Time after the first bytes from which an answer counts as past its beginning, in ms. */
const beginningTimeMs = 300

/**
 * Time between two reads after that, in ms. What arrived while this process did not run is read at once, and its end may
 * already wait behind it, so a single late read shows nothing.
 */
const separateReadMs = 20

/** The progress of one answer. */
export class Survival {
  #firstAt: number | undefined
  #lateAt: number | undefined
  #isShown = false
  #wasPaused = false

  /** Whether the answer has gone on past its beginning. */
  get isShown (): boolean {
    return this.#isShown
  }

  /** Records that bytes of the answer's body were read. @param now in ms */
  received (now: number): void {
    if (this.#isShown || this.#wasPaused) return
    this.#firstAt ??= now
    if (now - this.#firstAt < beginningTimeMs) return
    this.#lateAt ??= now
    this.#isShown = now - this.#lateAt >= separateReadMs
  }

  /** Records that reading was paused. Bytes that are read later may have arrived long before. */
  paused (): void {
    this.#wasPaused = true
  }
}
