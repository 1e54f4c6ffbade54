/** A TCP proxy on loopback that counts bytes and can be cut, for the bench and tests. It owns its listener and its connections. */
import { connect, createServer, type Server, type Socket } from 'node:net'

/** Forwards TCP connections on loopback, until they are cut. */
export class Forwarder {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #target: string
  #cut = false
  #bytes = 0
  #port = 0

  /** @param target `host:port` */
  constructor (target: string) {
    this.#target = target
    this.#server = createServer(socket => this.#forward(socket))
  }

  /** `host:port` at which it listens. */
  get address (): string {
    return `127.0.0.1:${this.#port}`
  }

  /** Bytes that have passed, both ways. */
  get bytes (): number {
    return this.#bytes
  }

  start (): Promise<void> {
    return new Promise(resolve => this.#server.listen(0, '127.0.0.1', () => {
      this.#port = (this.#server.address() as { port: number }).port
      resolve()
    }))
  }

  /** Lets nothing through any more: open connections go silent, as when a network is cut, and new ones get no answer. */
  cut (): void {
    this.#cut = true
    for (const socket of this.#sockets) socket.pause()
  }

  stop (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #forward (near: Socket): void {
    const colon = this.#target.lastIndexOf(':')
    const far = connect(Number(this.#target.slice(colon + 1)), this.#target.slice(0, colon))
    for (const [from, to] of [[near, far], [far, near]]) {
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
