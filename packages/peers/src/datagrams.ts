/**
 * Transport of datagrams between gateways: an abstract class, so that membership can be tested without a network, and
 * its implementation over UDP. Owns the socket. Nothing is sent again: a lost datagram is followed by the next one.
 */
import { createSocket, type Socket } from 'node:dgram'
import { Address, splitAddress } from '@eiderwind/address'

/** Called with each datagram and the `host:port` of its sender. */
export type Receiver = (message: Buffer, from: string) => void

/** Sends and receives datagrams at one address. */
export abstract class Datagrams {
  /** Rejects if the address cannot be bound. */
  abstract start (receive: Receiver): Promise<void>
  /** Never throws: a datagram that cannot be sent is lost. @param address `host:port` */
  abstract send (message: string, address: string): void
  abstract stop (): void
}

/** Datagrams over UDP. */
export class UdpDatagrams extends Datagrams {
  readonly #address: string
  #socket: Socket | undefined

  /** @param address `host:port` on which datagrams are received */
  constructor (address: string) {
    super()
    this.#address = address
  }

  async start (receive: Receiver): Promise<void> {
    const socket = createSocket('udp4')
    const { host, port } = splitAddress(this.#address)
    await new Promise<void>((resolve, reject) => {
      socket.once('error', error => {
        socket.close()
        reject(error)
      })
      socket.bind(port, host, resolve)
    })
    // Errors are ignored. A lost datagram needs no handling: the next one follows soon, and liveness is decided by
    // silence.
    socket.on('error', () => {})
    socket.on('message', (message, { address, port }) => receive(message, `${address}:${port}`))
    this.#socket = socket
  }

  send (message: string, address: string): void {
    if (!Address.safeParse(address).success) return
    const { host, port } = splitAddress(address)
    // Failures are ignored for the same reason as errors of the socket in `start`.
    this.#socket?.send(message, port, host, () => {})
  }

  stop (): void {
    this.#socket?.close()
    this.#socket = undefined
  }
}
