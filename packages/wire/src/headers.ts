/**
 * Header names and paths of the roles `entry` and `worker`, and functions for headers in general. The gateway's header
 * names are in `platform/src/names.ts`. All of these names are sent on the wire and must not be changed.
 */
import { type IncomingMessage } from 'node:http'

/** Header names between caller and entry. */
export const callerHeaders = {
  session: 'eiderwind-session',
  /** How long the caller waits for an answer, in ms. */
  deadline: 'eiderwind-deadline-ms',
  /** `false` marks a request that must not run more than once. */
  repeatable: 'eiderwind-repeatable',
  key: 'idempotency-key',
  /** Offset of the last event that the caller has received; sent to resume a stream (HTML, server-sent events). */
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
  /** The home's tenure in which the entry created the key for this attempt. No earlier attempt has used the key. */
  fresh: 'eiderwind-fresh',
  /** `1` on a refusal if the home of the key knows that no earlier attempt with the key has run. */
  judged: 'eiderwind-judged',
  /** The caller's session and team, under which the engine stores the KV cache. Forwarded to the engine. */
  session: 'eiderwind-session-key',
  /** The model version to which a session's KV cache belongs. */
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

/** Path prefix of the calls between processes. */
export const callsPath = '/trpc'

/** The value of a request's header, or the first one if the header occurs more than once. */
export function header (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}
