/**
 * The path of a request to a plain service. A request that may run at most once is passed on to `keyedpath.ts`; every
 * other request is served here. Relies on `targets.ts` for the workers. When an answer is lost, this path asks the
 * worker whether the attempt has started. A worker that has not started it records a tombstone: a record that the
 * attempt must never start.
 */
import { Fault } from '@eiderwind/fault'
import { noPreference } from '@eiderwind/route'
import { type PlainService } from '@eiderwind/schema'
import { Relay, answerFault, wireHeaders, type AnswerHeaders, type Flow } from '@eiderwind/wire'
import { attemptCall, isOwnAnswer } from './attempting.js'
import { type Context } from './context.js'
import { attemptAt, isExpired, timeLeft, type Attempt, type Exchange } from './exchange.js'
import { serveKeyed } from './keyedpath.js'
import { failure, finalFault, workerFault, type Failure } from './outcome.js'
import { type Target } from './targets.js'

/** Methods that are idempotent by definition (RFC 9110, section 9.2.2). */
const idempotent: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'])

/** Whether the service declares a call as not repeatable. The route with the longest matching path prefix decides. */
export function isDeclaredNotRepeatable ({ routes }: PlainService, method: string, path: string): boolean {
  const fitting = routes.filter(route => route.method === method && path.startsWith(route.path))
  fitting.sort((a, b) => b.path.length - a.path.length)
  return fitting[0]?.repeatable === false
}

/** Serves one request to a plain service. Always answers the response. */
export async function servePlain (context: Context, exchange: Exchange, atMostOnce: boolean): Promise<void> {
  if (atMostOnce) return await serveKeyed(context, exchange)
  const { clock, budget, targets, policy, log, metric } = context
  const tried = new Set<string>()
  let last = new Fault('no-replica')
  let mayHaveRun = false
  budget.deposit()
  while (timeLeft(exchange, clock) > 0 && !exchange.response.destroyed) {
    const usable = targets.workers(exchange.service).filter(each => !tried.has(each.worker))
    if (usable.length === 0 || (tried.size > 0 && !budget.withdraw())) break
    if (tried.size > 0) metric.count('request.retry')
    const near = targets.nearest(usable)
    const picked = policy.pick(near.map(each => each.candidate), noPreference)
    const target = near.find(each => each.candidate === picked) as Target
    tried.add(target.worker)
    const failed = await tryRelay(context, exchange, target)
    if (failed === undefined) return
    log.write('attempt-failed', { service: exchange.service, worker: target.worker, code: failed.fault.code, outcome: failed.outcome })
    last = failed.fault
    if (failed.outcome !== 'not-run') mayHaveRun = true
    if (mayHaveRun && !idempotent.has(exchange.request.method ?? '')) break
  }
  answerFault(exchange.response, finalFault(last, mayHaveRun))
}

/**
 * Sends a request to a worker and forwards the answer as it arrives. Resolves to undefined once an answer has begun.
 */
function tryRelay (context: Context, exchange: Exchange, target: Target): Promise<Failure | undefined> {
  const { clock, targets, inFlight, connections } = context
  const attempt = attemptAt(target, clock)
  targets.recordSent(target.worker)
  return new Promise(resolve => {
    const finish = (failed: Failure | undefined): void => {
      timer.cancel()
      removeFromList()
      exchange.response.off('close', onCallerGone)
      targets.recordEnded(target.worker)
      resolve(failed)
    }
    const relay = new PlainRelay(context, exchange, attempt, finish)
    const cancel = connections.send(attemptCall(context, exchange, attempt), relay)
    const timer = clock.after(timeLeft(exchange, clock), () => cancel(new Error('The deadline has passed.')))
    const removeFromList = inFlight.add(target, cancel)
    const onCallerGone = (): void => cancel(new Error('The caller disconnected.'))
    exchange.response.once('close', onCallerGone)
  })
}

/** Forwards the answer of a service. Holds back a worker's refusal so that another worker can be tried. */
class PlainRelay extends Relay {
  readonly #context: Context
  readonly #attempt: Attempt
  readonly #finish: (failed: Failure | undefined) => void
  readonly #refusal: Buffer[] = []
  #refused: { readonly status: number, readonly headers: AnswerHeaders } | undefined

  constructor (context: Context, exchange: Exchange, attempt: Attempt, finish: (failed: Failure | undefined) => void) {
    super({
      response: exchange.response,
      done: () => finish(undefined),
      failed: ({ sent }) => {
        if (sent && isExpired(exchange, context.clock)) return finish(failure(new Fault('deadline-running')))
        settle(context, attempt, sent).then(finish, () => finish(failure(new Fault('lost'))))
      }
    })
    this.#context = context
    this.#attempt = attempt
    this.#finish = finish
  }

  override head (status: number, headers: AnswerHeaders, flow: Flow): void {
    const echoed = headers[wireHeaders.attempt]
    if (echoed === undefined && status >= 400) {
      this.#refused = { status, headers }
      return
    }
    if (!isOwnAnswer(this.#context, this.#attempt, echoed)) {
      flow.abort(new Error('The answer belongs to another attempt.'))
      return
    }
    const { [wireHeaders.attempt]: _attempt, ...kept } = headers
    super.head(status, kept, flow)
  }

  override data (chunk: Buffer): void {
    if (this.#refused === undefined) super.data(chunk)
    else this.#refusal.push(chunk)
  }

  override end (): void {
    if (this.#refused === undefined) return super.end()
    const fault = workerFault(this.#refused.status, this.#refused.headers, Buffer.concat(this.#refusal))
    this.#finish(failure(fault ?? new Fault('lost')))
  }
}

/**
 * Determines whether an attempt has run. Called when its connection broke before an answer arrived. Only the
 * incarnation of the worker that received the attempt can tell. If it has not started the attempt, it records a
 * tombstone, so the attempt never starts and "not run" is true.
 */
async function settle ({ clients, clock }: Context, attempt: Attempt, sent: boolean): Promise<Failure> {
  if (!sent) return failure(new Fault('upstream-down'))
  const { address, incarnation } = attempt.target
  const fate = await clients.worker(address).settle({ attempt: attempt.id, incarnation, age: clock.now() - attempt.sentAt })
  return failure(new Fault(fate === 'tombstoned' ? 'upstream-down' : 'lost'))
}
