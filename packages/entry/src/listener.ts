/**
 * One port for HTTP/1.1 and HTTP/2 without TLS. Owns the listening socket, the two servers behind it and their
 * connections.
 */
import { createServer as createHttp, type RequestListener, type Server as HttpServer } from 'node:http'
import { createServer as createHttp2, type Http2Server, type ServerHttp2Session } from 'node:http2'
import { createServer as createTcp, type Server, type Socket } from 'node:net'
import { closeIdleConnections } from '@eiderwind/wire'

/** First bytes of an HTTP/2 connection with prior knowledge (RFC 9113, section 3.4). */
const http2Preface = 'PRI * HTTP/2.0'

/**
 * One port for HTTP/1.1 and for HTTP/2 without TLS, so that gRPC clients and plain JSON clients both work. The first
 * bytes of a connection show its protocol.
 */
export class DualListener {
  readonly #http1: HttpServer
  readonly #http2: Http2Server
  readonly #tcp: Server
  readonly #sockets = new Set<Socket>()
  readonly #sessions = new Set<ServerHttp2Session>()

  constructor (handler: RequestListener) {
    this.#http1 = createHttp(handler)
    closeIdleConnections(this.#http1)
    this.#http2 = createHttp2(handler as unknown as Parameters<typeof createHttp2>[0] as never)
    this.#http2.on('session', session => {
      this.#sessions.add(session)
      session.once('close', () => this.#sessions.delete(session))
    })
    this.#tcp = createTcp(socket => this.#chooseServer(socket))
  }

  /** Starts to listen. Resolves to the port. */
  listen (host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#tcp.once('error', reject)
      this.#tcp.listen(port, host, () => resolve((this.#tcp.address() as { port: number }).port))
    })
  }

  /** Closes the port and every connection at once. */
  close (): void {
    this.#tcp.close()
    for (const session of this.#sessions) session.destroy()
    for (const socket of this.#sockets) socket.destroy()
  }

  #chooseServer (socket: Socket): void {
    this.#sockets.add(socket)
    socket.once('close', () => this.#sockets.delete(socket))
    socket.on('error', () => socket.destroy())
    socket.once('readable', () => {
      const first = socket.read() as Buffer | null
      if (first === null) return
      const server = first.toString('latin1', 0, http2Preface.length) === http2Preface.slice(0, first.length) ? this.#http2 : this.#http1
      socket.unshift(first)
      server.emit('connection', socket)
    })
  }
}
