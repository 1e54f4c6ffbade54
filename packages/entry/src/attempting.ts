/**
 * One whole attempt of a request at a worker: sends it, collects the answer, and gives up at the deadline. Owns nothing; the
 * paths decide what follows from how an attempt ended (`outcome.ts`).
 */
import { type Context } from './context.js'
import { attemptAt, attemptHeaders, isExpired, timeLeft, type Attempt, type Exchange } from './exchange.js'
import { failure, workerFault, type AttemptEnd } from './outcome.js'
import { type Target } from './targets.js'
import { Fault } from '@eiderwind/fault'
import { Collector, send, wireHeaders, type Call, type Collected } from '@eiderwind/wire'

/** What a try adds to the request. */
export interface TryOptions {
  readonly headers?: Readonly<Record<string, string>>
  /** Told of the attempt before it is sent. */
  readonly begun?: (attempt: Attempt) => void
}

/** Sends a request to a target and collects the whole answer. Gives up at the deadline, and when the caller goes away. */
export function collectAttempt (context: Context, exchange: Exchange, target: Target, options: TryOptions = {}): Promise<AttemptEnd> {
  const { clock, targets, inFlight, dispatcher } = context
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
    const cancel = send(dispatcher, attemptCall(context, exchange, attempt, options.headers), new Collector({
      whole: answer => finish(endOfAnswer(context, attempt, answer)),
      failed: ({ sent }) => finish(endOfFailure(sent, isExpired(exchange, clock)))
    }))
    const timer = clock.after(timeLeft(exchange, clock), () => cancel(new Error('The deadline has passed.')))
    const removeFromList = inFlight.add(target, cancel)
    const onCallerGone = (): void => cancel(new Error('The caller went away.'))
    exchange.response.once('close', onCallerGone)
  })
}

/** The call that carries an attempt to its worker. */
export function attemptCall (context: Context, exchange: Exchange, attempt: Attempt, more: Readonly<Record<string, string>> = {}, body = exchange.body): Call {
  return {
    origin: `http://${attempt.target.address}`,
    path: exchange.request.url ?? '/',
    method: exchange.request.method ?? 'GET',
    headers: { ...attemptHeaders(exchange, attempt, context.clock), ...more },
    body: body.length === 0 ? undefined : body
  }
}

/** Whether an answer is the one to this attempt. Others are dropped and counted. */
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
