/**
 * One HTTP call to another process, and the receiver of its answer. `send` handles the events of the client library
 * directly, without a stream object per answer. It also decides whether a failed call may have reached the other side.
 * Retries rely on that decision: a call that was reported as not sent is never sent later.
 */
import { type Dispatcher } from 'undici'

/** A request to another process. */
export interface Call {
  /** Scheme, host and port, such as `http://127.0.0.1:8090`. */
  readonly origin: string
  readonly path: string
  readonly method: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | undefined
}

/** Headers of an answer, with names in lower case. A header that occurs more than once has an array of values. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>

/** Flow control of one answer. */
export interface Flow {
  pause (): void
  resume (): void
  /** Closes the connection. */
  abort (reason: Error): void
}

/** The failure of a call that received no complete answer. */
export interface CallFailure {
  readonly error: Error
  /** Whether the request may have reached the other side: whether its connection was established. */
  readonly sent: boolean
}

/**
 * Receives the answer to one call, part by part. Either `end` or `fail` is invoked last, exactly once, and not before the
 * function that sends the call has returned.
 */
export abstract class Receiver {
  /** Whether the request may still be sent. Called when its connection is ready. If not, it fails as not sent. */
  mayBegin (): boolean {
    return true
  }

  /** Called when the request is about to be written. From then on it may reach the other side. */
  begun (): void {}
  abstract head (status: number, headers: AnswerHeaders, flow: Flow): void
  abstract data (chunk: Buffer): void
  abstract end (): void
  abstract fail (failure: CallFailure): void
}

/** The error code that the client library uses when a connection cannot be established in time. */
export const connectTimeoutCode = 'UND_ERR_CONNECT_TIMEOUT'

/** Lower statuses are informational: an answer follows. */
const leastFinalStatus = 200

/**
 * Cancels a call. The receiver's `fail` is called at once, unless the call has ended. A call that still waits for a
 * connection fails as not sent, and it is not sent afterwards.
 */
export type Cancel = (reason: Error) => void

/** The method that asks for a tunnel. Its answer has no end that a receiver could hear of. */
const tunnelMethod = 'CONNECT'

/** Fails a call that cannot be sent, as soon as the function that should send it has returned. */
export function failUnsent (receiver: Receiver, error: Error): Cancel {
  queueMicrotask(() => receiver.fail({ error, sent: false }))
  return () => {}
}

/**
 * Sends a call through `dispatcher` and passes the answer to `receiver`. Never throws, and calls neither `end` nor `fail`
 * before it has returned: their callers use the result in them.
 */
export function send (dispatcher: Dispatcher, call: Call, receiver: Receiver): Cancel {
  if (call.method === tunnelMethod) return failUnsent(receiver, new Error('A tunnel is no call.'))
  let flow: Flow | undefined
  let ended = false
  let returned = false
  const fail = (failure: CallFailure): void => {
    if (ended) return
    ended = true
    if (returned) receiver.fail(failure)
    else queueMicrotask(() => receiver.fail(failure))
  }
  dispatcher.dispatch({ origin: call.origin, path: call.path, method: call.method as Dispatcher.HttpMethod, headers: call.headers, body: call.body }, {
    onRequestStart (controller) {
      if (ended) return controller.abort(new Error('The call was cancelled before it was sent.'))
      if (!receiver.mayBegin()) {
        const error = new Error('The call was withdrawn before it was sent.')
        fail({ error, sent: false })
        return controller.abort(error)
      }
      flow = controller
      receiver.begun()
    },
    onResponseStart (controller, status, headers) {
      if (!ended && status >= leastFinalStatus) receiver.head(status, headers, controller)
    },
    onResponseData (_controller, chunk) {
      if (!ended) receiver.data(chunk)
    },
    onResponseEnd () {
      if (ended) return
      ended = true
      endOrFail(receiver)
    },
    onResponseError (_controller, error) {
      // The error does not tell: TCP reports a lost route with the same codes before and after the request is written.
      fail({ error, sent: flow !== undefined })
    }
  })
  returned = true
  return reason => {
    if (flow === undefined) fail({ error: reason, sent: false })
    else flow.abort(reason)
  }
}

/** Ends a call. A receiver that cannot take the end of its answer hears of a failure: without either it would wait. */
function endOrFail (receiver: Receiver): void {
  try {
    receiver.end()
  } catch (error) {
    receiver.fail({ error: error as Error, sent: true })
  }
}
