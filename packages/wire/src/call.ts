/**
 * One HTTP call to another process, and the receiver of its answer. `send` works on the client library's own events, without
 * a stream object for each answer, and decides whether a failed call may have reached the other side. That decision
 * is what retries rest on: a call that is reported as not sent is never sent.
 */
import { type Dispatcher } from 'undici'

/** A request to another process. */
export interface Call {
  /** Such as `http://127.0.0.1:8090`. */
  readonly origin: string
  readonly path: string
  readonly method: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | undefined
}

/** Headers of an answer, in lower case; several values where a header came more than once. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>

/** Flow control of one answer. */
export interface Flow {
  pause (): void
  resume (): void
  /** Closes the connection. */
  abort (reason: Error): void
}

/** The end of a call that got no whole answer. */
export interface CallFailure {
  readonly error: Error
  /** Whether the request may have reached the other side. */
  readonly sent: boolean
}

/** Receives the answer to one call, part by part. Exactly one of `end` and `fail` is called, last. */
export abstract class Receiver {
  /** The request is being written: from now on it may reach the other side. */
  begun (): void {}
  abstract head (status: number, headers: AnswerHeaders, flow: Flow): void
  abstract data (chunk: Buffer): void
  abstract end (): void
  abstract fail (failure: CallFailure): void
}

/** The client library's code of a connection that took too long. */
export const connectTimeoutCode = 'UND_ERR_CONNECT_TIMEOUT'

/** Error codes after which a request was certainly not sent: there was no connection. */
const unsentCodes = new Set(['ECONNREFUSED', connectTimeoutCode, 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND'])

/**
 * Cancels a call. Its receiver fails at once, unless the call has ended. A call that still waits for a connection fails
 * as not sent, and is not sent afterwards.
 */
export type Cancel = (reason: Error) => void

/** Sends a call through `dispatcher` and hands the answer to `receiver`. */
export function send (dispatcher: Dispatcher, call: Call, receiver: Receiver): Cancel {
  let flow: Flow | undefined
  let over = false
  const fail = (failure: CallFailure): void => {
    if (over) return
    over = true
    receiver.fail(failure)
  }
  dispatcher.dispatch({ origin: call.origin, path: call.path, method: call.method as Dispatcher.HttpMethod, headers: call.headers, body: call.body }, {
    onRequestStart (controller) {
      if (over) return controller.abort(new Error('The call was cancelled before it was sent.'))
      flow = controller
      receiver.begun()
    },
    onResponseStart (controller, status, headers) {
      if (!over) receiver.head(status, headers, controller)
    },
    onResponseData (_controller, chunk) {
      if (!over) receiver.data(chunk)
    },
    onResponseEnd () {
      if (over) return
      over = true
      receiver.end()
    },
    onResponseError (_controller, error) {
      const code = (error as { code?: string }).code ?? ''
      fail({ error, sent: flow !== undefined && !unsentCodes.has(code) })
    }
  })
  return reason => {
    if (flow === undefined) fail({ error: reason, sent: false })
    else flow.abort(reason)
  }
}
