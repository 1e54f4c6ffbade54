/**
 * Whether a request is sent to one more upstream, and whether a stalled stream is moved. This is where at-most-once is
 * decided: a request that may have run is sent again only where its route says that it may run more than once.
 * Pure; relies only on its inputs. The retry budget itself is `RetryBudget`.
 */
import { isSuccess, type AttemptResult } from './result.js'

/** What the decision on a retry depends on. */
export interface RetryInputs {
  readonly result: AttemptResult
  /** Whether the route allows the request to run more than once. */
  readonly repeatable: boolean
  /** Whether the route allows one more upstream. Attempts that never left this process do not count. */
  readonly hasAttemptsLeft: boolean
}

/** `free`: send it again. `budgeted`: send it again only if the retry budget grants a retry. */
export type RetryDecision = 'no' | 'free' | 'budgeted'

/** Whether a request is sent again after an attempt. An attempt of which nothing was sent costs no upstream anything, so neither does its retry. */
export function decideRetry ({ result, repeatable, hasAttemptsLeft }: RetryInputs): RetryDecision {
  if (isSuccess(result)) return 'no'
  if (result.kind !== 'not-run' && !repeatable) return 'no'
  if (!hasAttemptsLeft) return 'no'
  return result.kind === 'not-run' && !result.sent ? 'free' : 'budgeted'
}

/** What the decision to move a stalled stream depends on. */
export interface MoveInputs {
  readonly repeatable: boolean
  readonly hasAttemptsLeft: boolean
  /** Retries that the budget of the service has left. */
  readonly retriesLeft: number
}

/**
 * Whether a stream whose upstream is suspected of having stalled may be cut off there, given that another upstream has
 * room. Without a retry left it stays: a stalled upstream may still go on, a cut stream can't. The retry is taken
 * from the budget afterwards, by `decideRetry`.
 */
export function mayMove ({ repeatable, hasAttemptsLeft, retriesLeft }: MoveInputs): boolean {
  return repeatable && hasAttemptsLeft && retriesLeft > 0
}
