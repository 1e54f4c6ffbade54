/**
 * Connections to upstreams, to the store and to other gateways, and the check that an answer is complete. The client
 * library checks too little: on a connection that will not be reused, it accepts any answer as complete once the
 * connection ends, even by a reset or in the middle of a chunk. Relies on `call.ts` for the calls themselves.
 */
import { connect, isIP, type Socket } from 'node:net'
import { connect as connectSecurely } from 'node:tls'
import { Client } from 'undici'
import { Overhead } from './overhead.js'
import { Receiver, connectTimeoutCode, failUnsent, send, type AnswerHeaders, type Call, type CallFailure, type Cancel, type Flow } from './call.js'

/** Options of a set of connections. Times are in ms. */
export interface ConnectionsOptions {
  /** Maximum time to establish a connection. Default: 1000. */
  readonly connectTime?: number
  /** How long an idle connection is kept open if the other side sends no `Keep-Alive` time. Default: 1000. */
  readonly idleTime?: number
}

/** Defaults of the options, in ms. */
const defaultConnectTime = 1000
const defaultIdleTime = 1000

/** Ports of origins that name none. */
const defaultPorts = { 'http:': 80, 'https:': 443 } as const

/** Maximum number of idle connections to one origin. */
const maxIdlePerOrigin = 32

/**
 * How long before the end of the other side's `Keep-Alive` time a connection is closed, in ms. The margin prevents
 * calls on a connection that the other side is closing.
 */
const keepAliveMargin = 600

/** A connection with its own client, which sends one call at a time on it. */
interface Connection {
  readonly client: Client
  /** Undefined until it is established. */
  socket: Socket | undefined
  /** The count of the bytes around bodies, from the same time on. */
  overhead: Overhead | undefined
  /** Whether this side has closed it or must not use it again. */
  closed: boolean
  /** How the other side ended it, or undefined while it has not. */
  ending: 'closed' | 'reset' | undefined
  /**
   * Whether reading an answer on it was paused. The other side may then have sent the complete answer long before this
   * side read it. It counts the connection as idle from that time on, and may already be closing the connection.
   */
  wasPaused: boolean
}

/**
 * Sends calls, one at a time on each connection. A connection is reused only after a complete answer that was read
 * without a pause and is followed by no further bytes, and only while the other side keeps it open.
 */
export class Connections {
  readonly #connectTime: number
  readonly #idleTime: number
  readonly #idle = new Map<string, Connection[]>()
  readonly #open = new Set<Connection>()
  #opened = 0

  constructor ({ connectTime = defaultConnectTime, idleTime = defaultIdleTime }: ConnectionsOptions = {}) {
    this.#connectTime = connectTime
    this.#idleTime = idleTime
  }

  /** Number of connections opened since the start. */
  get opened (): number {
    return this.#opened
  }

  /** Number of open connections, including idle ones. */
  get count (): number {
    return this.#open.size
  }

