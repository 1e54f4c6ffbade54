/** Checks whether a process listens at an address. It opens and closes a connection and sends nothing on it. */
import { connect } from 'node:net'
import { type Clock } from '@eiderwind/clock'
import { splitAddress } from './serve.js'

/** What a connection attempt shows about an address. `unknown`: it failed for another reason than a refusal. */
export type AddressState = 'listening' | 'refused' | 'unknown'

/**
 * Tries to connect to `host:port` for at most `timeout` ms. A port on which no process listens refuses the connection at
 * once.
 */
export function probeAddress (address: string, clock: Clock, timeout: number): Promise<AddressState> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address))
    const end = (state: AddressState): void => {
      timer.cancel()
      socket.destroy()
      resolve(state)
    }
    const timer = clock.after(timeout, () => end('unknown'))
    socket.once('connect', () => end('listening'))
    socket.on('error', (error: NodeJS.ErrnoException) => end(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown'))
  })
}
