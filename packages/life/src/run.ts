/**
 * The life cycle of every program's process: start, serve until a signal, drain, exit. It owns the signals and the events
 * 100 to 102 and 104; what starting and draining mean is the daemon's.
 */
import { type Log } from '@eiderwind/log'

/** The addresses that a daemon listens on, by purpose. They are fields of the event `started`. */
export type Addresses = Readonly<Record<string, string>>

/** Exit statuses. */
const ok = 0
const failed = 1

/** A program that is made but not started. */
export interface Daemon {
  readonly log: Log
  /** Resolves once it serves. Where it rejects, the process exits. */
  start (): Promise<Addresses>
  /** Drains: accepts nothing new, finishes what is in flight, and closes. */
  stop (): Promise<void>
}

/** Runs a daemon until SIGTERM or SIGINT. Resolves to the exit status: 0, or 1 where it could not start. */
export async function run (daemon: Daemon): Promise<number> {
  const stopped = stopSignal()
  try {
    daemon.log.write('started', await daemon.start())
  } catch (error) {
    daemon.log.write('crashed', { cause: String(error) })
    return failed
  }
  await stopped
  daemon.log.write('stopping')
  await daemon.stop()
  daemon.log.write('stopped')
  return ok
}

function stopSignal (): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
}
