/** Checks whether a process still listens at an address. It opens and closes a connection and sends nothing on it. */
import { connect } from 'node:net'
import { type Clock } from '@eiderwind/clock'
import { splitAddress } from './serve.js'

/**
 * Resolves to whether a connection to `host:port` is established within `timeout` ms. A port on which no process
 * listens refuses the connection at once.
 */
export function listensAt (address: string, clock: Clock, timeout: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address))
    const end = (listens: boolean): void => {
      timer.cancel()
      socket.destroy()
      resolve(listens)
    }
    const timer = clock.after(timeout, () => end(false))
    socket.once('connect', () => end(true))
    // The cause of the failure does not change the result.
    socket.on('error', () => end(false))
  })
}
