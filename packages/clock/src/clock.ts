/**
 * The timer service: the one source of time and timers for everything that waits or measures time. It is abstract, so that
 * production reads the machine's clocks (`SystemClock`) and tests move time themselves (`ManualClock`).
 */

/** A running subscription to the timer service. Cancelling twice is harmless. */
export interface Subscription {
  cancel (): void
}

/** What is done when a timer is due. */
export type Task = () => void

/**
 * The timer service. Every part that waits or measures time takes a clock, so that tests can pass a
 * `ManualClock` and decide themselves when time moves. All times are in milliseconds.
 */
export abstract class Clock {
  /** Steady time since an arbitrary start. It never goes back; it may stand still while the whole machine is suspended. */
  abstract now (): number

  /**
   * Steady time that also counts suspensions of the machine, as CLOCK_BOOTTIME does, as soon as the time of day shows them. Whatever is believed for a
   * while, since somebody said so, is timed by it: leases, confirmations, the age of lists. It counts at least as much as `now`; a step of the time of day
   * ahead can only end a belief early.
   */
  abstract bootNow (): number

  /** Wall time since the Unix epoch. It may step; use it only for stamps that leave the process. */
  abstract wall (): number

  /** Calls `task` once, `delay` ms from now. */
  abstract after (delay: number, task: Task): Subscription

  /** Calls `task` again and again, `period` ms apart, until the subscription is cancelled. */
  every (period: number, task: Task): Subscription {
    let current = this.after(period, tick)
    const clock = this
    function tick (): void {
      current = clock.after(period, tick)
      task()
    }
    return { cancel: () => current.cancel() }
  }

  /** Resolves `delay` ms from now. */
  wait (delay: number): Promise<void> {
    return new Promise(resolve => this.after(delay, resolve))
  }
}
