/**
 * Sends an answer to its caller no faster than the caller reads, and keeps what it has not read yet. Owns those bytes and the end of the response, also after the request
 * itself has ended. `Deliveries` closes the connections of callers that read nothing for too long; how much and how long is decided in `backlog.ts`.
 */
import { type ServerResponse } from 'node:http'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { Backlog, type BacklogBounds } from './backlog.js'

/** Bytes that are handed to a connection at a time: what a caller reads shows no finer than this. */
const pieceSize = 16 * 1024

/** Time between two looks for callers that do not read, in ms. */
const checkInterval = 250

/** Time between two looks after which this process did not run in between, in ms: what callers have read meanwhile is not seen yet. */
const longestInterval = 1000

/** Dependencies of `Deliveries`. */
export interface DeliveriesOptions {
  readonly clock: Clock
  readonly log: Log
  readonly bounds: BacklogBounds
}

/** All answers that callers have not read to their end. */
export class Deliveries {
  readonly #options: DeliveriesOptions
  readonly #backlog: Backlog<Delivery>
  #timer: Subscription | undefined
  #checkedAt = 0
  #closed = 0

  constructor (options: DeliveriesOptions) {
    this.#options = options
    this.#backlog = new Backlog(options.bounds)
  }

  /** Callers for whom a part of an answer is kept. */
  get waiting (): number {
    return this.#backlog.callers.length
  }

  /** Bytes that are kept for them. */
  get bytes (): number {
    return this.#backlog.total
  }

  /** Callers whose connections were closed since they did not read. */
  get closed (): number {
    return this.#closed
  }

  /**
   * The delivery of one answer.
   * @param id of its request @param onClose called before its connection is closed for lack of progress
   */
  open (response: ServerResponse, id: string, onClose: () => void): Delivery {
    return new Delivery({ clock: this.#options.clock, backlog: this.#backlog, response, id, onClose, onKept: () => this.#watch() })
  }

  #watch (): void {
    if (this.#timer !== undefined) return
    this.#checkedAt = this.#options.clock.now()
    this.#timer = this.#options.clock.every(checkInterval, () => this.#check())
  }

  #check (): void {
    const { clock, log } = this.#options
    const now = clock.now()
    const wasPaused = now - this.#checkedAt > longestInterval
    this.#checkedAt = now
    for (const each of this.#backlog.callers) if (wasPaused || !each.mayRead) this.#backlog.excuse(each, now)
    for (const { caller, bytes, idle } of this.#backlog.overdue(now)) {
      this.#closed++
      log.write('caller-stalled', { request: caller.id, bytes, idle: Math.round(idle), kept: this.#backlog.total, answered: caller.ended })
      caller.close()
    }
    for (const each of this.#backlog.callers) each.relieve()
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
  /** Called when something is kept. */
  readonly onKept: () => void
}

/** The delivery of one answer. */
export class Delivery {
  readonly #options: DeliveryOptions
  /** Bytes that are not handed to the connection yet. */
  #pieces: Buffer[] = []
  /** Bytes that were handed to the connection, which has not passed them on. */
  #handed = 0
  #ending: 'end' | 'cut' | undefined
  #watched = false
  #onRelief: (() => void) | undefined

  constructor (options: DeliveryOptions) {
    this.#options = options
  }

  /** Id of the request. */
  get id (): string {
    return this.#options.id
  }

  /** Whether all of the answer is here. */
  get ended (): boolean {
    return this.#ending === 'end'
  }

  /** Whether the caller can read: not before the answers to the requests that it sent earlier on the same connection. */
  get mayRead (): boolean {
    return this.#options.response.socket !== null
  }

  /** Sends bytes, or keeps them until the caller has read what was sent before. */
  write (bytes: Buffer): void {
    if (bytes.length <= pieceSize) return this.#take(bytes)
    // Copies: a view would keep all of the bytes in memory for the sake of the last of them.
    for (let at = 0; at < bytes.length; at += pieceSize) this.#take(Buffer.from(bytes.subarray(at, at + pieceSize)))
  }

  /** Ends the answer once the caller has got what is kept. @param last its last bytes */
  end (last?: Buffer): void {
    const { response } = this.#options
    this.#ending = 'end'
    if (this.#isBlocked || (last !== undefined && last.length > pieceSize)) {
      if (last !== undefined) this.write(last)
      return this.#endOnceSent()
    }
    response.end(last)
    this.#keepRest()
  }

  /** Closes the connection once the caller has got what is kept: the answer can't be completed, and must not seem so. */
  cut (): void {
    this.#ending = 'cut'
    this.#endOnceSent()
  }

  /** Closes the connection at once. */
  close (): void {
    const { response, onClose } = this.#options
    this.#forget()
    onClose()
    // A reset: what the system still holds for this connection is freed as well.
    if (response.socket === null) response.destroy()
    else response.socket.resetAndDestroy()
  }

  /** Whether no more of the answer should be read from its upstream, until `onRelief` is called. */
  isFull (onRelief: () => void): boolean {
    const { backlog } = this.#options
    if (!backlog.isFull(this)) return false
    this.#onRelief = onRelief
    return true
  }

  /** Has the upstream read on where there is room again. */
  relieve (): void {
    const onRelief = this.#onRelief
    if (onRelief === undefined || !this.#options.backlog.isRelieved(this)) return
    this.#onRelief = undefined
    onRelief()
  }

  get #isBlocked (): boolean {
    return this.#pieces.length > 0 || this.#options.response.writableNeedDrain
  }

  #take (piece: Buffer): void {
    if (this.#options.response.destroyed) return
    if (this.#isBlocked) {
      this.#pieces.push(piece)
      this.#keep(piece.length)
    } else if (!this.#options.response.write(piece)) {
      this.#handed = piece.length
      this.#keep(piece.length)
    }
  }

  #keep (bytes: number): void {
    const { clock, backlog, response, onKept } = this.#options
    backlog.add(this, bytes, clock.now())
    onKept()
    if (this.#watched) return
    this.#watched = true
    response.on('drain', () => this.#drained())
    response.once('finish', () => this.#forget())
    response.once('close', () => this.#forget())
  }

  #forget (): void {
    this.#pieces = []
    this.#options.backlog.remove(this)
  }

  #drained (): void {
    const { clock, backlog, response } = this.#options
    backlog.read(this, this.#handed, clock.now())
    this.#handed = 0
    while (this.#pieces.length > 0 && !response.writableNeedDrain) this.#hand(this.#pieces.shift() as Buffer)
    this.relieve()
    if (this.#ending !== undefined) this.#endOnceSent()
  }

  #hand (piece: Buffer): void {
    const { clock, backlog, response } = this.#options
    if (response.write(piece)) backlog.read(this, piece.length, clock.now())
    else this.#handed = piece.length
  }

  #endOnceSent (): void {
    const { response } = this.#options
    if (this.#isBlocked) return
    if (this.#ending === 'cut') {
      response.destroy()
      return
    }
    response.end()
    this.#keepRest()
  }

  /** Counts what the connection has not passed on at the end of the answer. */
  #keepRest (): void {
    const { response } = this.#options
    if (!response.writableFinished && response.writableLength > 0) this.#keep(response.writableLength)
  }
}
