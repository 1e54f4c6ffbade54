/**
 * Reads a request that an entry sends to a worker, and selects the headers to forward to the upstream. Pure functions.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { header, hopHeaders, wireHeaders } from '@eiderwind/wire'

/** Default time until the deadline, for a request whose entry sent none, in ms. */
const defaultTimeLeft = 600_000

/** A request from an entry. */
export interface InboundRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly method: string
  readonly path: string
  readonly body: Buffer
  /** Id of the attempt, echoed in the answer. */
  readonly attempt: string
  readonly team: string
  /** On `Clock.now`. */
  readonly deadline: number
  readonly key: string | undefined
  /** The session's name, which includes its team. */
  readonly session: string | undefined
  /**
   * The home's tenure in which the entry minted the key for this attempt. No earlier attempt has used the key.
   * Undefined if an earlier attempt may have used it.
   */
  readonly mintedFor: number | undefined
}

/** Reads a request and the headers that the entry added to it. */
export function readInbound (request: IncomingMessage, response: ServerResponse, body: Buffer, clock: Clock): InboundRequest {
  const timeLeft = Number(header(request, wireHeaders.deadline) ?? defaultTimeLeft)
  const fresh = header(request, wireHeaders.fresh)
  return {
    request,
    response,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    body,
    attempt: header(request, wireHeaders.attempt) ?? '',
    team: header(request, wireHeaders.team) ?? '',
    deadline: clock.now() + timeLeft,
    key: header(request, wireHeaders.key),
    session: header(request, wireHeaders.session),
    mintedFor: fresh === undefined ? undefined : Number(fresh)
  }
}

/** Headers between entry and worker that are not forwarded to the upstream: all but the session. */
const internalHeaders: ReadonlySet<string> = new Set(Object.values(wireHeaders).filter(each => each !== wireHeaders.session))

/**
 * The headers to forward to the upstream: those of the request without hop-by-hop headers, internal headers and the
 * length.
 */
export function upstreamHeaders (request: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(request.headers)) {
    if (value === undefined || hopHeaders.has(name) || internalHeaders.has(name) || name === 'content-length') continue
    headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return headers
}
