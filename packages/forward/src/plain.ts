import { Fault } from '@eiderwind/fault'
import { endToEnd } from '@eiderwind/wire'
import { type Upstream } from '@eiderwind/roster'
import { endWithConnection, isFramed } from './answers.js'
import { CollectAttempt, type Answered, type Ending } from './attempt.js'
import { type Context } from './context.js'
import { type CallerRequest } from './request.js'

/** The least status of an upstream's own failure. */
const failureStatus = 500

/** The part of the objective after which a refusal comes late, and within which room is waited for. */
const waitShare = 0.22

/** Seconds after which coming back helps when no upstream takes a request. */
const comeBack = 0.3

/** The longest a request may wait for room, in ms. */
export function patience ({ route, left }: CallerRequest): number {
  return Math.min(waitShare * route.objective, left)
}

/** Serves a request whose answer is passed on whole: one attempt after another, as far as it may run again. */
export async function servePlain (context: Context, exchange: CallerRequest): Promise<void> {
  let answer: Ending | undefined
  while (!exchange.over) {
    const upstream = await find(context, exchange)
    if (exchange.over) return
    if (upstream === undefined) break
    const ending = await attempt(context, exchange, upstream)
    if (exchange.over) return
    exchange.tell(upstream.id, ending)
    answer = best(answer, ending)
    if (!again(context, exchange, ending)) break
  }
  conclude(context, exchange, answer)
}

function find ({ choice, queue }: Context, exchange: CallerRequest): Promise<Upstream | undefined> {
  return queue.wait(exchange.priority, exchange.offered ? 0 : patience(exchange), () => choice.plain(exchange.service, exchange.tried), leave => exchange.working(leave))
}

function attempt (context: Context, exchange: CallerRequest, upstream: Upstream): Promise<Ending> {
  const begun = context.clock.now()
  return new Promise(resolve => {
    const ended = (ending: Ending): void => {
      const failed = ending.kind !== 'answered' || ending.status >= failureStatus
      context.choice.observe(upstream.id, context.clock.now() - begun, failed)
      resolve(ending)
    }
    new CollectAttempt({ context, exchange, upstream, model: '', fresh: !exchange.repeatable, ended }).start()
  })
}

/** Whether another attempt follows: the request may run again, or certainly did not run, and attempts and repeats are left. */
export function again (context: Context, exchange: CallerRequest, ending: Ending): boolean {
  if (ending.kind === 'passed' || (ending.kind === 'answered' && ending.status < failureStatus)) return false
  if (ending.kind !== 'not-run' && !exchange.repeatable) return false
  if (!exchange.mayGoOn) return false
  return (ending.kind === 'not-run' && !ending.sent) || context.retryBudget(exchange.service).take()
}

/** Of two endings the one that says more to the caller. */
function best (before: Ending | undefined, after: Ending): Ending {
  if (before === undefined || after.kind === 'answered') return after
  if (before.kind === 'answered') return before
  return before.kind === 'lost' ? before : after
}

/** Passes a collected answer on in the framing that it came in. */
export function passOn (exchange: CallerRequest, { status, headers, body }: Answered): void {
  const { request, response } = exchange
  const framed = isFramed(headers)
  if (!framed) endWithConnection(response)
  response.writeHead(status, { ...endToEnd(headers), ...framed ? { 'content-length': String(body.length) } : {} })
  response.end(request.method === 'HEAD' ? undefined : body)
  exchange.finish(`answered ${status}`)
}

function conclude ({ names }: Context, exchange: CallerRequest, ending: Ending | undefined): void {
  if (ending?.kind === 'answered') {
    return passOn(exchange, ending)
  }
  if (ending?.kind === 'lost') return exchange.refuse(new Fault('lost', { detail: `${ending.why}.` }))
  const detail = ending?.kind === 'not-run' ? `${ending.why}.` : `No upstream of ${exchange.service} takes requests (${names.request} ${exchange.id}).`
  exchange.refuse(new Fault('upstream-down', { detail, retryAfter: comeBack }))
}
