import { hopHeaders, type Call } from '@eiderwind/wire'
import { type Upstream } from '@eiderwind/roster'
import { type CallerRequest } from './request.js'
import { lastEventName, type HeaderNames } from './names.js'

/** The least urgency that can be told. */
const leastUrgent = 9

/** The call that carries a request to an upstream. @param lastEvent the last event that the caller has, where a stream goes on */
export function outgoing (exchange: CallerRequest, upstream: Upstream, names: HeaderNames, lastEvent?: number): Call {
  const headers: Record<string, string> = {}
  const connection = connectionHeaders(exchange)
  for (const [name, value] of Object.entries(exchange.request.headers)) {
    if (value === undefined || (hopHeaders.has(name) && name !== 'host') || connection.has(name) || name === 'content-length') continue
    headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  delete headers[names.key]
  delete headers[names.team]
  if (exchange.team !== undefined) headers[names.team] = exchange.team.name
  headers[names.upstream] = upstream.id
  headers[names.deadline] = String(Math.max(1, Math.floor(exchange.left)))
  headers[names.urgency] = String(Math.min(leastUrgent, exchange.priority))
  if (lastEvent !== undefined) headers[lastEventName] = String(lastEvent)
  return {
    origin: `http://${upstream.address}`,
    path: exchange.request.url ?? '/',
    method: exchange.request.method ?? 'GET',
    headers,
    body: exchange.body
  }
}

/** Headers that the caller named as belonging to its connection. */
function connectionHeaders ({ request }: CallerRequest): ReadonlySet<string> {
  const value = request.headers.connection
  if (value === undefined) return new Set()
  return new Set(value.toLowerCase().split(',').map(each => each.trim()))
}
