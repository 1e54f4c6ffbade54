/**
 * The path of a request that may not be repeated. It goes to the home of its key: the one worker that may run requests
 * with that key and that runs each of them at most once. Relies on `run` for this rule and on `targets.ts` for the
 * home.
 */
import { Fault } from '@eiderwind/fault'
import { mintKey, type Key, readKey } from '@eiderwind/run'
import { answerFault, wireHeaders } from '@eiderwind/wire'
import { collectAttempt } from './attempting.js'
import { type Context } from './context.js'
import { isExpired, timeLeft, type Exchange } from './exchange.js'
import { sendAnswer } from './modelpath.js'
import { finalFault, accountForEarlierTries } from './outcome.js'

/** Pause before the next attempt at the home of a key, in ms. */
const retryPause = 150

/** Maximum number of repeated attempts at homes that do not answer. */
const maxUnanswered = 3

/**
 * Maximum number of repeated attempts after a worker answered that it did not run the request, for example because it
 * is not the home.
 */
const maxHomeChanges = 3

/**
 * Serves one request that may not be repeated. It is sent to the home of its key. If the connection to the home is
 * lost, the request is sent again with the same key. The home then returns the first answer, or answers that the
 * request still runs. It never runs the request twice. If the home no longer knows what happened, its answer is final.
 *
 * The caller may have used its key in an earlier try, at any entry. The outcome is therefore "not run" only if the home
 * confirms that no earlier try with the key has run. A refusal without this confirmation ends as "unknown".
 */
export async function serveKeyed (context: Context, exchange: Exchange): Promise<void> {
  const { clock, targets, log } = context
  const minted = exchange.key === undefined
  const read = readKey(exchange.key ?? mintKey(clock.wall()))
  if (read.isErr()) return answerFault(exchange.response, read.error)
  const key = read.value
  let last = new Fault('not-home', { detail: 'No worker is currently the home of this key.' })
  let mayHaveRun = false
  let noEarlierRun = false
  let unanswered = 0
  let homeChanges = 0
  while (!isExpired(exchange, clock)) {
    const target = targets.home(exchange.service, key.slot)
    if (target === undefined) break
    const end = await collectAttempt(context, exchange, target, { headers: keyHeaders(key, minted && !mayHaveRun ? target.tenure : undefined) })
    if (end.type === 'answered') return sendAnswer(exchange, end.answer)
    const { fault, outcome } = end.failure
    noEarlierRun = end.failure.noEarlierRun === true
    log.write('attempt-failed', { service: exchange.service, worker: target.worker, code: fault.code, outcome })
    last = fault
    if (outcome !== 'not-run') mayHaveRun = true
    if (exchange.response.destroyed || !canRetry(fault)) break
    if (fault.code === 'lost' && ++unanswered > maxUnanswered) break
    if (outcome === 'not-run' && ++homeChanges > maxHomeChanges) break
    await clock.wait(Math.min(retryPause, timeLeft(exchange, clock)))
  }
  const expired = isExpired(exchange, clock)
  const fault = finalFault(expired ? new Fault(mayHaveRun ? 'deadline-running' : 'deadline') : last, mayHaveRun)
  answerFault(exchange.response, minted || (noEarlierRun && !expired) ? fault : accountForEarlierTries(fault, exchange.key))
}

/** Whether another attempt can bring a better answer. */
function canRetry ({ code }: Fault): boolean {
  return code === 'lost' || code === 'still-running' || code === 'not-home' || code === 'not-serving' || code === 'leaving'
}

/**
 * Headers that give the home the key. `mintedFor` is the tenure for which the entry has just minted the key, or
 * undefined if an earlier attempt may have used the key.
 */
function keyHeaders (key: Key, mintedFor: number | undefined): Record<string, string> {
  return { [wireHeaders.key]: key.text, ...(mintedFor === undefined ? {} : { [wireHeaders.fresh]: String(mintedFor) }) }
}
