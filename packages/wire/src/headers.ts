/**
 * Header names and paths of the roles `entry` and `worker`, and what is true of headers in general. The gateway's header
 * names come from its platform (`platform/src/names.ts`). All of these are on the wire: never rename one.
 */
import { type IncomingMessage } from 'node:http'

/** Header names between caller and entry. */
export const callerHeaders = {
  session: 'eiderwind-session',
  /** Time that the caller will wait, in ms. */
  deadline: 'eiderwind-deadline-ms',
  /** `false` marks a request that may not be repeated. */
  repeatable: 'eiderwind-repeatable',
  key: 'idempotency-key',
  /** Offset of the last event that the caller has, where it resumes a stream (HTML, server-sent events). */
  lastEvent: 'last-event-id',
  outcome: 'eiderwind-outcome'
} as const

/** Header names between entry and worker. */
export const wireHeaders = {
  attempt: 'eiderwind-attempt',
  incarnation: 'eiderwind-incarnation',
  /** Time left until the deadline, in ms. */
  deadline: 'eiderwind-left-ms',
  team: 'eiderwind-team',
  service: 'eiderwind-service',
  key: 'eiderwind-key',
  /** The home's tenure, where the entry made the key for this very attempt, so that no earlier one can have used it. */
  fresh: 'eiderwind-fresh',
  /** `1` on a refusal by the home of a key, where no earlier attempt with the key has run either. */
  judged: 'eiderwind-judged',
  /** The caller's session, with its team, by which the engine keeps its KV cache. Forwarded to the engine. */
  session: 'eiderwind-session-key',
  /** The version that a session's KV cache belongs to. */
  version: 'eiderwind-version',
  /** `1` on the stored answer of an earlier attempt with the same key. */
  replayed: 'eiderwind-replayed'
} as const

/** Headers that belong to one connection and are not forwarded (RFC 9110, section 7.6.1). */
export const hopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'expect'
])

/** Path at which a worker receives the KV cache of a session from another worker. */
export const sessionsPath = '/sessions/'

/** Path below which processes serve each other's calls. */
export const callsPath = '/trpc'

/** A header of a request; its first value where it came more than once. */
export function header (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}
