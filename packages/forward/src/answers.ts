/**
 * Interprets and forwards the answers of upstreams: which request they belong to, whether that request ran, and how the
 * end of the answer is marked (framing). Keeps no state. A collected answer gets a length only if the upstream's answer had
 * a length or chunks.
 */
import { type ServerResponse } from 'node:http'
import { type Answered } from '@eiderwind/dispatch'
import { endToEndHeaders, type AnswerHeaders } from '@eiderwind/wire'
import { type HeaderNames } from './names.js'
import { type CallerRequest } from './request.js'

/** One header of an answer; the first value if it occurs more than once. */
export function answerHeader (headers: AnswerHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Whether an answer carries the id of the request. An answer with another id belongs to another request. */
export function matchesRequest (headers: AnswerHeaders, id: string, names: HeaderNames): boolean {
  return answerHeader(headers, names.request) === id
}

/** Status of an answer by an upstream that the request was not meant for (RFC 9110, section 15.5.20). */
const misdirected = 421

/** Whether an upstream reports that it did not and will not run the request. */
export function reportsNotRun (status: number, headers: AnswerHeaders, names: HeaderNames): boolean {
  return status === misdirected || answerHeader(headers, names.notRun) !== undefined
}

/** Whether an answer marks its own end, by a length or by chunks. */
export function isFramed (headers: AnswerHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** Statuses of answers that have no body. */
const bodylessStatuses = new Set([204, 304])

/** Whether an answer to a method may have a body. The length of one that has none is that of another answer's body. */
function mayHaveBody (method: string | undefined, status: number): boolean {
  return method !== 'HEAD' && !bodylessStatuses.has(status)
}

/** Whether the body of an answer ends with its connection. A body that breaks off may then look complete. */
export function endsWithConnection (method: string | undefined, status: number, headers: AnswerHeaders): boolean {
  return mayHaveBody(method, status) && !isFramed(headers)
}

/**
 * Ends a response by closing its connection, as the upstream does. Such an answer may have been cut off, so the
 * response must not get a length or chunks that would make it look complete.
 */
export function endWithConnection (response: ServerResponse): void {
  response.shouldKeepAlive = false
  response.useChunkedEncodingByDefault = false
}

/** Sends a collected answer to the caller with the framing of the upstream's answer. */
export function sendAnswer (request: CallerRequest, { status, headers, body }: Answered): void {
  const { incoming, response, delivery } = request
  const framed = isFramed(headers)
  if (!framed) endWithConnection(response)
  const length = framed && mayHaveBody(incoming.method, status) ? { 'content-length': String(body.length) } : {}
  request.recordForwarded()
  response.writeHead(status, { ...endToEndHeaders(headers), ...length })
  delivery.end(incoming.method === 'HEAD' ? undefined : body)
  request.finish(`answered ${status}`)
}
