/**
 * Closes new connections of callers unread while this gateway is overloaded, so that their callers can go to another
 * gateway at once. `StandingQueue` decides when that is the case. Open connections are served as before. Relies on the
 * HTTP server, which drops connections above its `maxConnections` before it reads from them.
 */
import { type Server } from 'node:net'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { StandingQueue } from '@eiderwind/detect'
import { type Log } from '@eiderwind/log'

/** Dependencies of `NewConnections`. */
export interface NewConnectionsOptions {
  readonly clock: Clock
  readonly log: Log
  readonly server: Server
  /** How long connections may queue without a break, in ms. Undefined: for any time. */
  readonly maxWait: number | undefined
  /** Called for each connection that is closed unread. */
  readonly closed: () => void
}

/** Time between two log lines about closed connections, in ms. */
const logInterval = 1000

/** Limits the new connections of a server. */
export class NewConnections {
  readonly #options: NewConnectionsOptions
  readonly #queue: StandingQueue
  /** Whether a connection was accepted in this turn of the event loop. */
  #hasArrived = false
  #isObserving = false
  #open = 0
  /** Connections closed unread since the last log line. */
  #closed = 0
  #timer: Subscription | undefined

  constructor (options: NewConnectionsOptions) {
    const { server, maxWait = Infinity } = options
    this.#options = options
    this.#queue = new StandingQueue(maxWait)
    server.on('connection', socket => {
      this.#open++
      socket.once('close', () => { this.#open-- })
      this.#arrived()
    })
    server.on('drop', () => {
      this.#closed++
      options.closed()
      this.#arrived()
    })
  }

  /** Number of open connections. */
  get open (): number {
    return this.#open
  }

  start (): void {
    this.#timer = this.#options.clock.every(logInterval, () => this.#report())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #arrived (): void {
    this.#hasArrived = true
    if (this.#isObserving) return
    this.#isObserving = true
    setImmediate(() => this.#observe())
  }

  /**
   * Runs at the end of each turn until one has brought no connection. The runtime accepts one connection per turn, so
   * such a turn shows that none waits.
   */
  #observe (): void {
    const { server, clock } = this.#options
    this.#queue.observe(!this.#hasArrived, clock.now())
    // A server with one open connection or more then drops each new one.
    server.maxConnections = this.#queue.isOverloaded ? 1 : Infinity
    this.#isObserving = this.#hasArrived
    this.#hasArrived = false
    if (this.#isObserving) setImmediate(() => this.#observe())
  }

  #report (): void {
    if (this.#closed === 0) return
    this.#options.log.write('connections-closed', { closed: this.#closed, open: this.#open })
    this.#closed = 0
  }
}
