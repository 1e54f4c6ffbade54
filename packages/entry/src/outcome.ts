/**
 * How an attempt without an answer ended, and which fault the caller gets for it. Pure: this is where "not run" is told from
 * "unknown".
 */
import { Fault, type Outcome } from '@eiderwind/fault'
import { wireHeaders, type AnswerHeaders, type Collected } from '@eiderwind/wire'

/** How one attempt ended without an answer for the caller. */
export interface Failure {
  /** What the caller would be told if this were the last attempt. */
  readonly fault: Fault
  /** Whether this attempt may have run. */
  readonly outcome: Outcome
  /** Whether the home of a key said that no earlier try with it has run either. */
  readonly noEarlierRun?: boolean
}

/** How one attempt ended. */
export type AttemptEnd =
  | { readonly type: 'answered', readonly answer: Collected }
  | { readonly type: 'failed', readonly failure: Failure }

/** A failure with the outcome of its fault. */
export function failure (fault: Fault, noEarlierRun = false): Failure {
  return { fault, outcome: fault.outcome, noEarlierRun }
}

/** The fault that a worker answered with, or undefined where the answer is the upstream's own. */
export function workerFault (status: number, headers: AnswerHeaders, body: Buffer): Fault | undefined {
  if (status < 400 || headers[wireHeaders.attempt] !== undefined) return undefined
  const fault = Fault.read(body.toString())
  if (fault === undefined) return new Fault('lost', { detail: `The worker answered ${status}.` })
  const retryAfter = Number(headers['retry-after'])
  return Number.isFinite(retryAfter) ? new Fault(fault.code, { retryAfter, outcome: fault.outcome }) : fault
}

/**
 * What the caller is told in the end. `last` is the newest failure; where any attempt before it may have run, the
 * whole request may have run, whatever the last one says.
 */
export function finalFault (last: Fault, mayHaveRun: boolean): Fault {
  if (!mayHaveRun || last.outcome !== 'not-run') return last
  return new Fault('lost', { retryAfter: last.retryAfter })
}

/**
 * What may be said of a request while no home of a key has given its word on it. Where the caller gave a key, an earlier
 * try with it, through any entry, may have run; so "not run" is only said of a key that no home ever takes.
 *
 * @param key the caller's own key, if it gave one
 */
export function accountForEarlierTries (fault: Fault, key: string | undefined): Fault {
  if (key === undefined || fault.outcome !== 'not-run' || fault.code === 'key-invalid') return fault
  return fault.doubted('An earlier try with this key may have run; keep the key.')
}
