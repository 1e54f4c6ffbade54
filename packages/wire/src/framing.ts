/**
 * How the end of an answer's body is marked (framing; RFC 9112, section 6.3), and the head with which an answer is
 * forwarded. An answer with neither a length nor chunks ends with its connection and may have broken off, so it is
 * forwarded without them too. All processes that forward answers rely on this module. It keeps no state.
 */
import { type ServerResponse } from 'node:http'
import { type AnswerHeaders } from './call.js'
import { type Collected } from './collector.js'
import { hopHeaders } from './headers.js'

/** Whether an answer marks its own end, by a length or by chunks. */
export function isFramed (headers: AnswerHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** Statuses of answers that have no body. */
const bodylessStatuses = new Set([204, 304])

function hasBody (method: string | undefined, status: number): boolean {
  return method !== 'HEAD' && !bodylessStatuses.has(status)
}

/** Whether the body of an answer ends with its connection. A body that breaks off may then look complete. */
export function endsWithConnection (method: string | undefined, status: number, headers: AnswerHeaders): boolean {
  return hasBody(method, status) && !isFramed(headers)
}

/**
 * Ends a response by closing its connection, as the upstream does. Such an answer may have been cut off, so the
 * response must not get a length or chunks that would make it look complete.
 */
function endWithConnection (response: ServerResponse): void {
  response.shouldKeepAlive = false
  response.useChunkedEncodingByDefault = false
}

/**
 * Writes the head of a forwarded answer. The response has a length or chunks only if the answer has. Whoever breaks the
 * response off must use `breakOff`.
 */
export function writeForwardedHead (response: ServerResponse, status: number, headers: AnswerHeaders): void {
  if (endsWithConnection(response.req.method, status, headers)) endWithConnection(response)
  response.writeHead(status, endToEndHeaders(headers))
}

/**
 * The headers with which a collected answer is forwarded. It gets its length if it had a length or chunks. The length of
 * an answer without a body is that of another answer and stays.
 */
export function collectedHeaders (method: string | undefined, { status, headers, body }: Collected): Record<string, string | string[]> {
  const forwarded = endToEndHeaders(headers)
  if (!hasBody(method, status) || !isFramed(headers)) return forwarded
  return { ...forwarded, 'content-length': String(body.length) }
}

/** The headers of an answer, without the headers that belong to one connection (RFC 9110, section 7.6.1). */
export function endToEndHeaders (headers: AnswerHeaders): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !hopHeaders.has(name)) forwarded[name] = value
  }
  return forwarded
}
