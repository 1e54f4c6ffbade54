/**
 * Reports objects that another writer has put into the store, or another process has sent, and that cannot be used. An
 * object stands for hours and is read again and again, so each reason is reported once. Owns the reasons that were
 * reported lately. Relies on the decoders to name the object in the reason.
 */

/** Upper bound on the reasons that are remembered. It bounds memory; the reasons themselves are short. */
const maxReasons = 1000

/** The objects that cannot be used. */
export class InvalidObjects {
  readonly #report: (kind: string, reason: string) => void
  /** What was reported lately, the longest unseen first. */
  readonly #reported = new Set<string>()

  /** @param report called with the kind of an object and the reason why the object, or a part of it, is not used */
  constructor (report: (kind: string, reason: string) => void) {
    this.#report = report
  }

  /** The number of reasons that are remembered. */
  get size (): number {
    return this.#reported.size
  }

  /** Returns the function that reports objects of a kind. */
  reporterOf (kind: string): (reason: string) => void {
    return reason => this.#add(kind, reason)
  }

  #add (kind: string, reason: string): void {
    const key = `${kind} ${reason}`
    const isNew = !this.#reported.delete(key)
    this.#reported.add(key)
    if (!isNew) return
    if (this.#reported.size > maxReasons) this.#forgetOldest()
    this.#report(kind, reason)
  }

  #forgetOldest (): void {
    const [oldest] = this.#reported
    this.#reported.delete(oldest)
  }
}
