/** Checks whether a process listens at an address. It opens and closes a connection and sends nothing on it. */
import { connect } from 'node:net'
import { Address, splitAddress } from '@eiderwind/address'
import { type Clock } from '@eiderwind/clock'

/** What a connection attempt shows about an address. `unknown`: it failed for another reason than a refusal. */
export type AddressState = 'listening' | 'refused' | 'unknown'

/**
 * Tries to connect to `host:port` for at most `timeout` ms. A port on which no process listens refuses the connection at
 * once. Never rejects: an address that is none is `unknown`.
 */
export function probeAddress (address: string, clock: Clock, timeout: number): Promise<AddressState> {
  if (!Address.safeParse(address).success) return Promise.resolve('unknown')
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
