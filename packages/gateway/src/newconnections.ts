/**
 * Closes new connections of callers unread while this gateway is overloaded, so that their callers can go to another
 * gateway at once. `StandingQueue` decides when that is the case, by the wait of connections that this module sends to
 * its own server. Open connections are served as before. Relies on the HTTP server, which drops connections above its
 * `maxConnections` before it reads from them.
 */
import { connect, type AddressInfo, type Server, type Socket } from 'node:net'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { StandingQueue, type Pauses } from '@eiderwind/detect'
import { type Log } from '@eiderwind/log'

/** Dependencies of `NewConnections`. */
export interface NewConnectionsOptions {
  readonly clock: Clock
  readonly log: Log
  readonly server: Server
  /** The pauses of this process. */
  readonly pauses: Pauses
  /** How long connections of a burst may wait to be accepted, in ms. Undefined: for any time. */
  readonly maxWait: number | undefined
  /** Called for each connection that is closed unread. */
  readonly closed: () => void
}

/** A connection to the own server that was not accepted yet. */
interface Probe {
  readonly socket: Socket
  /** When it was sent, and the sum of all pauses of this process before, in ms. */
  readonly sentAt: number
  readonly pausedBefore: number
}

/** How long a probe has waited, and for how much of that this process was paused, in ms. */
interface ProbeWait {
  readonly wait: number
  readonly paused: number
}

const noWait: ProbeWait = { wait: 0, paused: 0 }

/** Time between two log lines about closed connections, in ms. */
const logInterval = 1000

/** Limits the new connections of a server. */
export class NewConnections {
  readonly #options: NewConnectionsOptions
  readonly #queue: StandingQueue
  /** The probes that were not accepted yet, the oldest first. */
  readonly #probes: Probe[] = []
  /** Remote ports of the connections that were accepted before the own port of each probe was known. */
  readonly #acceptedPorts = new Set<number>()
  /** Whether a connection was accepted in this turn of the event loop. */
  #hasArrived = false
  #isObserving = false
  #open = 0
  /** Connections closed unread since the last log line, and the longest wait of a probe meanwhile. */
  #closed = 0
  #longestWait = noWait
  #timer: Subscription | undefined

  constructor (options: NewConnectionsOptions) {
    const { server, maxWait = Infinity } = options
    this.#options = options
    this.#queue = new StandingQueue(maxWait)
    server.on('connection', socket => {
      this.#open++
      socket.once('close', () => { this.#open-- })
      this.#accepted(socket.remotePort)
    })
    server.on('drop', connection => {
      if (this.#accepted(connection?.remotePort)) return
      this.#recordClosed()
      options.closed()
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
    for (const { socket } of this.#probes) socket.destroy()
  }

  /** Records an accepted or dropped connection. Returns whether it is a probe. */
  #accepted (port: number | undefined): boolean {
    const probe = this.#probes.find(({ socket: { localPort } }) => localPort !== undefined && localPort === port)
    if (probe !== undefined) this.#endProbe(probe)
    else if (port !== undefined && this.#isConnecting) this.#acceptedPorts.add(port)
    this.#hasArrived = true
    if (!this.#isObserving) {
      this.#isObserving = true
      setImmediate(() => this.#observe())
    }
    return probe !== undefined
  }

  /** Whether a probe has no port yet. */
  get #isConnecting (): boolean {
    return this.#probes.some(({ socket }) => socket.connecting)
  }

  #recordClosed (): void {
    this.#closed++
    const [oldest] = this.#probes
    if (oldest === undefined) return
    const { clock, pauses } = this.#options
    const wait = clock.now() - oldest.sentAt
    if (wait > this.#longestWait.wait) this.#longestWait = { wait, paused: pauses.total - oldest.pausedBefore }
  }

  /**
   * Runs at the end of each turn until one has brought no connection. The runtime accepts one connection per turn, so
   * such a turn shows that none waits.
   */
  #observe (): void {
    const { server, clock, pauses, maxWait } = this.#options
    const { resumedAt } = pauses
    const now = clock.now()
    const isEmpty = !this.#hasArrived
    this.#queue.observe(isEmpty, now, resumedAt)
    // A server with one open connection or more then drops each new one.
    server.maxConnections = this.#queue.isOverloaded ? 1 : Infinity
    this.#isObserving = this.#hasArrived
    this.#hasArrived = false
    if (isEmpty) return this.#endProbes()
    if (maxWait !== undefined && this.#queue.wantsProbe(now)) this.#probe(now)
    setImmediate(() => this.#observe())
  }

  /** Sends a connection to the end of the queue. */
  #probe (now: number): void {
    const { server, pauses } = this.#options
    const address = server.address() as AddressInfo | null
    if (address === null) return
    const socket = connect(address.port, address.address)
    const probe = { socket, sentAt: now, pausedBefore: pauses.total }
    this.#queue.probe(now)
    this.#probes.push(probe)
    socket.once('connect', () => {
      if (this.#acceptedPorts.has(socket.localPort ?? 0)) this.#endProbe(probe)
      if (!this.#isConnecting) this.#acceptedPorts.clear()
    })
    // A probe that fails is no longer in the queue.
    socket.on('error', () => this.#endProbe(probe))
  }

  #endProbe (probe: Probe): void {
    const index = this.#probes.indexOf(probe)
    if (index < 0) return
    this.#probes.splice(index, 1)
    this.#queue.probeAccepted()
    probe.socket.destroy()
  }

  /** Ends all probes once the queue is empty. */
  #endProbes (): void {
    for (const { socket } of this.#probes.splice(0)) socket.destroy()
    this.#acceptedPorts.clear()
  }

  #report (): void {
    if (this.#closed === 0) return
    const { wait, paused } = this.#longestWait
    this.#options.log.write('connections-closed', { closed: this.#closed, open: this.#open, wait: Math.round(wait), paused: Math.round(paused) })
    this.#closed = 0
    this.#longestWait = noWait
  }
}
