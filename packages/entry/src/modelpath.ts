/**
 * The path of a completion: chooses the replicas to try and their order. Owns the set of replicas that a request has
 * tried. Relies on `route` for the policy and on `stream.ts` for streamed answers.
 */
import { Fault } from '@eiderwind/fault'
import { ranked } from '@eiderwind/hash'
import { prefixDigests } from '@eiderwind/route'
import { answerFault, collectedHeaders, writeForwardedHead, type Collected } from '@eiderwind/wire'
import { collectAttempt } from './attempting.js'
import { promptText, type Completion } from './completion.js'
import { type Context } from './context.js'
import { timeLeft, sessionKey, type Exchange } from './exchange.js'
import { finalFault, accountForEarlierTries } from './outcome.js'
import { Stream } from './stream.js'
import { type Target } from './targets.js'

/** Number of replicas that entries prefer for a session. */
const preferredReplicas = 3

/** Chooses replicas for one request, each at most once until `reset`. */
export class Choice {
  readonly #context: Context
  readonly #exchange: Exchange
  readonly #blocks: readonly number[]
  readonly #tried = new Set<string>()

  constructor (context: Context, exchange: Exchange, completion: Completion) {
    this.#context = context
    this.#exchange = exchange
    this.#blocks = prefixDigests(promptText(completion))
  }

  /** The next replica to try, or undefined if none is left. */
  next (): Target | undefined {
    const { targets, policy, affinity } = this.#context
    const untried = targets.heads(this.#exchange.service).filter(({ candidate }) => !this.#tried.has(candidate.id))
    if (untried.length === 0) return undefined
    const preference = { session: this.#replicasOfSession(untried), prefix: affinity.replicasFor(this.#blocks) }
    const preferred = untried.filter(({ candidate: { id } }) => preference.session.includes(id) || preference.prefix.includes(id))
    const near = [...new Set([...targets.nearest(untried), ...preferred])]
    const picked = policy.pick(near.map(each => each.candidate), preference)
    const target = near.find(each => each.candidate === picked)
    if (target !== undefined) this.#tried.add(target.candidate.id)
    return target
  }

  /**
   * The replicas of this region that are preferred for the request's session. All entries of the region prefer the same
   * ones, so that the requests of a session reach the same replica through any entry.
   */
  #replicasOfSession (targets: readonly Target[]): string[] {
    const session = sessionKey(this.#exchange)
    if (session === undefined) return []
    return ranked(session, this.#context.targets.regional(targets).map(each => each.candidate.id)).slice(0, preferredReplicas)
  }

  /** Makes all replicas available again. */
  reset (): void {
    this.#tried.clear()
  }

  /** Records that a replica serves this request. */
  recordServed (target: Target): void {
    this.#context.affinity.recordServed(target.candidate.id, this.#blocks)
  }
}

/** Serves one completion request. Always answers the response. */
export async function serveModel (context: Context, exchange: Exchange, completion: Completion): Promise<void> {
  const choice = new Choice(context, exchange, completion)
  if (completion.stream === true) return await new Stream(context, exchange, completion, choice).serve()
  await serveUnstreamed(context, exchange, choice)
}

async function serveUnstreamed (context: Context, exchange: Exchange, choice: Choice): Promise<void> {
  const { clock, budget, log, metric } = context
  let last = new Fault('no-replica')
  let mayHaveRun = false
  budget.deposit()
  for (let tries = 0; timeLeft(exchange, clock) > 0 && !exchange.response.destroyed; tries++) {
    const target = choice.next()
    if (target === undefined || (tries > 0 && !budget.withdraw())) break
    if (tries > 0) metric.count('request.retry')
    const end = await collectAttempt(context, exchange, target)
    if (end.type === 'answered') {
      choice.recordServed(target)
      return sendAnswer(exchange, end.answer)
    }
    const { fault, outcome } = end.failure
    log.write('attempt-failed', { service: exchange.service, worker: target.worker, code: fault.code, outcome })
    last = fault
    if (outcome !== 'not-run') mayHaveRun = true
    if (mayHaveRun && !exchange.repeatable) break
  }
  answerFault(exchange.response, accountForEarlierTries(finalFault(last, mayHaveRun), exchange.key))
}

/** Answers the caller with an upstream's complete answer. */
export function sendAnswer ({ request, response }: Exchange, answer: Collected): void {
  if (response.destroyed) return
  writeForwardedHead(response, answer.status, collectedHeaders(request.method, answer))
  response.end(answer.body)
}
