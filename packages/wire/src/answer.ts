/**
 * Sends faults to callers, and breaks off answers. A caller receives the complete fault. If another answer has already
 * begun, its connection is closed or reset, so that the caller cannot mistake its first part for a complete answer.
 */
import { type ServerResponse } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { type Fault } from '@eiderwind/fault'
import { callerHeaders } from './headers.js'

/** Maximum time for which the rest of a refused body is read, in ms. */
const lingerTime = 1000

/** Answers with a fault. Closes the connection instead if an answer has begun, so that it cannot appear complete. */
export function answerFault (response: ServerResponse, fault: Fault): void {
  if (response.headersSent) return breakOff(response)
  writeFault(response, fault)
  response.end()
}

/**
 * Breaks off an answer that has begun. A caller takes an answer without length and chunks for complete when its
 * connection is closed in order, so that connection is reset.
 */
export function breakOff (response: ServerResponse): void {
  const { socket } = response
  if (response.useChunkedEncodingByDefault || socket === null) response.destroy()
  else socket.resetAndDestroy()
}

/**
 * Answers a request with a fault when its body may not have been read. The complete answer is sent at once. The rest of
 * the body is then read and dropped for `lingerTime`, and the connection is closed. It is closed because the rest of
 * the body must not be parsed as another request. It is read first because closing with unread data resets the
 * connection, and the caller may then lose the answer (RFC 9112, section 9.6).
 */
export function refuse (response: ServerResponse, fault: Fault, clock: Clock): void {
  const request = response.req
  if (response.headersSent || request.complete) return answerFault(response, fault)
  response.setHeader('connection', 'close')
  writeFault(response, fault)
  const finish = (): void => {
    timer.cancel()
    response.end()
  }
  const timer = clock.after(lingerTime, finish)
  request.once('end', finish)
  request.once('close', finish)
  request.resume()
}

function writeFault (response: ServerResponse, fault: Fault): void {
  const body = JSON.stringify({ error: fault.body })
  response.statusCode = fault.status
  response.setHeader('content-type', 'application/json')
  response.setHeader('content-length', Buffer.byteLength(body))
  response.setHeader(callerHeaders.outcome, fault.outcome)
  if (fault.retryAfter !== undefined) response.setHeader('retry-after', fault.retryAfter)
  response.write(body)
}
