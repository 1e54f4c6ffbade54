/** Answers with a fault, such that the caller gets the whole answer and never takes part of another one as whole. */
import { type ServerResponse } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { type Fault } from '@eiderwind/fault'
import { callerHeaders } from './headers.js'

/** Longest time that the rest of a refused body is read, in ms. */
const lingerTime = 1000

/** Answers with a fault. Where an answer has begun, closes the connection instead, so that the answer cannot look whole. */
export function answerFault (response: ServerResponse, fault: Fault): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  writeFault(response, fault)
  response.end()
}

/**
 * Answers a request whose body may not have been read with a fault. The whole answer is sent at once. Then the rest of the
 * body is read and dropped for a while, and the connection is closed: the rest must not be taken as a request, and
 * closing with unread data would reset the connection, by which the caller may lose the answer (RFC 9112, section 9.6).
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
