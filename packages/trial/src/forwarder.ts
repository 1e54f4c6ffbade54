/**
 * A TCP proxy on loopback for the bench and tests. It counts forwarded bytes and can simulate a network cut.
 * It owns its listener and its connections.
 */
import { connect, createServer, type Server, type Socket } from 'node:net'

/** Forwards TCP connections to one target until `cut` is called. */
export class Forwarder {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #target: string
  #cut = false
  #bytes = 0
  #port = 0

  /** @param target Address to forward to, as `host:port`. */
  constructor (target: string) {
    this.#target = target
    this.#server = createServer(socket => this.#forward(socket))
  }

  /** Address of the listener, as `host:port`. */
  get address (): string {
    return `127.0.0.1:${this.#port}`
  }

  /** Bytes received so far, both directions together. */
  get bytes (): number {
    return this.#bytes
  }

  start (): Promise<void> {
    return new Promise(resolve => this.#server.listen(0, '127.0.0.1', () => {
      this.#port = (this.#server.address() as { port: number }).port
      resolve()
    }))
  }

  /** Stops forwarding, as a network cut does: open connections stay open without data, and new ones get no answer. */
  cut (): void {
    this.#cut = true
    for (const socket of this.#sockets) socket.pause()
  }

  stop (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #forward (inbound: Socket): void {
    const colon = this.#target.lastIndexOf(':')
    const outbound = connect(Number(this.#target.slice(colon + 1)), this.#target.slice(0, colon))
    for (const [from, to] of [[inbound, outbound], [outbound, inbound]]) {
      this.#sockets.add(from)
      if (this.#cut) from.pause()
      from.on('data', (chunk: Buffer) => {
        this.#bytes += chunk.length
        to.write(chunk)
      })
      from.on('error', () => to.destroy())
      from.on('close', () => {
        this.#sockets.delete(from)
        to.destroy()
      })
    }
  }
}
