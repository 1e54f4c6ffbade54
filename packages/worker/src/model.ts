/**
 * The path of a request to the engine: admission, the grants before each part that is passed on, cancelling. Relies on `admit`
 * and `head.ts`.
 */
import { type Clock } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'
import { type Queue, type Ticket } from '@eiderwind/admit'
import { type Attempts } from '@eiderwind/run'
import { Relay, answerFault, send, wireHeaders, type CallFailure, type RelayOptions } from '@eiderwind/wire'
import { z } from 'zod'
import { type Flights } from './flights.js'
import { type Head } from './head.js'
import { upstreamHeaders, type Inbound } from './inbound.js'
import { Numbered } from './numbered.js'
import { type Sessions } from './sessions.js'
import { type Upstream } from './upstream.js'

/** What of a completion request matters here. */
const Completion = z.looseObject({
  stream: z.boolean().default(false),
  /** Where the caller already has a part of the answer. */
  resume: z.object({ offset: z.int().min(0), text: z.string() }).optional()
})

/** What the path to an engine stands on. */
export interface PathOptions {
  readonly clock: Clock
  readonly queue: Queue
  readonly attempts: Attempts
  readonly upstream: Upstream
  readonly flights: Flights
  readonly head: Head
  readonly sessions: Sessions
}

/** The path of a request to the engine: admission, the grants before each part that is passed on, and cancelling. */
export class ModelPath {
  readonly #options: PathOptions

  constructor (options: PathOptions) {
    this.#options = options
  }

  /** Serves one request; it answers the response in every case. */
  async serve (inbound: Inbound): Promise<void> {
    const { head, queue } = this.#options
    if (!head.serving) return answerFault(inbound.response, new Fault('not-serving'))
    const admission = await queue.enter(inbound)
    if (admission.isErr()) return answerFault(inbound.response, admission.error)
    this.#run(inbound, admission.value)
  }

  #run (inbound: Inbound, ticket: Ticket): void {
    const { head, attempts, clock } = this.#options
    const refusal = !head.serving ? 'not-serving' : attempts.start(inbound.attempt, clock.now()) ? undefined : 'tombstoned'
    if (refusal !== undefined || inbound.response.destroyed) {
      ticket.done()
      return answerFault(inbound.response, new Fault(refusal ?? 'tombstoned'))
    }
    this.#forward(inbound, ticket)
  }

  #forward (inbound: Inbound, ticket: Ticket): void {
    const { upstream, head, flights, sessions } = this.#options
    sessions.note(inbound.session)
    const { request, response, attempt } = inbound
    const finish = (): void => {
      leave()
      ticket.done()
    }
    const relay = this.#relay(inbound, {
      response,
      headers: { [wireHeaders.attempt]: attempt },
      guard: () => head.allowed,
      done: finish,
      failed: failure => {
        finish()
        answerFault(response, broken(failure))
      }
    })
    const call = { origin: upstream.url, path: inbound.path, method: inbound.method, headers: upstreamHeaders(request), body: inbound.body }
    const cancel = send(upstream.dispatcher, call, relay)
    const leave = flights.add(() => cancel(new Error('The grants have lapsed.')))
    response.once('close', () => {
      if (!response.writableFinished) cancel(new Error('The entry went away.'))
    })
  }

  #relay (inbound: Inbound, options: RelayOptions): Relay {
    const completion = Completion.safeParse(parsed(inbound.body))
    if (!completion.success || !completion.data.stream) return new Relay(options)
    return new Numbered(options, completion.data.resume?.offset ?? 0)
  }
}

/** The fault for a call to an upstream that broke before an answer began. */
export function broken ({ sent }: CallFailure): Fault {
  return new Fault(sent ? 'lost' : 'upstream-down')
}

function parsed (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString())
  } catch {
    // Passed on as it is: the engine itself answers a body that is no JSON.
    return undefined
  }
}
