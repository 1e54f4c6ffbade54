/** Whether a process still listens at an address: a connection is made and closed, and nothing is asked. */
import { connect } from 'node:net'
import { type Clock } from '@eiderwind/clock'
import { splitAddress } from './serve.js'

/** Resolves to whether a connection to `host:port` comes up within `time` ms. A port without a process refuses at once. */
export function listensAt (address: string, clock: Clock, time: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address))
    const end = (listens: boolean): void => {
      timer.cancel()
      socket.destroy()
      resolve(listens)
    }
    const timer = clock.after(time, () => end(false))
    socket.once('connect', () => end(true))
    // Why it does not come up makes no difference to the answer.
    socket.on('error', () => end(false))
  })
}
