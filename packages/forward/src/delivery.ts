/**
 * Sends an answer to its caller no faster than the caller reads, and buffers the rest. This module owns the buffered
 * bytes and the end of the response, also after the request itself has ended. `Deliveries` closes the connections of
 * callers that read nothing for too long. `backlog.ts` decides how much is buffered and for how long.
 */
import { type ServerResponse } from 'node:http'
import { TurnQueue, type Clock, type Subscription } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { breakOff } from '@eiderwind/wire'
import { Backlog, type BacklogBounds } from './backlog.js'

/** Maximum size of a write to a connection, in bytes. It is also the resolution at which a caller's reading is seen. */
const maxPieceBytes = 16 * 1024

/** Time between two checks for callers that do not read, in ms. */
const checkIntervalMs = 250

/**
 * Callers that are closed, or whose upstreams are resumed, in one turn of the event loop. Each costs up to half a
 * millisecond of processor time, since an upstream that is resumed delivers 64 KiB at once.
 */
const maxCallersPerTurn = 10

/**
 * Time between two checks above which this process counts as paused, in ms. What callers read during a pause has not
 * been seen yet.
 */
const maxCheckIntervalMs = 1000

/** Dependencies of `Deliveries`. */
export interface DeliveriesOptions {
  readonly clock: Clock
  readonly log: Log
  readonly bounds: BacklogBounds
}

/** All answers that callers have not read completely. */
export class Deliveries {
  readonly #options: DeliveriesOptions
  readonly #backlog: Backlog<Delivery>
  readonly #turns: TurnQueue
  #timer: Subscription | undefined
  #checkedAt = 0
  #closed = 0
  #resumed = 0

  constructor (options: DeliveriesOptions) {
    this.#options = options
    this.#backlog = new Backlog(options.bounds)
    this.#turns = new TurnQueue(options.clock, maxCallersPerTurn)
  }

  /** Number of callers with buffered bytes. */
  get waiting (): number {
    return this.#backlog.callers.length
  }

  /** Bytes that are buffered for all callers. */
  get bytes (): number {
    return this.#backlog.total
  }

  /** Number of callers whose connections were closed because they did not read. */
  get closed (): number {
    return this.#closed
  }

  /** Number of times that reading from an upstream was resumed. */
  get resumed (): number {
    return this.#resumed
  }

