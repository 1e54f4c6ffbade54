/**
 * Sends a call and waits for the complete answer, with a deadline. The store, engines and other gateways are called
 * this way. Relies on `Collector` to store the answer.
 */
import { type Clock } from '@eiderwind/clock'
import { type Call, type Cancel } from './call.js'
import { Collector, type Collected } from './collector.js'
import { type Connections } from './connections.js'

/** The error of a call that received no complete answer. */
export class CallError extends Error {
  /** Whether the request may have reached the other side. */
  readonly sent: boolean
  /** Whether the connection was refused: no process listens at the address any more. */
  readonly refused: boolean
  /** Whether no complete answer arrived in time. Its connection may have gone silent. */
  readonly expired: boolean

  constructor (error: Error, sent: boolean, expired = false) {
    super(error.message)
    this.name = 'Unanswered'
    this.sent = sent
    this.expired = expired
    this.refused = !sent && (error as { code?: string }).code === 'ECONNREFUSED'
  }
}

/** Options of one call. */
export interface AskOptions {
  /** Whether to use a new connection in any case. Default: no. */
  readonly fresh?: boolean
  /** Cancels the call when it is aborted. The connection is then closed. */
  readonly signal?: AbortSignal
  /** Maximum length of the answer's body, in bytes. Default: that of `Collector`. */
  readonly maxBytes?: number
}

/**
 * Sends a call and resolves to the complete answer, whatever its status. Rejects with `CallError` if the call fails or
 * no complete answer arrives within `timeout` ms. The connection is then closed.
 */
export function ask (connections: Pick<Connections, 'send'>, clock: Clock, call: Call, timeout: number, { fresh = false, signal, maxBytes }: AskOptions = {}): Promise<Collected> {
  return new Promise((resolve, reject) => {
    let expired = false
    let cancel: Cancel = () => {}
    const stop = (): void => cancel(new Error('The call was cancelled.'))
    const timer = clock.after(timeout, () => {
      expired = true
      cancel(new Error(`No answer within ${timeout} ms.`))
    })
    signal?.addEventListener('abort', stop)
    const finish = (): void => {
      timer.cancel()
      signal?.removeEventListener('abort', stop)
    }
    const collector = new Collector({
      maxBytes,
      whole: answer => {
        finish()
        resolve(answer)
      },
      failed: ({ error, sent }) => {
        finish()
        reject(new CallError(error, sent, expired))
      }
    })
    cancel = connections.send(call, collector, fresh)
    // A signal that is aborted already has no event.
    if (signal?.aborted === true) stop()
  })
}
