/**
 * The life cycle of a process, for all programs: start, serve until a signal arrives, drain, exit. It owns the handling
 * of signals and of errors that nothing else handles, and writes the events 100 to 102, 104 and 109. It relies on a
 * `Daemon` to start and to drain.
 */
import { type Log } from '@eiderwind/log'
import { causeOf } from './cause.js'

/** The addresses on which a daemon listens, by purpose. They become fields of the event `started`. */
export type Addresses = Readonly<Record<string, string>>

/** Exit statuses. */
const ok = 0
const failed = 1

/** A program that can be started and stopped. */
export interface Daemon {
  readonly log: Log
  /** Resolves once the program serves. If it rejects, the process exits. */
  start (): Promise<Addresses>
  /** Drains: accepts no new requests, finishes the requests in flight, and closes. */
  stop (): Promise<void>
}

/**
 * Runs a daemon until SIGTERM or SIGINT, which have no effect once it stops. Resolves to the exit status: 0, or 1 if it
 * could not start or an error reached the event loop.
 */
export async function run (daemon: Daemon): Promise<number> {
  const stopped = stopSignal()
  return await Promise.race([serve(daemon, stopped), uncaughtError(daemon.log)])
}

async function serve (daemon: Daemon, stopped: Promise<void>): Promise<number> {
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

/**
 * Logs errors that reach the event loop. Resolves to the exit status at the first one. Without this listener, Node.js
 * writes the error to standard error only.
 */
function uncaughtError (log: Log): Promise<number> {
  return new Promise(resolve => {
    process.on('uncaughtException', error => {
      log.write('uncaught-error', { cause: causeOf(error) })
      resolve(failed)
    })
  })
}

/**
 * Resolves at the first SIGTERM or SIGINT. The listeners remain, because without one a later signal would end the process
 * with its requests in flight.
 */
function stopSignal (): Promise<void> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve())
    process.on('SIGINT', () => resolve())
  })
}
