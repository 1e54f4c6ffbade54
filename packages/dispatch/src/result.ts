/**
 * How one attempt to have a request served by an upstream ended. `@eiderwind/forward` produces these results; the rules
 * of this package and the answer to the caller follow from them. The kinds appear in log lines (`attempts`) and as
 * values of the metric label `ending`, so they must stay as they are.
 */
import { type AnswerHeaders } from '@eiderwind/wire'

/** A complete answer of an upstream, collected in memory. */
export interface Answered {
  readonly kind: 'answered'
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Buffer
}

/** How an attempt ended. */
export type AttemptResult =
  | Answered
  /** Its answer was passed on to the caller while it arrived, and was complete. */
  | { readonly kind: 'passed' }
  /** It certainly did not run. `sent` is false if nothing left this process, true if the upstream itself said so. */
  | { readonly kind: 'not-run', readonly why: string, readonly sent: boolean }
  /** It may have run, but there is no complete answer. `broken`: its connection broke off at the upstream's side, which may have crashed. */
  | { readonly kind: 'lost', readonly why: string, readonly broken?: true | undefined }

/** Lowest HTTP status by which an upstream reports a failure of its own (RFC 9110, section 15.6). */
const serverError = 500

/** Whether an upstream answered, and not with a failure of its own. A 4xx is the right answer to a bad request. */
export function isSuccess (result: AttemptResult): boolean {
  return result.kind === 'passed' || (result.kind === 'answered' && result.status < serverError)
}

/**
 * Of the result so far and that of the latest attempt, the one that the caller of a plain request gets. An answer is
 * better than none, and a later attempt that did not run must not hide that an earlier one may have.
 */
export function preferredResult (before: AttemptResult | undefined, latest: AttemptResult): AttemptResult {
  if (before === undefined || latest.kind === 'answered') return latest
  return before.kind === 'not-run' ? latest : before
}
