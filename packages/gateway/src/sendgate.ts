/**
 * Holds requests for a moment while this gateway has just resumed after a pause and its list of upstreams is old: what
 * changed meanwhile is learned first. A gateway that learns nothing in that time serves by the list that it has, so no
 * request is refused because of it.
 * Owns the requests that wait. Relies on `Pauses` for the end of the last pause and on the board for the list's age.
 */
import { type Clock } from '@eiderwind/clock'
import { type Pauses } from '@eiderwind/detect'
import { type GatewayBoard } from './facts.js'
import { type UpstreamList } from './upstreamlist.js'

/** Dependencies of `SendGate`. Times are in ms. */
export interface SendGateOptions {
  readonly clock: Clock
  readonly board: GatewayBoard
  readonly pauses: Pick<Pauses, 'resumedAt'>
  readonly upstreamList: UpstreamList
  /** Age of the list above which requests are held after a pause. */
  readonly maxSendAge: number
  /** How long they are held at most, from the end of the pause. */
  readonly maxHold: number
  /** Called when requests begin to wait, to learn of changes at once. */
  readonly refresh: () => void
}

/** Decides whether requests may be sent by the list of upstreams that is known. */
export class SendGate {
  readonly #options: SendGateOptions
  /** Resolves when the held requests may be sent. Undefined while none is held. */
  #opened: Promise<void> | undefined

  constructor (options: SendGateOptions) {
    this.#options = options
  }

  /** Whether requests are held now. */
  get isClosed (): boolean {
    return this.#timeLeft > 0
  }

  /** Resolves when requests may be sent. Undefined if they may be sent now. */
  get opened (): Promise<void> | undefined {
    if (!this.isClosed) return undefined
    this.#opened ??= this.#open()
    return this.#opened
  }

  /** For how much longer requests are held if the list stays as it is, in ms; 0 or less if they are not held. */
  get #timeLeft (): number {
    const { clock, pauses, upstreamList, maxSendAge, maxHold } = this.#options
    if (upstreamList.age <= maxSendAge) return 0
    return pauses.resumedAt + maxHold - clock.now()
  }

  async #open (): Promise<void> {
    const { board, refresh } = this.#options
    refresh()
    while (this.isClosed) await this.#changed(board)
    this.#opened = undefined
  }

  /** Resolves when the list has become more recent, or when the time to hold requests has passed. */
  async #changed (board: GatewayBoard): Promise<void> {
    await new Promise<void>(resolve => {
      const end = (): void => {
        timer.cancel()
        unlisten()
        resolve()
      }
      const unlisten = board.listen('upstreamsAt', end)
      const timer = this.#options.clock.after(this.#timeLeft, end)
    })
  }
}
