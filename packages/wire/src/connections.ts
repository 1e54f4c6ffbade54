/**
 * Connections to upstreams, to the store and to other gateways, and the rule by which an answer counts as whole. The
 * client library is too generous there: it takes any answer on a connection that will not be kept as whole once the
 * connection ends, be it by a reset or in the middle of a chunk. Relies on `call.ts` for the calls themselves.
 */
import { connect, type Socket } from 'node:net'
import { Client } from 'undici'
import { Receiver, connectTimeoutCode, send, type AnswerHeaders, type Call, type CallFailure, type Cancel, type Flow } from './call.js'

/** Options of a set of connections. Spans are in ms. */
export interface ConnectionsOptions {
  /** Longest time to establish a connection. Default: 1000. */
  readonly connectTime?: number
  /** How long an idle connection is kept where the other side does not say. Default: 1000. */
  readonly idleTime?: number
}

/** Defaults of the options, in ms. */
const defaultConnectTime = 1000
const defaultIdleTime = 1000

/** Idle connections kept to one address. */
const maxIdle = 32

/**
 * A connection is given up this long before the other side will close it by its `Keep-Alive`, in ms, so that no call is
 * sent on a connection that is being closed.
 */
const keepAliveMargin = 600

/** A connection, with a client of its own that sends one call at a time on it. */
interface Connection {
  readonly client: Client
  /** Whether this side has given it up. */
  closed: boolean
  /** How the other side ended it, if it has. */
  ending: 'closed' | 'reset' | undefined
  /** Whether an answer on it was not read for a while: the other side may have sent all of it long ago, and be closing a connection that it takes for idle. */
  wasPaused: boolean
}

/**
 * Sends calls, one at a time on each connection. A connection is used again only after a whole answer that was read as it
 * came, with no bytes behind it, and only as long as the other side keeps it.
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

  /** Connections opened since the start. */
  get opened (): number {
    return this.#opened
  }

  /** Connections that are open now, idle ones too. */
  get count (): number {
    return this.#open.size
  }

  /** Sends a call on an idle connection or a new one. @param fresh on a new one in any case */
  send (call: Call, receiver: Receiver, fresh = false): Cancel {
    const connection = (fresh ? undefined : this.#takeIdle(call.origin)) ?? this.#make(call.origin)
    return send(connection.client, call, new FramedReceiver(receiver, connection, whole => this.#done(call.origin, connection, whole)))
  }

  /** Closes every connection. Calls in flight fail. */
  close (): void {
    for (const connection of this.#open) this.#close(connection)
    this.#idle.clear()
  }

  #takeIdle (origin: string): Connection | undefined {
    const idle = this.#idle.get(origin)
    for (let connection = idle?.pop(); connection !== undefined; connection = idle?.pop()) {
      if (!connection.closed) return connection
    }
    this.#idle.delete(origin)
    return undefined
  }

  #make (origin: string): Connection {
    this.#opened++
    const client: Client = new Client(origin, {
      connect: (options, done) => {
        openSocket({
          host: options.hostname,
          port: Number(options.port),
          time: this.#connectTime,
          opened: socket => done(null, watched(socket, connection)),
          failed: error => done(error, null)
        })
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: this.#idleTime,
      keepAliveTimeoutThreshold: keepAliveMargin
    })
    const connection: Connection = { client, closed: false, ending: undefined, wasPaused: false }
    this.#open.add(connection)
    client.on('disconnect', () => this.#close(connection))
    return connection
  }

  #done (origin: string, connection: Connection, whole: boolean): void {
    if (!whole || connection.wasPaused || connection.closed) return this.#close(connection)
    // The library reads on a turn later. Bytes that came behind the answer close the connection before it is kept.
    setImmediate(() => setImmediate(() => this.#keep(origin, connection)))
  }

  #keep (origin: string, connection: Connection): void {
    if (connection.closed) return
    const idle = this.#idle.get(origin) ?? []
    if (idle.length >= maxIdle) return this.#close(connection)
    idle.push(connection)
    this.#idle.set(origin, idle)
  }

  #close (connection: Connection): void {
    if (connection.closed) return
    connection.closed = true
    this.#open.delete(connection)
    // A call in flight fails through its receiver; an error of the closing itself concerns nothing that is still used.
    connection.client.destroy(new Error('The connection is no longer used.')).catch(() => {})
  }
}

/**
 * Decides whether an answer that the library takes as whole is whole (RFC 9112, section 8): one with a length or in chunks
 * must be complete before its connection ends; one without either may end with its connection, but not by a reset.
 */
class FramedReceiver extends Receiver {
  readonly #receiver: Receiver
  readonly #connection: Connection
  readonly #done: (whole: boolean) => void
  #framed = false

  constructor (receiver: Receiver, connection: Connection, done: (whole: boolean) => void) {
    super()
    this.#receiver = receiver
    this.#connection = connection
    this.#done = done
  }

  override begun (): void {
    this.#receiver.begun()
  }

  head (status: number, headers: AnswerHeaders, flow: Flow): void {
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
    this.#receiver.data(chunk)
  }

  end (): void {
    const { ending } = this.#connection
    if (ending === 'reset' || (ending === 'closed' && this.#framed)) {
      return this.fail({ error: new Error(`The connection was ${ending} before the answer was whole.`), sent: true })
    }
    this.#done(true)
    this.#receiver.end()
  }

  fail (failure: CallFailure): void {
    this.#done(false)
    this.#receiver.fail(failure)
  }
}

/**
 * Notes how a socket ends, before the library's own listeners run. Where a reset comes together with the last bytes, Node.js reports a plain end (139 of 1,500
 * connections that were reset right behind their bytes); that there is no other side any more tells the two apart (in all of those, and in none of 1,500
 * that were closed). Its address must not be asked for earlier: it is remembered from then on.
 */
function watched (socket: Socket, connection: Connection): Socket {
  // The library gets the same error and fails the call with it.
  socket.on('error', () => { connection.ending = 'reset' })
  socket.on('end', () => { connection.ending ??= socket.remoteAddress === undefined ? 'reset' : 'closed' })
  return socket
}

interface SocketOptions {
  readonly host: string
  readonly port: number
  /** Longest time that it may take, in ms. */
  readonly time: number
  readonly opened: (socket: Socket) => void
  readonly failed: (error: Error) => void
}

function openSocket ({ host, port, time, opened, failed }: SocketOptions): void {
  const socket = connect({ host, port, noDelay: true })
  const timer = setTimeout(() => {
    socket.destroy(Object.assign(new Error(`No connection to ${host}:${port} within ${time} ms.`), { code: connectTimeoutCode }))
  }, time)
  const broke = (error: Error): void => {
    clearTimeout(timer)
    failed(error)
  }
  socket.once('error', broke)
  socket.once('connect', () => {
    clearTimeout(timer)
    socket.off('error', broke)
    opened(socket)
  })
}
