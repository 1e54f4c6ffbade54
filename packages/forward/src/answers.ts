import { type ServerResponse } from 'node:http'
import { type AnswerHeaders } from '@eiderwind/wire'
import { type HeaderNames } from './names.js'

/** One header of an answer; the first value where it came more than once. */
export function answerHeader (headers: AnswerHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Whether an answer belongs to the request `id`. */
export function belongs (headers: AnswerHeaders, id: string, names: HeaderNames): boolean {
  return answerHeader(headers, names.request) === id
}

/** Status of an upstream that is not the one that was meant. */
const misdirected = 421

/** Whether an upstream says that it did not and will not run the request. */
export function saysNotRun (status: number, headers: AnswerHeaders, names: HeaderNames): boolean {
  return status === misdirected || answerHeader(headers, names.notRun) !== undefined
}

/** Whether an answer says itself where it ends, by a length or by chunks. */
export function isFramed (headers: AnswerHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/**
 * Has a response end with its connection, as the answer that it passes on does: nobody can tell whether such an answer is
 * whole, so it must not get a length or chunks that say so.
 */
export function endWithConnection (response: ServerResponse): void {
  response.shouldKeepAlive = false
  response.useChunkedEncodingByDefault = false
}
