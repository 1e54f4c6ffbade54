import { type IncomingMessage } from 'node:http'

/** Header names between caller and entry. */
export const callerHeaders = {
  session: 'eiderwind-session',
  /** Milliseconds that the caller will wait. */
  deadline: 'eiderwind-deadline-ms',
  /** `false` marks a request that may not be repeated. */
  repeatable: 'eiderwind-repeatable',
  key: 'idempotency-key',
  /** Offset of the last event that the caller has, where it goes on with a stream (HTML, server-sent events). */
  lastEvent: 'last-event-id',
  outcome: 'eiderwind-outcome'
} as const

/** Header names between entry and worker. */
export const wireHeaders = {
  attempt: 'eiderwind-attempt',
  incarnation: 'eiderwind-incarnation',
  /** Milliseconds that are left. */
  deadline: 'eiderwind-left-ms',
  team: 'eiderwind-team',
  service: 'eiderwind-service',
  key: 'eiderwind-key',
  /** The home's tenure, where the entry has just minted the key for this very attempt. */
  fresh: 'eiderwind-fresh',
  /** `1` on a refusal by the home of a key that knows that the key's request has not run in any earlier try either. */
  judged: 'eiderwind-judged',
  /** The caller's session, with its team, by which the engine keeps its KV cache. Goes on to the engine. */
  session: 'eiderwind-session-key',
  /** The version that a session's KV cache belongs to. */
  version: 'eiderwind-version',
  /** `1` on an answer that an earlier attempt with the same key got. */
  replayed: 'eiderwind-replayed'
} as const

/** Headers that belong to one connection and are not forwarded (RFC 9110, section 7.6.1). */
export const hopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'expect'
])

/** Where a worker takes the KV cache of a session from another worker. */
export const sessionsPath = '/sessions/'

/** Where the calls of the system's own processes are served. */
export const callsPath = '/trpc'

/** One header of a request; the first value where it came more than once. */
export function header (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}
