/**
 * Waits at the start for ports that are in use. The platform gives the ports to this process, but another one may hold
 * one for a moment: its predecessor until it has drained, or an outgoing connection of any process. Writes the event 111.
 */
import { type Clock } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'

/** Time between two attempts, in ms. */
const retryInterval = 100

/** How long a port is waited for, in ms: longer than a predecessor drains (the grace period, 8 s). */
const maxWait = 10_000

/** Dependencies of `PortWait`. */
export interface PortWaitOptions {
  readonly clock: Clock
  readonly log: Log
}

/** Starts what listens on a port once that is free. */
export class PortWait {
  readonly #options: PortWaitOptions

  constructor (options: PortWaitOptions) {
    this.#options = options
  }

  /**
   * Calls `start` until the port is free. Rejects with its error if that is another one, or if the time is over.
   * @param address `host:port`, for the log
   */
  async start (address: string, start: () => Promise<void>): Promise<void> {
    const { clock, log } = this.#options
    const until = clock.now() + maxWait
    for (let attempt = 0; ; attempt++) {
      try {
        return await start()
      } catch (error) {
        if (!isInUse(error) || clock.now() >= until) throw error
        if (attempt === 0) log.write('port-in-use', { address })
      }
      await clock.wait(retryInterval)
    }
  }
}

function isInUse (error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'EADDRINUSE'
}
