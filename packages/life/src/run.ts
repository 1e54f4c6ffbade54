import { type Log } from '@eiderwind/log'

/** The addresses that a daemon has taken, by what they are for. */
export type Addresses = Readonly<Record<string, string>>

/** One role of the daemon, made but not started. */
export interface Daemon {
  readonly log: Log
  start (): Promise<Addresses>
  /** Takes nothing new, finishes what is in flight and ends. */
  stop (): Promise<void>
}

/** Runs a daemon until it is told to stop by SIGTERM or SIGINT. Gives the exit status. */
export async function run (daemon: Daemon): Promise<number> {
  const stopped = stopSignal()
  try {
    daemon.log.write('started', await daemon.start())
  } catch (error) {
    daemon.log.write('crashed', { cause: String(error) })
    return 1
  }
  await stopped
  daemon.log.write('stopping')
  await daemon.stop()
  daemon.log.write('stopped')
  return 0
}

function stopSignal (): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
}
