/**
 * Interprets and forwards the answers of upstreams: which request they belong to, and whether that request ran. Keeps no
 * state. Relies on `wire` for the framing of forwarded answers.
 */
import { type Answered } from '@eiderwind/dispatch'
import { collectedHeaders, writeForwardedHead, type AnswerHeaders } from '@eiderwind/wire'
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

/** Sends a collected answer to the caller with the framing of the upstream's answer. */
export function sendAnswer (request: CallerRequest, answer: Answered): void {
  const { incoming: { method }, response, delivery } = request
  request.recordForwarded()
  writeForwardedHead(response, answer.status, collectedHeaders(method, answer))
  delivery.end(method === 'HEAD' ? undefined : answer.body)
  request.finish(`answered ${answer.status}`)
}
