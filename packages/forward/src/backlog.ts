/**
 * What is kept of answers whose callers read slower than upstreams write. Pure: bytes and times are given. The load that it answers: many callers on slow links, or that have stopped
 * reading, whose answers would fill a gateway's memory and hold upstreams' places for as long as their connections last. A caller that reads slowly but steadily keeps its answer.
 */

/** Bounds on what is kept. */
export interface BacklogBounds {
  /** Bytes kept for one caller at which its upstream is read no further. */
  readonly perCaller: number
  /** Bytes kept for all callers at which no upstream of a slow caller is read further. */
  readonly total: number
  /** Longest time that a caller may read nothing of what is kept for it, in ms. */
  readonly patience: number
}

/** A caller whose connection is to be closed. */
export interface Overdue<Caller> {
  readonly caller: Caller
  /** What is kept for it. */
  readonly bytes: number
  /** How long it has read nothing, in ms. */
  readonly idle: number
}

/** Part of its bound to which what is kept for a caller falls before its upstream is read on, so that it is not paused again by the next event. */
const relief = 0.5

/**
 * Multiple of the total above which callers are closed sooner. While upstreams are paused, what is kept grows no further than by what each had sent already; collected answers may
 * come on top of that.
 */
const greatestExcess = 2

/** Part of the patience that is left then. */
const patienceInExcess = 0.25

/** What is kept for one caller. */
interface Entry {
  bytes: number
  /** When it last read, or when something was first kept for it, in ms. */
  progressAt: number
}

/** Bytes that wait for callers, and when each of these last read. Callers for whom nothing waits are unknown to it. */
export class Backlog<Caller> {
  readonly #bounds: BacklogBounds
  readonly #entries = new Map<Caller, Entry>()
  #total = 0

  constructor (bounds: BacklogBounds) {
    this.#bounds = bounds
  }

  /** Bytes kept for all callers. */
  get total (): number {
    return this.#total
  }

  /** Callers for whom something is kept. */
  get callers (): readonly Caller[] {
    return [...this.#entries.keys()]
  }

  /** Counts bytes that are kept for a caller. @param now in ms */
  add (caller: Caller, bytes: number, now: number): void {
    const entry = this.#entries.get(caller) ?? { bytes: 0, progressAt: now }
    entry.bytes += bytes
    this.#entries.set(caller, entry)
    this.#total += bytes
  }

  /** Counts off bytes that a caller has read. @param now in ms */
  read (caller: Caller, bytes: number, now: number): void {
    const entry = this.#entries.get(caller)
    if (entry === undefined) return
    entry.bytes -= bytes
    entry.progressAt = now
    this.#total -= bytes
    if (entry.bytes === 0) this.#entries.delete(caller)
  }

  /** Has the time of a caller that cannot read yet begin now. @param now in ms */
  excuse (caller: Caller, now: number): void {
    const entry = this.#entries.get(caller)
    if (entry !== undefined) entry.progressAt = now
  }

  /** Forgets a caller that has left. */
  remove (caller: Caller): void {
    this.#total -= this.#entries.get(caller)?.bytes ?? 0
    this.#entries.delete(caller)
  }

  /** Whether the upstream of a caller is paused, if it is being read. */
  isFull (caller: Caller): boolean {
    const bytes = this.#bytes(caller)
    return bytes > 0 && (bytes >= this.#bounds.perCaller || this.#total >= this.#bounds.total)
  }

  /** Whether the upstream of a caller is read on, if it was paused. */
  isRelieved (caller: Caller): boolean {
    const bytes = this.#bytes(caller)
    return bytes === 0 || (bytes <= this.#bounds.perCaller * relief && this.#total < this.#bounds.total)
  }

  /** The callers to close: those that have read nothing for too long, longest first. Well above the total their time is shorter, until the rest fits. */
  overdue (now: number): Array<Overdue<Caller>> {
    const { total: bound, patience } = this.#bounds
    let total = this.#total
    const limit = (): number => total > bound * greatestExcess ? patience * patienceInExcess : patience
    const slowestFirst = [...this.#entries].map(([caller, { bytes, progressAt }]) => ({ caller, bytes, idle: now - progressAt })).sort((a, b) => b.idle - a.idle)
    return slowestFirst.filter(({ bytes, idle }) => {
      if (idle <= limit()) return false
      total -= bytes
      return true
    })
  }

  #bytes (caller: Caller): number {
    return this.#entries.get(caller)?.bytes ?? 0
  }
}
