/**
 * Bounds what the other side of a connection may send around the bodies of its answers: heads, chunk sizes and
 * extensions, trailers. The client library bounds only the fields of one head.
 */
import { type Socket } from 'node:net'

/** Upper bound on these bytes in one answer: a constant, and a number for each byte of the body. */
const maxConstant = 65_536
const maxPerByte = 16

/** Counts the bytes of one connection. */
export class Overhead {
  readonly #socket: Socket
  /** Bytes that were read before the current answer. */
  #readBefore = 0
  /** Bytes of the body of the current answer so far. */
  #body = 0

  /** Destroys `socket` once an answer has too many bytes besides its body. */
  constructor (socket: Socket) {
    this.#socket = socket
    socket.on('readable', () => this.#check())
  }

  /** Starts to count for the next answer. */
  begin (): void {
    this.#readBefore = this.#read
    this.#body = 0
  }

  /** Counts bytes of the body. */
  addBody (count: number): void {
    this.#body += count
  }

  /** Bytes that were taken from the socket. */
  get #read (): number {
    return this.#socket.bytesRead - this.#socket.readableLength
  }

  #check (): void {
    const overhead = this.#read - this.#readBefore - this.#body
    if (overhead > maxConstant + maxPerByte * this.#body) this.#socket.destroy(new Error(`The answer has ${overhead} bytes besides its body.`))
  }
}