  /**
   * Opens the delivery of one answer.
   * @param id id of the request
   * @param onClose called before the connection is closed for lack of progress
   */
  open (response: ServerResponse, id: string, onClose: () => void): Delivery {
    return new Delivery({ clock: this.#options.clock, backlog: this.#backlog, response, id, onClose, onUnread: () => this.#startChecks(), turns: this.#turns, onResumed: () => { this.#resumed++ } })
  }

  #startChecks (): void {
    if (this.#timer !== undefined) return
    this.#checkedAt = this.#options.clock.now()
    this.#timer = this.#options.clock.every(checkIntervalMs, () => this.#check())
  }

  #check (): void {
    const { clock, log } = this.#options
    const now = clock.now()
    const wasPaused = now - this.#checkedAt > maxCheckIntervalMs
    this.#checkedAt = now
    for (const each of this.#backlog.callers) if (wasPaused || !each.canRead) this.#backlog.restartIdleTime(each, now)
    for (const { caller, bytes, idle } of this.#backlog.overdue(now)) {
      this.#turns.run(() => {
        // It may have read, or disconnected, since the check.
        if (this.#backlog.idleTime(caller, clock.now()) < idle) return
        this.#closed++
        log.write('caller-stalled', { request: caller.id, bytes, idle: Math.round(idle), kept: this.#backlog.total, answered: caller.ended })
        caller.close()
      })
    }
    for (const each of this.#backlog.callers) each.resumeUpstream()
    if (this.#backlog.callers.length > 0) return
    this.#timer?.cancel()
    this.#timer = undefined
  }
}

/** Dependencies of `Delivery`. */
interface DeliveryOptions {
  readonly clock: Clock
  readonly backlog: Backlog<Delivery>
  readonly response: ServerResponse
  readonly id: string
  readonly onClose: () => void
  /** Called when bytes are counted as unread. */
  readonly onUnread: () => void
  /** Bounds how many upstreams are resumed in one turn of the event loop. */
  readonly turns: TurnQueue
  /** Called when reading from the upstream is resumed. */
  readonly onResumed: () => void
}

/** The delivery of one answer. */
export class Delivery {
  readonly #options: DeliveryOptions
  /** Bytes that were not written to the connection yet. */
  #pieces: Buffer[] = []
  /** Bytes that were written to the connection and have not drained from it yet. */
  #inConnection = 0
  #ending: 'end' | 'cut' | undefined
  #isListening = false
  #onResume: (() => void) | undefined
  /** Whether a resumption awaits its turn. */
  #isResuming = false

  constructor (options: DeliveryOptions) {
    this.#options = options
  }

  /** Id of the request. */
  get id (): string {
    return this.#options.id
  }

  /** Whether the whole answer has arrived. */
  get ended (): boolean {
    return this.#ending === 'end'
  }

  /**
   * Whether the caller can read this answer. It can't before the answers to its earlier requests on the same connection
   * are sent.
   */
  get canRead (): boolean {
    return this.#options.response.socket !== null
  }

  /** Sends bytes, or buffers them until the caller has read the bytes before them. */
  write (bytes: Buffer): void {
    if (bytes.length <= maxPieceBytes) return this.#writeOrQueue(bytes)
    // A copy, since a view would keep all of the bytes in memory until the last piece is sent.
    for (let at = 0; at < bytes.length; at += maxPieceBytes) this.#writeOrQueue(Buffer.from(bytes.subarray(at, at + maxPieceBytes)))
  }

  /** Ends the answer after the buffered bytes are sent. @param last the last bytes of the answer */
  end (last?: Buffer): void {
    const { response } = this.#options
    this.#ending = 'end'
    if (this.#isBlocked || (last !== undefined && last.length > maxPieceBytes)) {
      if (last !== undefined) this.write(last)
      return this.#endOnceSent()
    }
    response.end(last)
    this.#countRemaining()
  }

  /**
   * Closes the connection after the buffered bytes are sent. The answer can't be completed and must not look complete.
   */
  cut (): void {
    this.#ending = 'cut'
    this.#endOnceSent()
  }

  /** Closes the connection at once. */
  close (): void {
    const { response, onClose } = this.#options
    this.#discard()
    onClose()
    // A reset also frees the bytes that the operating system still holds for this connection.
    if (response.socket === null) response.destroy()
    else response.socket.resetAndDestroy()
  }

  /** Whether to stop reading the answer from its upstream until `onResume` is called. */
  isFull (onResume: () => void): boolean {
    const { backlog } = this.#options
    if (!backlog.isFull(this)) return false
    this.#onResume = onResume
    return true
  }

  /** Resumes reading from the upstream if the backlog permits it again. */
  resumeUpstream (): void {
    if (this.#isResuming || !this.#mayResume) return
    this.#isResuming = true
    this.#options.turns.run(() => this.#resume())
  }

  get #mayResume (): boolean {
    return this.#onResume !== undefined && this.#options.backlog.mayResume(this)
  }

  /** The upstreams that were resumed in earlier turns may have filled the backlog. */
  #resume (): void {
    this.#isResuming = false
    if (!this.#mayResume) return
    const onResume = this.#onResume
    this.#onResume = undefined
    this.#options.onResumed()
    onResume?.()
  }

  get #isBlocked (): boolean {
    return this.#pieces.length > 0 || this.#options.response.writableNeedDrain
  }

  #writeOrQueue (piece: Buffer): void {
    if (this.#options.response.destroyed) return
    if (this.#isBlocked) {
      this.#pieces.push(piece)
      this.#countUnread(piece.length)
    } else if (!this.#options.response.write(piece)) {
      this.#inConnection = piece.length
      this.#countUnread(piece.length)
    }
  }

  #countUnread (bytes: number): void {
    const { clock, backlog, response, onUnread } = this.#options
    backlog.add(this, bytes, clock.now())
    onUnread()
    if (this.#isListening) return
    this.#isListening = true
    response.on('drain', () => this.#drained())
    response.once('finish', () => this.#discard())
    response.once('close', () => this.#discard())
  }

  #discard (): void {
    this.#pieces = []
    this.#options.backlog.remove(this)
  }

  #drained (): void {
    const { clock, backlog, response } = this.#options
    backlog.read(this, this.#inConnection, clock.now())
    this.#inConnection = 0
    while (this.#pieces.length > 0 && !response.writableNeedDrain) this.#writePiece(this.#pieces.shift() as Buffer)
    this.resumeUpstream()
    if (this.#ending !== undefined) this.#endOnceSent()
  }

  #writePiece (piece: Buffer): void {
    const { clock, backlog, response } = this.#options
    if (response.write(piece)) backlog.read(this, piece.length, clock.now())
    else this.#inConnection = piece.length
  }

  #endOnceSent (): void {
    const { response } = this.#options
    if (this.#isBlocked) return
    if (this.#ending === 'cut') {
      breakOff(response)
      return
    }
    response.end()
    this.#countRemaining()
  }

  /** Counts the bytes that are still in the connection at the end of the answer. */
  #countRemaining (): void {
    const { response } = this.#options
    if (!response.writableFinished && response.writableLength > 0) this.#countUnread(response.writableLength)
  }
}
