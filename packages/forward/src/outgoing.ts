/** Makes the HTTP request to an upstream from that of the caller: which headers are passed on, removed and added. */
import { type IncomingMessage } from 'node:http'
import { listedName, type Upstream } from '@eiderwind/roster'
import { hopHeaders, type Call } from '@eiderwind/wire'
import { lastEventName, type HeaderNames } from './names.js'
import { type CallerRequest } from './request.js'

/** The least urgency that upstreams know; less urgent requests are sent with this one. A bound of their protocol. */
const leastUrgent = 9

/** The call that carries a request to an upstream. @param lastEvent id of the last event that the caller has, if a stream is resumed */
export function outgoingCall (request: CallerRequest, upstream: Upstream, names: HeaderNames, lastEvent?: number): Call {
  const { incoming, body, team } = request
  const headers = passedHeaders(incoming)
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

/** The caller's headers without those of its connection. `host` is passed on as the caller sent it. */
function passedHeaders (incoming: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {}
  const connection = connectionHeaders(incoming)
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value === undefined || name === 'content-length' || connection.has(name)) continue
    if (hopHeaders.has(name) && name !== 'host') continue
    headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return headers
}

/** Headers that the caller named as belonging to its connection (RFC 9110, section 7.6.1). */
function connectionHeaders ({ headers }: IncomingMessage): ReadonlySet<string> {
  const value = headers.connection
  if (value === undefined) return new Set()
  return new Set(value.toLowerCase().split(',').map(each => each.trim()))
}
