/**
 * One caller's request and its attempts, as values. Owns nothing; relies on the clock for what is left of a deadline.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Clock } from '@eiderwind/clock'
import { type Team } from '@eiderwind/schema'
import { callerHeaders, hopHeaders, wireHeaders } from '@eiderwind/wire'
import { v7 } from 'uuid'
import { type Target } from './targets.js'

/** One caller's request, read and checked. */
export interface Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer
  readonly team: Team
  readonly service: string
  /** On `Clock.now`. */
  readonly deadline: number
  /** When the request came, on `Clock.now`. */
  readonly startedAt: number
  readonly session: string | undefined
  /** Whether the caller allows that it runs more than once. */
  readonly repeatable: boolean
  /** The caller's Idempotency-Key. */
  readonly key: string | undefined
}

/** One try of a request at one worker. */
export interface Attempt {
  /** The attempt's own id, echoed by the worker. */
  readonly id: string
  readonly target: Target
  /** When it was sent, on `Clock.now`. */
  readonly sentAt: number
}

/** A new attempt at a target. */
export function attemptAt (target: Target, clock: Clock): Attempt {
  return { id: v7(), target, sentAt: clock.now() }
}

/** Milliseconds that a request has left. */
export function timeLeft (exchange: Exchange, clock: Clock): number {
  return exchange.deadline - clock.now()
}

/** How early a timer may be, in ms. */
const timerSlack = 5

/** Whether a request has no time left. A timer that is set to its deadline may be a little early. */
export function isExpired (exchange: Exchange, clock: Clock): boolean {
  return timeLeft(exchange, clock) < timerSlack
}

/** How much earlier a worker gives up than the entry, in ms, so that its own word on whether the request ran comes in time. */
const answerMargin = 25

/** A session as replicas know it: sessions of two teams are never the same, whatever they are called. */
export function sessionKey ({ team, session }: Exchange): string | undefined {
  return session === undefined ? undefined : encodeURIComponent(`${team.name}/${session}`)
}

/** Headers of a request that only concern the entry. */
const entryOnlyHeaders: ReadonlySet<string> = new Set(['authorization', 'content-length', callerHeaders.session, callerHeaders.deadline, callerHeaders.repeatable, callerHeaders.lastEvent, ...Object.values(wireHeaders)])

/** The headers that a worker gets: the caller's, without the hop's and the key of the team, and the attempt's own. */
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
