import { type Dispatcher } from 'undici'

/** An HTTP request to another process. */
export interface Call {
  /** Such as `http://127.0.0.1:8090`. */
  readonly origin: string
  readonly path: string
  readonly method: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | undefined
}

/** The headers of an answer, as undici gives them. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>

/** Controls the flow of one answer. */
export interface Flow {
  pause (): void
  resume (): void
  /** Cuts the connection. */
  abort (reason: Error): void
}

/** Why a call ended without a whole answer. */
export interface Break {
  readonly error: Error
  /** Whether the request may have reached the other side. */
  readonly sent: boolean
}

/** Takes the answer to one call, part by part. Exactly one of `end` and `fail` comes last. */
export abstract class Receiver {
  abstract head (status: number, headers: AnswerHeaders, flow: Flow): void
  abstract data (chunk: Buffer): void
  abstract end (): void
  abstract fail (failure: Break): void
}

/** Errors after which a request was certainly never sent. */
const unsent = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND'])

/**
 * Cancels a call under way. Its receiver is told of a failure at once, unless the call has ended. A call that still
 * waits for a connection is never sent afterwards, so the failure says so.
 */
export type Cancel = (reason: Error) => void

/** Sends a call through `dispatcher` and hands the answer to `receiver`. Works on undici's own events, without a stream for each answer. */
export function send (dispatcher: Dispatcher, call: Call, receiver: Receiver): Cancel {
  let flow: Flow | undefined
  let over = false
  const fail = (failure: Break): void => {
    if (over) return
    over = true
    receiver.fail(failure)
  }
  dispatcher.dispatch({ origin: call.origin, path: call.path, method: call.method as Dispatcher.HttpMethod, headers: call.headers, body: call.body }, {
    onRequestStart (controller) {
      if (over) return controller.abort(new Error('The call was cancelled before it was sent.'))
      flow = controller
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
      fail({ error, sent: flow !== undefined && !unsent.has(code) })
    }
  })
  return reason => {
    if (flow === undefined) fail({ error: reason, sent: false })
    else flow.abort(reason)
  }
}
