/**
 * Decides when new connections have to be closed unread, because a process accepts them more slowly than they arrive.
 * Pure; the caller passes the time. The operating system queues connections until the process accepts them, and does
 * not tell for how long. So the process sends itself connections, the probes, while the queue is not empty. All that is
 * ahead of a probe in the queue has waited for longer than the probe, and all that is behind it for less.
 *
 * A burst may wait for almost as long as callers do, since it is served in the end. Under sustained overload that would
 * only make all of them wait, so connections are then closed sooner.
 *
 * What arrives while the process is paused says nothing about how fast it accepts connections. So after a pause only
 * the wait since its end counts.
 */

/** Bound on the wait under sustained overload, as a share of that for a burst. */
const sustainedShare = 0.25

/** How long overload counts as sustained after the last connection was closed, in ms. */
const calmTime = 3000

/** Longest time for which connections are closed without a break, in ms. */
const maxClosingTime = 1000

/** Time between two probes, as a share of the bound on the wait: the precision with which the wait is known. */
const probeShare = 0.1

/** The queue of connections that are not accepted yet. */
export class StandingQueue {
  readonly #maxWait: number
  /** When the probes in the queue were sent, the oldest first. */
  #probes: number[] = []
  #lastProbeAt = -Infinity
  /** Since when the queue has not been empty. */
  #since: number | undefined
  /** Since when connections are closed. Undefined if they are read. */
  #closingSince: number | undefined
  /** Until when connections are read, whatever their wait. */
  #readUntil = -Infinity
  #closedAt = -Infinity

  /** @param maxWait how long connections of a burst may wait, in ms */
  constructor (maxWait: number) {
    this.#maxWait = maxWait
  }

  /** Whether the next connections have to be closed instead of being read. */
  get isOverloaded (): boolean {
    return this.#closingSince !== undefined
  }

  /** Whether a probe is to be sent now. A queue that is soon empty needs none. @param now in ms */
  wantsProbe (now: number): boolean {
    return now - Math.max(this.#lastProbeAt, this.#since ?? now) >= probeShare * this.#maxWait
  }

  /** Records that a probe is being sent. */
  probe (now: number): void {
    this.#probes.push(now)
    this.#lastProbeAt = now
  }

  /** Records that the oldest probe has left the queue. */
  probeAccepted (): void {
    this.#probes.shift()
  }

  /**
   * Takes what one turn of the event loop showed.
   * @param isEmpty whether there was no new connection
   * @param now in ms
   * @param resumedAt when the last pause of the process ended, in ms
   */
  observe (isEmpty: boolean, now: number, resumedAt = -Infinity): void {
    if (isEmpty) {
      this.#probes = []
      this.#since = undefined
      this.#closingSince = undefined
      return
    }
    this.#since ??= now
    const wait = this.#probes.length === 0 ? 0 : now - Math.max(this.#probes[0], resumedAt)
    if (this.#closingSince === undefined) this.#beginClosing(wait, now)
    else this.#continueClosing(wait, this.#closingSince, now)
  }

  #beginClosing (wait: number, now: number): void {
    const isSustained = now - this.#closedAt < calmTime
    const bound = isSustained ? sustainedShare * this.#maxWait : this.#maxWait
    if (wait <= bound || now < this.#readUntil) return
    this.#closingSince = now
    this.#closedAt = now
  }

  /**
   * Closes connections until the wait is short. If work on open connections leaves no time for that, some are read in
   * between.
   */
  #continueClosing (wait: number, since: number, now: number): void {
    this.#closedAt = now
    const isTooLong = now - since >= maxClosingTime
    if (isTooLong) this.#readUntil = now + sustainedShare * this.#maxWait
    if (isTooLong || wait <= probeShare * this.#maxWait) this.#closingSince = undefined
  }
}
