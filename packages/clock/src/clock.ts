/**
 * The timer service: the only source of time and timers for all code that waits or measures time. It is abstract:
 * production reads the clocks of the machine (`SystemClock`), and tests control the time (`ManualClock`).
 */

/** An active subscription to the timer service. A second `cancel` has no effect. */
export interface Subscription {
  cancel (): void
}

/** The function that runs when a timer is due. */
export type Task = () => void

/**
 * The timer service. Every module that waits or measures time takes a clock as an option, so that tests can pass a
 * `ManualClock` and advance the time themselves. All times are in milliseconds.
 */
export abstract class Clock {
  /** Monotonic time since an arbitrary start. It may stop while the machine is suspended. */
  abstract now (): number

  /**
   * Monotonic time that includes suspensions of the machine, as CLOCK_BOOTTIME does. A suspension is included as soon
   * as the wall clock shows it. Use it for the validity of information that another process gave for a limited time:
   * leases, confirmations, the age of lists. It advances at least as much as `now`. If the wall clock steps ahead, such
   * information can only expire too early, never too late.
   */
  abstract bootNow (): number

  /** Wall time since the Unix epoch. It may step, so use it only for timestamps that leave the process. */
  abstract wall (): number

  /** Calls `task` once, `delay` ms from now. */
  abstract after (delay: number, task: Task): Subscription

  /** Calls `task` every `period` ms until the subscription is cancelled. */
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
