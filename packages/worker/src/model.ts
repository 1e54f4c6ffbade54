/**
 * The path of a request to the engine. It admits the request, checks the head's grants before each part of the answer
 * that it forwards, and cancels the request if the grants lapse. Relies on `admit` and `head.ts`.
 */
import { type Clock } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'
import { type Queue, type Ticket } from '@eiderwind/admit'
import { type Attempts } from '@eiderwind/run'
import { Relay, answerFault, wireHeaders, type CallFailure, type RelayOptions } from '@eiderwind/wire'
import { z } from 'zod'
import { type Flights } from './flights.js'
import { type Head } from './head.js'
import { upstreamHeaders, type InboundRequest } from './inbound.js'
import { NumberedRelay } from './numberedrelay.js'
import { type Sessions } from './sessions.js'
import { type Upstream } from './upstream.js'

/** The fields of a completion request that the worker reads. */
const Completion = z.looseObject({
  stream: z.boolean().default(false),
  /** Present if the caller already has a part of the answer. */
  resume: z.object({ offset: z.int().min(0), text: z.string() }).optional()
})

/** What the path to an engine depends on. */
export interface ModelPathOptions {
  readonly clock: Clock
  readonly queue: Queue
  readonly attempts: Attempts
  readonly upstream: Upstream
  readonly flights: Flights
  readonly head: Head
  readonly sessions: Sessions
}

/** Serves requests to the engine. */
export class ModelPath {
  readonly #options: ModelPathOptions

  constructor (options: ModelPathOptions) {
    this.#options = options
  }

  /** Serves one request. The response is always answered. */
  async serve (inbound: InboundRequest): Promise<void> {
    const { head, queue } = this.#options
    if (!head.isServing) return answerFault(inbound.response, new Fault('not-serving'))
    const admission = await queue.enter(inbound)
    if (admission.isErr()) return answerFault(inbound.response, admission.error)
    this.#run(inbound, admission.value)
  }

  #run (inbound: InboundRequest, ticket: Ticket): void {
    const { head, attempts, clock } = this.#options
    const refusal = !head.isServing ? 'not-serving' : attempts.start(inbound.attempt, clock.now()) ? undefined : 'tombstoned'
    if (refusal !== undefined || inbound.response.destroyed) {
      ticket.done()
      return answerFault(inbound.response, new Fault(refusal ?? 'tombstoned'))
    }
    this.#forward(inbound, ticket)
  }

  #forward (inbound: InboundRequest, ticket: Ticket): void {
    const { upstream, head, flights, sessions } = this.#options
    sessions.recordUse(inbound.session)
    const { request, response, attempt } = inbound
    const finish = (): void => {
      removeFlight()
      ticket.done()
    }
    const relay = this.#relay(inbound, {
      response,
      headers: { [wireHeaders.attempt]: attempt },
      guard: () => head.mayContinue,
      done: finish,
      failed: failure => {
        finish()
        answerFault(response, callFault(failure))
      }
    })
    const call = { origin: upstream.url, path: inbound.path, method: inbound.method, headers: upstreamHeaders(request), body: inbound.body }
    const cancel = upstream.connections.send(call, relay)
    const removeFlight = flights.add(() => cancel(new Error('The grants of the replica\'s head have lapsed.')))
    response.once('close', () => {
      if (!response.writableFinished) cancel(new Error('The entry closed the connection before the answer was complete.'))
    })
  }

  #relay (inbound: InboundRequest, options: RelayOptions): Relay {
    const completion = Completion.safeParse(parseBody(inbound.body))
    if (!completion.success || !completion.data.stream) return new Relay(options)
    return new NumberedRelay(options, completion.data.resume?.offset ?? 0)
  }
}

/** The fault for a call to an upstream that failed before the answer began. */
export function callFault ({ sent }: CallFailure): Fault {
  return new Fault(sent ? 'lost' : 'upstream-down')
}

function parseBody (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString())
  } catch {
    // The body is forwarded unchanged: the engine answers a request whose body is not JSON.
    return undefined
  }
}
