/**
 * Decides whether a request is sent to one more upstream, and whether a stalled stream is moved. This module guarantees
 * at-most-once: a request that may have run is sent again only if its route allows it to run more than once.
 * Pure; relies only on its inputs. `RetryBudget` holds the retry budget.
 */
import { isSuccess, type AttemptResult } from './result.js'

/** Inputs of `decideRetry`. */
export interface RetryInputs {
  readonly result: AttemptResult
  /** Whether the route allows the request to run more than once. */
  readonly repeatable: boolean
  /** Whether the route allows one more attempt. Attempts that never left this process are not counted. */
  readonly hasAttemptsLeft: boolean
}

/** `free`: send the request again. `budgeted`: send it again only if the retry budget grants a retry. */
export type RetryDecision = 'no' | 'free' | 'budgeted'

/**
 * Decides whether a request is sent again after an attempt. If nothing was sent, the attempt put no load on an
 * upstream, so the retry is free.
 */
export function decideRetry ({ result, repeatable, hasAttemptsLeft }: RetryInputs): RetryDecision {
  if (isSuccess(result) || result.kind === 'cancelled') return 'no'
  if (result.kind !== 'not-run' && !repeatable) return 'no'
  if (!hasAttemptsLeft) return 'no'
  return result.kind === 'not-run' && !result.sent ? 'free' : 'budgeted'
}

/** Inputs of `mayMove`. */
export interface MoveInputs {
  readonly repeatable: boolean
  readonly hasAttemptsLeft: boolean
  /** Retries that are left in the budget of the service. */
  readonly retriesLeft: number
}

/**
 * Whether a stream may be sent to another upstream that has room, while its own is suspected of a stall. That costs one
 * retry and one attempt, so without either the stream waits for its own upstream alone.
 */
export function mayMove ({ repeatable, hasAttemptsLeft, retriesLeft }: MoveInputs): boolean {
  return repeatable && hasAttemptsLeft && retriesLeft > 0
}
