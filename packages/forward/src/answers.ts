/**
 * How answers of upstreams are read and passed on: whose they are, whether the request ran, and how their end is
 * marked (framing). Keeps no state. An answer never gets a framing that claims more than the upstream's own did.
 */
import { type ServerResponse } from 'node:http'
import { type Answered } from '@eiderwind/dispatch'
import { endToEnd, type AnswerHeaders } from '@eiderwind/wire'
import { type HeaderNames } from './names.js'
import { type CallerRequest } from './request.js'

/** One header of an answer; the first value if it came more than once. */
export function answerHeader (headers: AnswerHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Whether an answer carries the id of the request, and so was made for it. */
export function belongs (headers: AnswerHeaders, id: string, names: HeaderNames): boolean {
  return answerHeader(headers, names.request) === id
}

/** Status of an upstream that the request was not meant for (RFC 9110, section 15.5.20). */
const misdirected = 421

/** Whether an upstream says that it did not and will not run the request. */
export function saysNotRun (status: number, headers: AnswerHeaders, names: HeaderNames): boolean {
  return status === misdirected || answerHeader(headers, names.notRun) !== undefined
}

/** Whether an answer marks its own end, by a length or by chunks. */
export function isFramed (headers: AnswerHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/**
 * Makes a response end with its connection, as the upstream's answer does. Such an answer may have been cut short, so the
 * response must not get a length or chunks by which it would seem complete.
 */
export function endWithConnection (response: ServerResponse): void {
  response.shouldKeepAlive = false
  response.useChunkedEncodingByDefault = false
}

/** Sends a collected answer to the caller, framed as it came. */
export function sendAnswer (request: CallerRequest, { status, headers, body }: Answered): void {
  const { incoming, response, delivery } = request
  const framed = isFramed(headers)
  if (!framed) endWithConnection(response)
  const length = framed ? { 'content-length': String(body.length) } : {}
  request.passOn()
  response.writeHead(status, { ...endToEnd(headers), ...length })
  delivery.end(incoming.method === 'HEAD' ? undefined : body)
  request.finish(`answered ${status}`)
}
