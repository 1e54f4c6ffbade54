/**
 * Ends of attempts, and the fault that the caller gets when no attempt was answered. Pure functions. They decide
 * between the outcomes "not run" (the request certainly did not run) and "unknown" (it may have run).
 */
import { Fault, type Outcome } from '@eiderwind/fault'
import { wireHeaders, type AnswerHeaders, type Collected } from '@eiderwind/wire'

/** The end of an attempt without an answer for the caller. */
export interface Failure {
  /** The fault that the caller gets if this is the last attempt. */
  readonly fault: Fault
  /** Whether this attempt certainly did not run, or may have run. */
  readonly outcome: Outcome
  /** Whether the home of the request's key confirms that no earlier attempt with that key has run either. */
  readonly noEarlierRun?: boolean
}

/** The end of an attempt. */
export type AttemptEnd =
  | { readonly type: 'answered', readonly answer: Collected }
  | { readonly type: 'failed', readonly failure: Failure }

/** A failure that takes its outcome from its fault. */
export function failure (fault: Fault, noEarlierRun = false): Failure {
  return { fault, outcome: fault.outcome, noEarlierRun }
}

/** The fault in a worker's answer, or undefined if the answer comes from the upstream. */
export function workerFault (status: number, headers: AnswerHeaders, body: Buffer): Fault | undefined {
  if (status < 400 || headers[wireHeaders.attempt] !== undefined) return undefined
  const fault = Fault.parse(body.toString())
  if (fault === undefined) return new Fault('lost', { detail: `The worker answered with status ${status}.` })
  const retryAfter = Number(headers['retry-after'])
  return Number.isFinite(retryAfter) ? new Fault(fault.code, { retryAfter, outcome: fault.outcome }) : fault
}

/**
 * The fault that the caller gets. `last` is the fault of the last attempt. If any attempt may have run, the request may
 * have run, even if the last attempt certainly did not.
 *
 * @param mayHaveRun whether any attempt may have run
 */
export function finalFault (last: Fault, mayHaveRun: boolean): Fault {
  if (!mayHaveRun || last.outcome !== 'not-run') return last
  return new Fault('lost', { retryAfter: last.retryAfter })
}

/**
 * Turns the outcome "not run" into "unknown" if the caller gave a key and its home has confirmed nothing. An earlier
 * try with that key, through any entry, may have run. A malformed key keeps "not run", because no home ever accepts it.
 *
 * @param key the caller's own key, if it gave one
 */
export function accountForEarlierTries (fault: Fault, key: string | undefined): Fault {
  if (key === undefined || fault.outcome !== 'not-run' || fault.code === 'key-invalid') return fault
  return fault.withUnknownOutcome('An earlier try with this key may have run. Use the same key for the next try.')
}
