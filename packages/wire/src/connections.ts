import { connect, type Socket } from 'node:net'
import { Client } from 'undici'
import { Receiver, send, type AnswerHeaders, type Break, type Call, type Cancel, type Flow } from './call.js'

/** Options of a set of connections. Spans are in ms. */
export interface ConnectionsOptions {
  /** Time within which a new connection has to come up. Default: 1000. */
  readonly connectTime?: number
  /** How long an idle connection is kept where the other side does not tell. Default: 1000. */
  readonly idleTime?: number
  /** Idle connections that are kept to one address. Default: 32. */
  readonly mostIdle?: number
}

/** A call is over `late` ms before the time that the other side tells for its idle connections. */
const keepAliveMargin = 600

/** One connection. */
interface Lane {
  readonly client: Client
  ended: boolean
  /** How the other side's half came to its end, if it has. */
  over: 'closed' | 'reset' | undefined
}

/**
 * Connections to other processes, one call at a time on each. A connection is used again only after a whole answer
 * with nothing behind it, and within the time that the other side tells.
 */
export class Connections {
  readonly #connectTime: number
  readonly #idleTime: number
  readonly #mostIdle: number
  readonly #idle = new Map<string, Lane[]>()
  readonly #open = new Set<Lane>()
  #opened = 0

  constructor ({ connectTime = 1000, idleTime = 1000, mostIdle = 32 }: ConnectionsOptions = {}) {
    this.#connectTime = connectTime
    this.#idleTime = idleTime
    this.#mostIdle = mostIdle
  }

  /** Connections that were ever opened. */
  get opened (): number {
    return this.#opened
  }

  /** Sends a call on an idle connection, or on a new one, always on a new one where `fresh` says so. */
  send (call: Call, receiver: Receiver, fresh = false): Cancel {
    const lane = (fresh ? undefined : this.#take(call.origin)) ?? this.#make(call.origin)
    return send(lane.client, call, new LaneReceiver(receiver, lane, whole => this.#done(call.origin, lane, whole)))
  }

  /** Cuts every connection. */
  close (): void {
    for (const lane of this.#open) this.#end(lane)
    this.#idle.clear()
  }

  #take (origin: string): Lane | undefined {
    const lanes = this.#idle.get(origin)
    for (let lane = lanes?.pop(); lane !== undefined; lane = lanes?.pop()) {
      if (!lane.ended) return lane
    }
    this.#idle.delete(origin)
    return undefined
  }

  #make (origin: string): Lane {
    this.#opened++
    const client: Client = new Client(origin, {
      connect: (options, done) => {
        open({ host: options.hostname, port: Number(options.port), time: this.#connectTime, opened: socket => done(null, watched(socket, lane)), failed: error => done(error, null) })
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: this.#idleTime,
      keepAliveTimeoutThreshold: keepAliveMargin
    })
    const lane: Lane = { client, ended: false, over: undefined }
    this.#open.add(lane)
    client.on('disconnect', () => this.#end(lane))
    return lane
  }

  #done (origin: string, lane: Lane, whole: boolean): void {
    if (!whole || lane.ended) return this.#end(lane)
    // The client library reads on after a turn: bytes behind the answer that came with it end the connection first.
    setImmediate(() => setImmediate(() => this.#park(origin, lane)))
  }

  #park (origin: string, lane: Lane): void {
    if (lane.ended) return
    const lanes = this.#idle.get(origin) ?? []
    if (lanes.length >= this.#mostIdle) return this.#end(lane)
    lanes.push(lane)
    this.#idle.set(origin, lanes)
  }

  #end (lane: Lane): void {
    if (lane.ended) return
    lane.ended = true
    this.#open.delete(lane)
    lane.client.destroy(new Error('The connection is no longer used.')).catch(() => {})
  }
}

/**
 * Passes everything on and tells when the call is over. The client library takes any answer of a connection that will not
 * be kept for whole when the connection ends, be it by a reset or in the middle of a chunk; here such an answer
 * fails (RFC 9112, section 8): only one without a length may end with its connection, and not by a reset.
 */
class LaneReceiver extends Receiver {
  readonly #receiver: Receiver
  readonly #lane: Lane
  readonly #over: (whole: boolean) => void
  #framed = false

  constructor (receiver: Receiver, lane: Lane, over: (whole: boolean) => void) {
    super()
    this.#receiver = receiver
    this.#lane = lane
    this.#over = over
  }

  head (status: number, headers: AnswerHeaders, flow: Flow): void {
    this.#framed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
    this.#receiver.head(status, headers, flow)
  }

  data (chunk: Buffer): void {
    this.#receiver.data(chunk)
  }

  end (): void {
    const { over } = this.#lane
    if (over === 'reset' || (over === 'closed' && this.#framed)) {
      return this.fail({ error: new Error(`The connection was ${over} before the answer was whole.`), sent: true })
    }
    this.#over(true)
    this.#receiver.end()
  }

  fail (failure: Break): void {
    this.#over(false)
    this.#receiver.fail(failure)
  }
}

/** Notes how a connection ends before the client library hears of it. */
function watched (socket: Socket, lane: Lane): Socket {
  socket.on('error', () => { lane.over = 'reset' })
  socket.on('end', () => { lane.over ??= 'closed' })
  return socket
}

interface Opening {
  readonly host: string
  readonly port: number
  /** How long it may take, in ms. */
  readonly time: number
  readonly opened: (socket: Socket) => void
  readonly failed: (error: Error) => void
}

function open ({ host, port, time, opened, failed }: Opening): void {
  const socket = connect({ host, port, noDelay: true })
  const timer = setTimeout(() => {
    socket.destroy(Object.assign(new Error(`No connection to ${host}:${port} within ${time} ms.`), { code: 'UND_ERR_CONNECT_TIMEOUT' }))
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
