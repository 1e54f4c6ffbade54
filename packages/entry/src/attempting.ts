/**
 * One attempt of a request at a worker: sends it, collects the complete answer, and cancels at the deadline. Owns no
 * state. The request paths decide what follows from the end of an attempt (`outcome.ts`).
 */
import { type Context } from './context.js'
import { attemptAt, attemptHeaders, isExpired, timeLeft, type Attempt, type Exchange } from './exchange.js'
import { failure, workerFault, type AttemptEnd } from './outcome.js'
import { type Target } from './targets.js'
import { Fault } from '@eiderwind/fault'
import { Collector, wireHeaders, type Call, type Collected } from '@eiderwind/wire'

/** Options of one attempt. */
export interface AttemptOptions {
  /** Headers in addition to those of the request. */
  readonly headers?: Readonly<Record<string, string>>
  /** Called with the attempt before it is sent. */
  readonly begun?: (attempt: Attempt) => void
}

/**
 * Sends a request to a target and collects the complete answer. Cancels at the deadline and when the caller
 * disconnects.
 */
export function collectAttempt (context: Context, exchange: Exchange, target: Target, options: AttemptOptions = {}): Promise<AttemptEnd> {
  const { clock, targets, inFlight, connections } = context
  const attempt = attemptAt(target, clock)
  options.begun?.(attempt)
  targets.recordSent(target.worker)
  return new Promise(resolve => {
    const finish = (end: AttemptEnd): void => {
      timer.cancel()
      removeFromList()
      exchange.response.off('close', onCallerGone)
      targets.recordEnded(target.worker)
      resolve(end)
    }
    const cancel = connections.send(attemptCall(context, exchange, attempt, options.headers), new Collector({
      whole: answer => finish(endOfAnswer(context, attempt, answer)),
      failed: ({ sent }) => finish(endOfFailure(sent, isExpired(exchange, clock)))
    }))
    const timer = clock.after(timeLeft(exchange, clock), () => cancel(new Error('The deadline has passed.')))
    const removeFromList = inFlight.add(target, cancel)
    const onCallerGone = (): void => cancel(new Error('The caller disconnected.'))
    exchange.response.once('close', onCallerGone)
  })
}

/** The HTTP call of an attempt. */
export function attemptCall (context: Context, exchange: Exchange, attempt: Attempt, more: Readonly<Record<string, string>> = {}, body = exchange.body): Call {
  return {
    origin: `http://${attempt.target.address}`,
    path: exchange.request.url ?? '/',
    method: exchange.request.method ?? 'GET',
    headers: { ...attemptHeaders(exchange, attempt, context.clock), ...more },
    body: body.length === 0 ? undefined : body
  }
}

/**
 * Whether an answer belongs to this attempt, by the attempt id that it echoes. Logs and counts an answer that does not.
 */
export function isOwnAnswer (context: Context, attempt: Attempt, echoed: string | string[] | undefined): boolean {
  if (echoed === attempt.id) return true
  context.log.write('answer-foreign', { attempt: attempt.id, worker: attempt.target.worker })
  context.metric.count('answer.foreign')
  return false
}

function endOfAnswer (context: Context, attempt: Attempt, answer: Collected): AttemptEnd {
  const fault = workerFault(answer.status, answer.headers, answer.body)
  if (fault !== undefined) return { type: 'failed', failure: failure(fault, answer.headers[wireHeaders.judged] === '1') }
  if (!isOwnAnswer(context, attempt, answer.headers[wireHeaders.attempt])) return { type: 'failed', failure: failure(new Fault('lost')) }
  return { type: 'answered', answer }
}

function endOfFailure (sent: boolean, expired: boolean): AttemptEnd {
  const code = sent ? (expired ? 'deadline-running' : 'lost') : (expired ? 'deadline' : 'upstream-down')
  return { type: 'failed', failure: failure(new Fault(code)) }
}
