/**
 * The way of a request that may not be repeated: to the home of its key, where it runs at most once. Relies on `run` for the
 * rule and on `targets.ts` for the home.
 */
import { Fault } from '@eiderwind/fault'
import { mintKey, type Key, readKey } from '@eiderwind/run'
import { answerFault, wireHeaders } from '@eiderwind/wire'
import { collectAttempt } from './attempting.js'
import { type Context } from './context.js'
import { isExpired, timeLeft, type Exchange } from './exchange.js'
import { sendAnswer } from './modelpath.js'
import { finalFault, accountForEarlierTries } from './outcome.js'

/** Pause before the home of a key is asked again, in ms. */
const retryPause = 150

/** How often a home that does not answer is asked, beyond the first time. */
const maxUnanswered = 3

/** How often another home is looked for when one said that it is not the home. */
const maxHomeChanges = 3

/**
 * Serves one request that may not be repeated. It goes to the home of its key. When the connection to the home is
 * lost, the same key is sent to the home again: it gives the first answer, or says that the request still runs, and
 * never runs it twice. The answer is final at once when the home can no longer tell.
 *
 * A key that the caller gave may have been used in an earlier try, at any entry. So "not run" is said of it only on the
 * home's word that no try of it has run; a refusal without that word ends as "unknown".
 */
export async function serveKeyed (context: Context, exchange: Exchange): Promise<void> {
  const { clock, targets, log } = context
  const minted = exchange.key === undefined
  const read = readKey(exchange.key ?? mintKey(clock.wall()))
  if (read.isErr()) return answerFault(exchange.response, read.error)
  const key = read.value
  let last = new Fault('not-home', { detail: 'No worker is the home of this key now.' })
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

/** Whether asking once more can bring a better answer. */
function canRetry ({ code }: Fault): boolean {
  return code === 'lost' || code === 'still-running' || code === 'not-home' || code === 'not-serving' || code === 'leaving'
}

function keyHeaders (key: Key, freshTenure: number | undefined): Record<string, string> {
  return { [wireHeaders.key]: key.text, ...(freshTenure === undefined ? {} : { [wireHeaders.fresh]: String(freshTenure) }) }
}
