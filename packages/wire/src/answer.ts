import { type ServerResponse } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { type Fault } from '@eiderwind/fault'
import { callerHeaders } from './headers.js'

/** How long the rest of a refused body is read for at the most, in ms. */
const lingerTime = 1000

/** Answers a request with a fault. Where an answer has begun, the connection is cut, so that it cannot pass for whole. */
export function answerFault (response: ServerResponse, fault: Fault): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  writeFault(response, fault)
  response.end()
}

/**
 * Answers with a fault a request whose body may not have been read. The whole answer goes out at once, and the
 * connection is closed so that the rest of the body is not taken for a request; but first that rest is read and
 * dropped for a while, because closing over unread data resets the connection, and the caller may then lose the answer
 * (RFC 9112, section 9.6).
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
