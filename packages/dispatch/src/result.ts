/**
 * The result of one attempt to send a request to an upstream. `@eiderwind/forward` produces these results. The retry
 * decisions of this package and the answer to the caller depend on them. The kinds appear in log lines (`attempts`) and
 * as values of the metric label `ending`, so they must not change.
 */
import { type AnswerHeaders } from '@eiderwind/wire'

/** A complete answer of an upstream, collected in memory. */
export interface Answered {
  readonly kind: 'answered'
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Buffer
}

/** The result of an attempt. */
export type AttemptResult =
  | Answered
  /** The complete answer was forwarded to the caller while it arrived. */
  | { readonly kind: 'passed' }
  /**
   * The request certainly did not run. `sent`: false if nothing left this process, true if the upstream received the
   * request and reported that it did not run it.
   */
  | { readonly kind: 'not-run', readonly why: string, readonly sent: boolean }
  /**
   * The request may have run, but there is no complete answer. `broken`: the upstream closed the connection, so it may
   * have crashed.
   */
  | { readonly kind: 'lost', readonly why: string, readonly broken?: true | undefined }
  /**
   * This process ended the attempt because another attempt for the same request went on. Its upstream did not fail.
   * `sent`: whether anything may have left this process.
   */
  | { readonly kind: 'cancelled', readonly why: string, readonly sent: boolean }

/** Lowest HTTP status of a server error (RFC 9110, section 15.6). */
const serverError = 500

/**
 * Whether an upstream answered without a server error. A 4xx counts as success: it is the right answer to a bad
 * request.
 */
export function isSuccess (result: AttemptResult): boolean {
  return result.kind === 'passed' || (result.kind === 'answered' && result.status < serverError)
}

/**
 * The result that the caller of a plain request gets: the result of the earlier attempts or the latest one. An answer
 * is preferred to any other result. If the latest attempt did not run, it must not hide that an earlier one may have
 * run.
 */
export function preferredResult (before: AttemptResult | undefined, latest: AttemptResult): AttemptResult {
  if (before === undefined || latest.kind === 'answered') return latest
  return before.kind === 'not-run' ? latest : before
}
