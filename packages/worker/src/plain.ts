/**
 * The path of a request to a plain service. It admits the request, looks up its idempotency key in the book of runs,
 * and sends it to the upstream. Relies on `run` for the rule that a request with a key runs at most once.
 */
import { digest } from '@eiderwind/hash'
import { type Clock } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'
import { type Queue, type Ticket } from '@eiderwind/admit'
import { readKey, type Attempts, type Book, type Key, type StoredAnswer } from '@eiderwind/run'
import { Collector, Relay, answerFault, collectedHeaders, wireHeaders, writeForwardedHead, type Call, type Collected } from '@eiderwind/wire'
import { type WorkerBoard } from './facts.js'
import { upstreamHeaders, type InboundRequest } from './inbound.js'
import { callFault } from './model.js'
import { type Upstream } from './upstream.js'

/** What the path to a plain service depends on. */
export interface PlainPathOptions {
  readonly clock: Clock
  readonly board: WorkerBoard
  readonly queue: Queue
  readonly attempts: Attempts
  readonly upstream: Upstream
  /** The book of runs of a key's slot, while this worker is the home of the slot. */
  readonly book: (key: Key) => Book | undefined
}

/** Serves requests to a plain service. A request with a key runs at most once. */
export class PlainPath {
  readonly #options: PlainPathOptions

  constructor (options: PlainPathOptions) {
    this.#options = options
  }

  /** Serves one request. The response is always answered. */
  async serve (inbound: InboundRequest): Promise<void> {
    const { board, queue } = this.#options
    if (!board.read('serving')) return this.#refuse(inbound, new Fault('not-serving'))
    const admission = await queue.enter(inbound)
    if (admission.isErr()) return this.#refuse(inbound, admission.error)
    const fault = inbound.key === undefined ? this.#runUnkeyed(inbound, admission.value) : this.#runKeyed(inbound, inbound.key, admission.value)
    if (fault === undefined) return
    admission.value.done()
    this.#refuse(inbound, fault)
  }

  /**
   * Refuses an attempt. The answer has the header `judged` if it is certain that no earlier attempt with the key has
   * run either.
   */
  #refuse (inbound: InboundRequest, fault: Fault): void {
    const { book, clock } = this.#options
    const key = inbound.key === undefined ? undefined : readKey(inbound.key).unwrapOr(undefined)
    const hasNotRun = key !== undefined && book(key)?.hasNotRun(key, clock.wall()) === true
    if (hasNotRun || fault.code === 'key-in-future') inbound.response.setHeader(wireHeaders.judged, '1')
    answerFault(inbound.response, fault)
  }

  #runUnkeyed (inbound: InboundRequest, ticket: Ticket): Fault | undefined {
    const { attempts, clock, upstream } = this.#options
    const { response, attempt } = inbound
    if (response.destroyed || !attempts.start(attempt, clock.now())) return new Fault('tombstoned')
    const relay = new Relay({
      response,
      headers: { [wireHeaders.attempt]: attempt },
      done: () => ticket.done(),
      failed: failure => {
        ticket.done()
        answerFault(response, callFault(failure))
      }
    })
    const cancel = upstream.connections.send(this.#call(inbound), relay)
    response.once('close', () => {
      if (!response.writableFinished) cancel(new Error('The entry closed the connection before the answer was complete.'))
    })
    return undefined
  }

  /**
   * Runs a request with a key, unless the home's book refuses it or already has its answer. The request continues if
   * the entry closes the connection, since its answer is stored in the book. Returns the fault of a refused request.
   */
  #runKeyed (inbound: InboundRequest, text: string, ticket: Ticket): Fault | undefined {
    const { clock, attempts, upstream, book } = this.#options
    const read = readKey(text)
    if (read.isErr()) return read.error
    const key = read.value
    const slotBook = book(key)
    if (slotBook === undefined) return new Fault('not-home')
    const decision = slotBook.begin(key, requestDigest(inbound), clock.wall(), inbound.mintedFor)
    if (decision.type === 'refuse') return decision.fault
    if (decision.type === 'replay') {
      ticket.done()
      reply(inbound, decision.answer, true)
      return undefined
    }
    if (!attempts.start(inbound.attempt, clock.now())) {
      slotBook.abandon(key)
      return new Fault('tombstoned')
    }
    upstream.connections.send(this.#call(inbound), new Collector({
      whole: collected => {
        ticket.done()
        const answer = storedAnswer(inbound, collected)
        slotBook.finish(key, answer)
        reply(inbound, answer, false)
      },
      failed: failure => {
        ticket.done()
        if (failure.sent) slotBook.markUnknown(key)
        else slotBook.abandon(key)
        answerFault(inbound.response, callFault(failure))
      }
    }))
    return undefined
  }

  #call ({ method, path, body, request }: InboundRequest): Call {
    const headers = upstreamHeaders(request)
    return { origin: this.#options.upstream.url, path, method, headers, body: body.length === 0 ? undefined : body }
  }
}

function requestDigest ({ method, path, body }: InboundRequest): number {
  return digest(`${method} ${path}\n${body.toString('latin1')}`)
}

/** The answer as it is stored and sent. It has a length if the upstream's answer had a length or chunks. */
function storedAnswer ({ method }: InboundRequest, collected: Collected): StoredAnswer {
  const { status, body } = collected
  const joinedHeaders: Record<string, string> = {}
  for (const [name, value] of Object.entries(collectedHeaders(method, collected))) joinedHeaders[name] = Array.isArray(value) ? value.join(', ') : value
  return { status, headers: joinedHeaders, body }
}

function reply ({ response, attempt }: InboundRequest, answer: StoredAnswer, isReplay: boolean): void {
  if (response.destroyed) return
  const addedHeaders = { [wireHeaders.attempt]: attempt, ...(isReplay ? { [wireHeaders.replayed]: '1' } : {}) }
  writeForwardedHead(response, answer.status, { ...answer.headers, ...addedHeaders })
  response.end(answer.body)
}
