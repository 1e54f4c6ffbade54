/**
 * The life cycle of a process, for all programs: start, serve until a signal arrives, drain, exit. It owns the handling
 * of signals and of errors that nothing else handles, and writes the events 100 to 102, 104 and 109. It relies on a
 * `Daemon` to start and to drain. `docs/design/failures.md` weighs what an error does.
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
  /** Upper bound on the time of `stop`, in ms. It is enforced after an error, when nobody else ends the process. */
  readonly maxStopTime: number
  /** Resolves once the program serves. If it rejects, the process exits. */
  start (): Promise<Addresses>
  /** Drains: accepts no new requests, finishes the requests in flight, and closes. */
  stop (): Promise<void>
}

/**
 * Runs a daemon until SIGTERM or SIGINT, which have no effect once it stops, or until an error reaches the event loop.
 * Resolves to the exit status: 0, or 1 if it could not start or there was such an error. A process that serves drains in
 * either case; further errors do not end the drain.
 */
export async function run (daemon: Daemon): Promise<number> {
  const { log } = daemon
  const errors = new UncaughtErrors(log)
  const stopped = stopSignal()
  const hasStarted = await Promise.race([start(daemon), errors.first.then(() => false)])
  if (!hasStarted) return failed
  await Promise.race([stopped, errors.first])
  log.write('stopping')
  const isDrained = await Promise.race([stop(daemon, errors), errors.first.then(async () => await expired(daemon, errors))])
  if (isDrained) log.write('stopped')
  return errors.count > 0 ? failed : ok
}

async function start (daemon: Daemon): Promise<boolean> {
  try {
    daemon.log.write('started', await daemon.start())
    return true
  } catch (error) {
    daemon.log.write('crashed', { cause: String(error) })
    return false
  }
}

/** Drains. Returns whether that succeeded. */
async function stop (daemon: Daemon, errors: UncaughtErrors): Promise<boolean> {
  try {
    await daemon.stop()
    return true
  } catch (error) {
    errors.record(error)
    return false
  }
}

/** Resolves to false when the time of the drain is over. */
function expired ({ maxStopTime }: Daemon, errors: UncaughtErrors): Promise<boolean> {
  return new Promise(resolve => {
    // Not a timer of the timer service, which may be what failed.
    setTimeout(() => {
      errors.record(new Error(`The drain has not ended within ${maxStopTime} ms.`))
      resolve(false)
    }, maxStopTime)
  })
}

/** The errors that reach the event loop. Without a listener, Node.js writes the first to standard error and exits. */
class UncaughtErrors {
  readonly #log: Log
  readonly #resolveFirst: () => void
  #count = 0
  /** Resolves at the first error. */
  readonly first: Promise<void>

  constructor (log: Log) {
    let resolveFirst = (): void => {}
    this.first = new Promise(resolve => { resolveFirst = resolve })
    this.#resolveFirst = resolveFirst
    this.#log = log
    process.on('uncaughtException', error => this.record(error))
  }

  get count (): number {
    return this.#count
  }

  record (error: unknown): void {
    this.#count++
    this.#log.write('uncaught-error', { cause: causeOf(error) })
    this.#resolveFirst()
  }
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
