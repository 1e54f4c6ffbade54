/**
 * Builds the HTTP request to an upstream from the caller's request. It defines which headers are forwarded, removed and
 * added.
 */
import { type IncomingMessage } from 'node:http'
import { listedName, type Upstream } from '@eiderwind/roster'
import { hopHeaders, type Call } from '@eiderwind/wire'
import { lastEventName, type HeaderNames } from './names.js'
import { type CallerRequest } from './request.js'

/** The lowest urgency in the upstreams' protocol. Less urgent requests are sent with this value. */
const leastUrgent = 9

/**
 * Builds the call that sends a request to an upstream. @param lastEvent id of the last event that the caller received,
 * if a stream is resumed
 */
export function outgoingCall (request: CallerRequest, upstream: Upstream, names: HeaderNames, lastEvent?: number): Call {
  const { incoming, body, team } = request
  const headers = forwardedHeaders(incoming)
  delete headers[names.key]
  delete headers[names.team]
  if (team !== undefined) headers[names.team] = team.name
  headers[names.upstream] = listedName(upstream)
  headers[names.deadline] = String(Math.max(1, Math.floor(request.timeLeft)))
  headers[names.urgency] = String(Math.min(leastUrgent, request.priority))
  if (lastEvent !== undefined) headers[lastEventName] = String(lastEvent)
  return {
    origin: `http://${upstream.address}`,
    path: incoming.url ?? '/',
    method: incoming.method ?? 'GET',
    headers,
    body
  }
}

/** The caller's headers without the headers of its connection. `host` is forwarded as the caller sent it. */
function forwardedHeaders (incoming: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {}
  const connection = connectionHeaders(incoming)
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value === undefined || name === 'content-length' || connection.has(name)) continue
    if (hopHeaders.has(name) && name !== 'host') continue
    headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return headers
}

/** Headers that the caller's `connection` header lists (RFC 9110, section 7.6.1). */
function connectionHeaders ({ headers }: IncomingMessage): ReadonlySet<string> {
  const value = headers.connection
  if (value === undefined) return new Set()
  return new Set(value.toLowerCase().split(',').map(each => each.trim()))
}
