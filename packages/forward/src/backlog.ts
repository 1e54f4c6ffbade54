/**
 * The unread bytes of answers whose callers read more slowly than the upstreams write. Pure: bytes and times are passed
 * in.
 *
 * The bounds protect a gateway from many callers that are on slow links or have stopped reading. Their answers would
 * fill its memory and occupy capacity at the upstreams for as long as their connections last. A caller that reads
 * slowly but steadily keeps its answer.
 */

/** Bounds on the unread bytes. */
export interface BacklogBounds {
  /** Unread bytes of one caller at which its upstream is paused. */
  readonly perCaller: number
  /** Unread bytes of all callers at which the upstreams of all slow callers are paused. */
  readonly total: number
  /** Time after which a caller with unread bytes is closed if it reads none of them, in ms. */
  readonly patience: number
}

/** A caller whose connection is to be closed. */
export interface StalledCaller<Caller> {
  readonly caller: Caller
  /** Its unread bytes. */
  readonly bytes: number
  /** Time since it last read, in ms. */
  readonly idle: number
}

/**
 * The upstream of a caller is resumed when the caller's unread bytes fall to this part of `perCaller`, so that the next
 * event does not pause it again.
 */
const resumeRatio = 0.5

/**
 * Multiple of `total` above which callers are closed sooner. While upstreams are paused, the unread bytes grow only by
 * bytes that the upstreams had already sent, and by collected answers.
 */
const overloadRatio = 2

/** Factor by which `patience` shrinks above that bound. */
const overloadPatienceRatio = 0.25

/** The unread bytes of one caller. */
interface Entry {
  bytes: number
  /** When the caller last read, or when its first unread bytes came, in ms. */
  progressAt: number
}

/** Unread bytes by caller, and when each caller last read. A caller without unread bytes has no entry. */
export class Backlog<Caller> {
  readonly #bounds: BacklogBounds
  readonly #entries = new Map<Caller, Entry>()
  #total = 0

  constructor (bounds: BacklogBounds) {
    this.#bounds = bounds
  }

  /** Unread bytes of all callers. */
  get total (): number {
    return this.#total
  }

  /** Callers with unread bytes. */
  get callers (): readonly Caller[] {
    return [...this.#entries.keys()]
  }

  /** Adds unread bytes of a caller. @param now in ms */
  add (caller: Caller, bytes: number, now: number): void {
    const entry = this.#entries.get(caller) ?? { bytes: 0, progressAt: now }
    entry.bytes += bytes
    this.#entries.set(caller, entry)
    this.#total += bytes
  }

  /** Subtracts bytes that a caller has read. @param now in ms */
  read (caller: Caller, bytes: number, now: number): void {
    const entry = this.#entries.get(caller)
    if (entry === undefined) return
    entry.bytes -= bytes
    entry.progressAt = now
    this.#total -= bytes
    if (entry.bytes === 0) this.#entries.delete(caller)
  }

  /** Restarts the idle time of a caller that could not read until now. @param now in ms */
  restartIdleTime (caller: Caller, now: number): void {
    const entry = this.#entries.get(caller)
    if (entry !== undefined) entry.progressAt = now
  }

  /** Time since a caller last read, in ms; 0 for a caller without unread bytes. @param now in ms */
  idleTime (caller: Caller, now: number): number {
    return now - (this.#entries.get(caller)?.progressAt ?? now)
  }

  /** Removes a caller that has disconnected. */
  remove (caller: Caller): void {
    this.#total -= this.#entries.get(caller)?.bytes ?? 0
    this.#entries.delete(caller)
  }

  /** Whether to pause the upstream of a caller. */
  isFull (caller: Caller): boolean {
    const bytes = this.#bytes(caller)
    return bytes > 0 && (bytes >= this.#bounds.perCaller || this.#total >= this.#bounds.total)
  }

  /** Whether to resume the paused upstream of a caller. */
  mayResume (caller: Caller): boolean {
    const bytes = this.#bytes(caller)
    return bytes === 0 || (bytes <= this.#bounds.perCaller * resumeRatio && this.#total < this.#bounds.total)
  }

  /**
   * The callers to close: those that have read nothing for too long, longest idle first. Above `total * overloadRatio`
   * the permitted time is shorter, until the remaining bytes fit.
   */
  overdue (now: number): Array<StalledCaller<Caller>> {
    const { total: bound, patience } = this.#bounds
    let total = this.#total
    const limit = (): number => total > bound * overloadRatio ? patience * overloadPatienceRatio : patience
    const idle = [...this.#entries].map(([caller, { bytes, progressAt }]) => ({ caller, bytes, idle: now - progressAt })).filter(each => each.idle > patience * overloadPatienceRatio)
    return idle.sort((a, b) => b.idle - a.idle).filter(({ bytes, idle }) => {
      if (idle <= limit()) return false
      total -= bytes
      return true
    })
  }

  #bytes (caller: Caller): number {
    return this.#entries.get(caller)?.bytes ?? 0
  }
}
