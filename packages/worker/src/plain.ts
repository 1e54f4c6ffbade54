/**
 * The path of a request to a plain service: queue, book of the key, upstream. Relies on `run` for the rule that a request with
 * a key runs at most once.
 */
import { digest } from '@eiderwind/hash'
import { type Clock } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'
import { type Queue, type Ticket } from '@eiderwind/admit'
import { readKey, type Attempts, type Book, type Key, type StoredAnswer } from '@eiderwind/run'
import { Collector, Relay, answerFault, endToEnd, send, wireHeaders, type Call, type Collected } from '@eiderwind/wire'
import { type WorkerBoard } from './facts.js'
import { upstreamHeaders, type Inbound } from './inbound.js'
import { broken } from './model.js'
import { type Upstream } from './upstream.js'

/** What the path to a plain service stands on. */
export interface PlainOptions {
  readonly clock: Clock
  readonly board: WorkerBoard
  readonly queue: Queue
  readonly attempts: Attempts
  readonly upstream: Upstream
  /** The book of a key's slot, while this worker is its home. */
  readonly book: (key: Key) => Book | undefined
}

/** The path of a request to a plain service. A request with a key runs at most once. */
export class PlainPath {
  readonly #options: PlainOptions

  constructor (options: PlainOptions) {
    this.#options = options
  }

  /** Serves one request; it answers the response in every case. */
  async serve (inbound: Inbound): Promise<void> {
    const { board, queue } = this.#options
    if (!board.read('serving')) return this.#refuse(inbound, new Fault('not-serving'))
    const admission = await queue.enter(inbound)
    if (admission.isErr()) return this.#refuse(inbound, admission.error)
    const fault = inbound.key === undefined ? this.#runPlain(inbound, admission.value) : this.#runKeyed(inbound, inbound.key, admission.value)
    if (fault === undefined) return
    admission.value.done()
    this.#refuse(inbound, fault)
  }

  /** Refuses an attempt, and says whether the request of its key has not run in any earlier try either. */
  #refuse (inbound: Inbound, fault: Fault): void {
    const { book, clock } = this.#options
    const key = inbound.key === undefined ? undefined : readKey(inbound.key).unwrapOr(undefined)
    const unrun = key !== undefined && book(key)?.unrun(key, clock.wall()) === true
    if (unrun || fault.code === 'key-in-future') inbound.response.setHeader(wireHeaders.judged, '1')
    answerFault(inbound.response, fault)
  }

  #runPlain (inbound: Inbound, ticket: Ticket): Fault | undefined {
    const { attempts, clock, upstream } = this.#options
    const { response, attempt } = inbound
    if (response.destroyed || !attempts.start(attempt, clock.now())) return new Fault('tombstoned')
    const relay = new Relay({
      response,
      headers: { [wireHeaders.attempt]: attempt },
      done: () => ticket.done(),
      failed: failure => {
        ticket.done()
        answerFault(response, broken(failure))
      }
    })
    const cancel = send(upstream.dispatcher, this.#call(inbound), relay)
    response.once('close', () => {
      if (!response.writableFinished) cancel(new Error('The entry went away.'))
    })
    return undefined
  }

  /** Runs a request with a key, unless its home knows better. What runs goes on when the entry goes away: its answer is kept. */
  #runKeyed (inbound: Inbound, text: string, ticket: Ticket): Fault | undefined {
    const { clock, attempts, upstream, book } = this.#options
    const read = readKey(text)
    if (read.isErr()) return read.error
    const key = read.value
    const home = book(key)
    if (home === undefined) return new Fault('not-home')
    const verdict = home.begin(key, requestDigest(inbound), clock.wall(), inbound.fresh)
    if (verdict.type === 'refuse') return verdict.fault
    if (verdict.type === 'replay') {
      ticket.done()
      reply(inbound, verdict.answer, true)
      return undefined
    }
    if (!attempts.start(inbound.attempt, clock.now())) {
      home.abandon(key)
      return new Fault('tombstoned')
    }
    send(upstream.dispatcher, this.#call(inbound), new Collector({
      whole: collected => {
        ticket.done()
        const answer = stored(collected)
        home.finish(key, answer)
        reply(inbound, answer, false)
      },
      failed: failure => {
        ticket.done()
        if (failure.sent) home.lose(key)
        else home.abandon(key)
        answerFault(inbound.response, broken(failure))
      }
    }))
    return undefined
  }

  #call ({ method, path, body, request }: Inbound): Call {
    const headers = upstreamHeaders(request)
    return { origin: this.#options.upstream.url, path, method, headers, body: body.length === 0 ? undefined : body }
  }
}

function requestDigest ({ method, path, body }: Inbound): number {
  return digest(`${method} ${path}\n${body.toString('latin1')}`)
}

function stored ({ status, headers, body }: Collected): StoredAnswer {
  const kept: Record<string, string> = {}
  for (const [name, value] of Object.entries(endToEnd(headers))) kept[name] = Array.isArray(value) ? value.join(', ') : value
  return { status, headers: kept, body }
}

function reply ({ response, attempt }: Inbound, answer: StoredAnswer, replayed: boolean): void {
  if (response.destroyed) return
  const marks = { [wireHeaders.attempt]: attempt, ...(replayed ? { [wireHeaders.replayed]: '1' } : {}) }
  response.writeHead(answer.status, { ...answer.headers, ...marks, 'content-length': answer.body.length })
  response.end(answer.body)
}
