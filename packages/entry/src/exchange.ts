/**
 * A caller's request and its attempts, as values, and the headers that a worker gets. Owns no state. Relies on the
 * clock for the time left until a deadline.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { type Team } from '@eiderwind/schema'
import { callerHeaders, hopHeaders, wireHeaders } from '@eiderwind/wire'
import { v7 } from 'uuid'
import { type Target } from './targets.js'

/** One caller's request, parsed and checked. */
export interface Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer
  readonly team: Team
  readonly service: string
  /** Time by which the request must be answered, on `Clock.now`. */
  readonly deadline: number
  /** Arrival time of the request, on `Clock.now`. */
  readonly startedAt: number
  readonly session: string | undefined
  /** Whether the caller allows the request to run more than once. */
  readonly repeatable: boolean
  /** The caller's Idempotency-Key. */
  readonly key: string | undefined
}

/** One attempt of a request at one worker. */
export interface Attempt {
  /** Id of the attempt. The worker echoes it in its answer. */
  readonly id: string
  readonly target: Target
  /** Time of sending, on `Clock.now`. */
  readonly sentAt: number
}

/** A new attempt at a target. */
export function attemptAt (target: Target, clock: Clock): Attempt {
  return { id: v7(), target, sentAt: clock.now() }
}

/** Time until the deadline of a request, in ms. */
export function timeLeft (exchange: Exchange, clock: Clock): number {
  return exchange.deadline - clock.now()
}

/** Maximum time by which a timer may fire early, in ms. */
const timerSlack = 5

/** Whether the deadline of a request has passed, or a timer that was set to it may already have fired. */
export function isExpired (exchange: Exchange, clock: Clock): boolean {
  return timeLeft(exchange, clock) < timerSlack
}

/**
 * Time by which a worker's deadline precedes the entry's, in ms, so that the worker's answer on whether the request ran
 * arrives in time.
 */
const answerMargin = 25

/** The session key that replicas get. It contains the team's name, so that sessions of two teams never share a key. */
export function sessionKey ({ team, session }: Exchange): string | undefined {
  return session === undefined ? undefined : encodeURIComponent(`${team.name}/${session}`)
}

/** Headers of a request that are not forwarded because they only concern the entry. */
const entryOnlyHeaders: ReadonlySet<string> = new Set(['authorization', 'content-length', callerHeaders.session, callerHeaders.deadline, callerHeaders.repeatable, callerHeaders.lastEvent, ...Object.values(wireHeaders)])

/**
 * The headers that a worker gets: the caller's headers and those of the attempt. Hop-by-hop headers, and headers that
 * only concern the entry, such as the team's key, are left out.
 */
export function attemptHeaders (exchange: Exchange, attempt: Attempt, clock: Clock): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(exchange.request.headers)) {
    if (value === undefined || hopHeaders.has(name) || entryOnlyHeaders.has(name)) continue
    headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  headers[wireHeaders.attempt] = attempt.id
  headers[wireHeaders.incarnation] = attempt.target.incarnation
  headers[wireHeaders.deadline] = String(Math.max(1, Math.ceil(timeLeft(exchange, clock) - answerMargin)))
  headers[wireHeaders.team] = exchange.team.name
  headers[wireHeaders.service] = exchange.service
  const session = sessionKey(exchange)
  if (session !== undefined) headers[wireHeaders.session] = session
  return headers
}
