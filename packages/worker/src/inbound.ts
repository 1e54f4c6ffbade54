/**
 * A request as an entry sends it to a worker, and the headers that its upstream gets. Pure.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { header, hopHeaders, wireHeaders } from '@eiderwind/wire'

/** Longest wait of a request whose entry gave no deadline, in ms. */
const defaultLeft = 600_000

/** A request as an entry sends it to a worker. */
export interface Inbound {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly method: string
  readonly path: string
  readonly body: Buffer
  /** The attempt's own id, echoed in the answer. */
  readonly attempt: string
  readonly team: string
  /** On `Clock.now`. */
  readonly deadline: number
  readonly key: string | undefined
  /** The session, with its team. */
  readonly session: string | undefined
  /** The tenure of the home for which the entry has minted the key; undefined where the key may have been sent before. */
  readonly fresh: number | undefined
}

/** Reads what the entry says of a request. */
export function inbound (request: IncomingMessage, response: ServerResponse, body: Buffer, clock: Clock): Inbound {
  const left = Number(header(request, wireHeaders.deadline) ?? defaultLeft)
  const fresh = header(request, wireHeaders.fresh)
  return {
    request,
    response,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    body,
    attempt: header(request, wireHeaders.attempt) ?? '',
    team: header(request, wireHeaders.team) ?? '',
    deadline: clock.now() + left,
    key: header(request, wireHeaders.key),
    session: header(request, wireHeaders.session),
    fresh: fresh === undefined ? undefined : Number(fresh)
  }
}

/** Headers between entry and worker that the upstream does not get: all but the session. */
const ours: ReadonlySet<string> = new Set(Object.values(wireHeaders).filter(each => each !== wireHeaders.session))

/** The headers that the upstream gets: those of the request, without the hop's and without ours. */
export function upstreamHeaders (request: IncomingMessage): Record<string, string> {
  const kept: Record<string, string> = {}
  for (const [name, value] of Object.entries(request.headers)) {
    if (value === undefined || hopHeaders.has(name) || ours.has(name) || name === 'content-length') continue
    kept[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return kept
}