  /**
   * Sends a call on an idle connection, or on a new one if none is idle. Never throws: a call that cannot be sent, such
   * as one to an origin that is not a scheme, host and port, fails as not sent as soon as this method has returned.
   * @param fresh whether to use a new connection in any case
   */
  send (call: Call, receiver: Receiver, fresh = false): Cancel {
    const connection = (fresh ? undefined : this.#takeIdle(call.origin)) ?? this.#tryMake(call.origin)
    if (connection instanceof Error) return failUnsent(receiver, connection)
    return send(connection.client, call, new FramedReceiver(receiver, connection, whole => this.#release(call.origin, connection, whole)))
  }

  /** Closes the idle connections to an origin, so that the next calls to it use new ones. */
  closeIdle (origin: string): void {
    for (const connection of this.#idle.get(origin) ?? []) this.#close(connection)
    this.#idle.delete(origin)
  }

  /** Closes every connection. Calls in flight fail. */
  close (): void {
    for (const connection of this.#open) this.#close(connection)
    this.#idle.clear()
  }

  #takeIdle (origin: string): Connection | undefined {
    const idle = this.#idle.get(origin)
    for (let connection = idle?.pop(); connection !== undefined; connection = idle?.pop()) {
      // The client library reports the end of a socket only at the end of the turn in which the socket was destroyed.
      if (!connection.closed && connection.socket?.destroyed === false) return connection
    }
    this.#idle.delete(origin)
    return undefined
  }

  /** Returns the error of the client library if it does not accept the origin. */
  #tryMake (origin: string): Connection | Error {
    try {
      return this.#make(origin)
    } catch (error) {
      return error as Error
    }
  }

  #make (origin: string): Connection {
    const client: Client = new Client(origin, {
      connect: (options, done) => {
        openSocket({
          host: options.hostname,
          port: options.port === '' ? defaultPorts[options.protocol as keyof typeof defaultPorts] : Number(options.port),
          isSecure: options.protocol === 'https:',
          timeout: this.#connectTime,
          opened: socket => {
            connection.socket = socket
            connection.overhead = new Overhead(socket)
            done(null, watchEnding(socket, connection))
          },
          failed: error => done(error, null)
        })
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: this.#idleTime,
      keepAliveTimeoutThreshold: keepAliveMargin
    })
    const connection: Connection = { client, socket: undefined, overhead: undefined, closed: false, ending: undefined, wasPaused: false }
    this.#opened++
    this.#open.add(connection)
    client.on('disconnect', () => this.#close(connection))
    return connection
  }

  #release (origin: string, connection: Connection, whole: boolean): void {
    if (!whole || connection.wasPaused || connection.closed) return this.#close(connection)
    // The library reads on one turn of the event loop later. If bytes follow the answer, it closes the connection there,
    // before `#addIdle` runs.
    setImmediate(() => setImmediate(() => this.#addIdle(origin, connection)))
  }

  #addIdle (origin: string, connection: Connection): void {
    if (connection.closed) return
    const idle = this.#idle.get(origin) ?? []
    if (idle.length >= maxIdlePerOrigin) return this.#close(connection)
    idle.push(connection)
    this.#idle.set(origin, idle)
  }

  #close (connection: Connection): void {
    if (connection.closed) return
    connection.closed = true
    this.#open.delete(connection)
    // A call in flight fails through its receiver. An error from closing can be ignored: nothing uses the connection.
    connection.client.destroy(new Error('The connection is no longer used.')).catch(() => {})
  }
}

/**
 * Status of an answer whose length is that of another answer (RFC 9110, section 8.6), and the error with which the
 * client library fails it once its head is complete, since no body follows.
 */
const notModified = 304
const lengthMismatchCode = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH'

/**
 * Decides whether an answer is complete (RFC 9112, section 8), because the library also accepts incomplete answers. An
 * answer with a length or in chunks must be complete before its connection ends. An answer with neither ends when the
 * other side closes the connection, but is incomplete if the connection is reset.
 */
class FramedReceiver extends Receiver {
  readonly #receiver: Receiver
  readonly #connection: Connection
  readonly #release: (whole: boolean) => void
  #status = 0
  /** Whether the answer has a length or comes in chunks. */
  #framed = false

  constructor (receiver: Receiver, connection: Connection, done: (whole: boolean) => void) {
    super()
    this.#receiver = receiver
    this.#connection = connection
    this.#release = done
  }

  override mayBegin (): boolean {
    return this.#receiver.mayBegin()
  }

  override begun (): void {
    this.#connection.overhead?.begin()
    this.#receiver.begun()
  }

  head (status: number, headers: AnswerHeaders, flow: Flow): void {
    this.#status = status
    this.#framed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
    this.#receiver.head(status, headers, {
      pause: () => {
        this.#connection.wasPaused = true
        flow.pause()
      },
      resume: () => flow.resume(),
      abort: reason => flow.abort(reason)
    })
  }

  data (chunk: Buffer): void {
    this.#connection.overhead?.addBody(chunk.length)
    this.#receiver.data(chunk)
  }

  end (): void {
    const { ending } = this.#connection
    if (ending === 'reset' || (ending === 'closed' && this.#framed)) {
      return this.fail({ error: new Error(`The connection was ${ending} before the answer was complete.`), sent: true })
    }
    this.#release(true)
    this.#receiver.end()
  }

  fail (failure: CallFailure): void {
    this.#release(false)
    if (this.#status === notModified && (failure.error as { code?: string }).code === lengthMismatchCode) return this.#receiver.end()
    this.#receiver.fail(failure)
  }
}

/**
 * Records how a socket ends, before the listeners of the library run. If a reset arrives together with the last bytes,
 * Node.js may report an ordinary end (139 of 1,500 connections that were reset right after their bytes). A missing
 * remote address distinguishes the two cases: it was missing in all of those 139, and in none of 1,500 connections that
 * were closed. `remoteAddress` must not be read earlier, because Node.js caches it at the first read.
 */
function watchEnding (socket: Socket, connection: Connection): Socket {
  // The library receives the same error and fails the call with it.
  socket.on('error', () => { connection.ending = 'reset' })
  socket.on('end', () => { connection.ending ??= socket.remoteAddress === undefined ? 'reset' : 'closed' })
  return socket
}

interface SocketOptions {
  readonly host: string
  readonly port: number
  /** Whether to use TLS. */
  readonly isSecure: boolean
  /** Maximum time to connect, in ms. */
  readonly timeout: number
  readonly opened: (socket: Socket) => void
  readonly failed: (error: Error) => void
}

function openSocket ({ host, port, isSecure, timeout, opened, failed }: SocketOptions): void {
  const socket = isSecure ? connectSecurely({ host, port, servername: isIP(host) === 0 ? host : '' }) : connect({ host, port, noDelay: true })
  let isOpen = false
  const expire = (): void => {
    if (!isOpen) socket.destroy(Object.assign(new Error(`No connection to ${host}:${port} within ${timeout} ms.`), { code: connectTimeoutCode }))
  }
  // After a delay of the event loop, timers run before the completed connection is noticed. The immediate runs after it.
  const timer = setTimeout(() => setImmediate(expire), timeout)
  const onError = (error: Error): void => {
    clearTimeout(timer)
    failed(error)
  }
  socket.once('error', onError)
  socket.once(isSecure ? 'secureConnect' : 'connect', () => {
    isOpen = true
    clearTimeout(timer)
    socket.off('error', onError)
    opened(socket)
  })
}
